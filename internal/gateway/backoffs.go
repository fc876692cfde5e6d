package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/workerbackoff"
)

// errBackoff is the cause of a send that is not made because the worker is in backoff.
var errBackoff = errors.New("worker asked for no requests")

// reasonBackoff is the reason for refusing a request whose candidate workers are all in backoff.
const reasonBackoff = "workers_in_backoff"

// backoffPollInterval bounds a single wait for the end of a backoff, since timers stop while the
// machine is suspended.
const backoffPollInterval = time.Second

// maxOrderDelay bounds how long version orders and reports wait for the end of a backoff. Without
// an order the worker receives no more requests once its model version is too old.
const maxOrderDelay = 2 * time.Second

// workerBackoffs holds the backoffs that workers have asked this gateway for. It is safe for
// concurrent use.
type workerBackoffs struct {
	// active is set while any worker has a backoff; without one, requests need no lock.
	active atomic.Bool

	mutex      sync.Mutex
	tracker    *workerbackoff.Tracker
	retryTimes workerbackoff.RetryScheduler
}

func newWorkerBackoffs(random *rand.Rand) *workerBackoffs {
	return &workerBackoffs{tracker: workerbackoff.NewTracker(random)}
}

func backoffRun(worker fleet.EngineID, startTime backends.StartTime) workerbackoff.Run {
	return workerbackoff.Run{Worker: worker, StartTime: uint64(startTime)}
}

// extend records that a run asks for a backoff and reports whether this extends the current one.
func (b *workerBackoffs) extend(now time.Duration, run workerbackoff.Run, wait time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.active.Store(true)
	return b.tracker.Extend(now, run, wait)
}

// remaining returns how long a run still receives nothing.
func (b *workerBackoffs) remaining(now time.Duration, run workerbackoff.Run) time.Duration {
	if !b.active.Load() {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.ClosedFor(now, run)
}

// begin returns how long a run still receives no requests. If it returns 0, the caller is about to
// send one, and a run that is half open receives no other until that is answered.
func (b *workerBackoffs) begin(now time.Duration, run workerbackoff.Run) time.Duration {
	if !b.active.Load() {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.BeginRequest(now, run)
}

// recordResponse records a response that asks for no backoff, to a request sent at sentAt.
func (b *workerBackoffs) recordResponse(run workerbackoff.Run, sentAt time.Duration) {
	if !b.active.Load() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.ObserveAnswer(run, sentAt)
	b.active.Store(!b.tracker.IsEmpty())
}

// forget drops the backoff of a worker whose run has ended.
func (b *workerBackoffs) forget(worker fleet.EngineID) {
	if !b.active.Load() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.Forget(worker)
	b.active.Store(!b.tracker.IsEmpty())
}

// workersInBackoff returns the workers that receive nothing at now.
func (b *workerBackoffs) workersInBackoff(now time.Duration) []fleet.EngineID {
	if !b.active.Load() {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.ClosedWorkers(now)
}

// retryAfter returns the retry delay for a caller of the given priority whose request found all
// workers in backoff. opensIn is the time until the first backoff ends.
func (b *workerBackoffs) retryAfter(opensIn time.Duration, priority int) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.retryTimes.Next(opensIn, priority)
}

// recordRetryAfter records that a worker asks this gateway for a backoff.
func (g *Gateway) recordRetryAfter(source noticeSource, wait time.Duration) {
	g.metrics.notices.WithLabelValues(noticeRetryAfter, string(source.kind)).Inc()
	longer := g.backoffs.extend(g.now(), backoffRun(source.worker, source.startTime), wait)
	g.events.line("worker_notice").Str("worker", string(source.worker)).Str("notice", noticeRetryAfter).Str("source", string(source.kind)).
		Dur("retry_after", wait).Bool("longer", longer).Msg("worker_notice")
}

// deferringWorkers returns the workers that are in backoff at the reporting gateway. It returns nil
// for a gateway of another zone, since a worker may reject the requests of a single zone.
func (g *Gateway) deferringWorkers(report *rpc.LoadReport) []fleet.EngineID {
	if len(report.GetDeferring()) == 0 {
		return nil
	}
	member, found := g.peers.View().Find(fleet.NodeID(report.GetNode()))
	if !found || member.Zone != g.settings().Zone {
		return nil
	}
	deferring := make([]fleet.EngineID, len(report.GetDeferring()))
	for index, worker := range report.GetDeferring() {
		deferring[index] = fleet.EngineID(worker)
	}
	return deferring
}

// awaitBackoff waits until a worker's backoff is over.
func (g *Gateway) awaitBackoff(ctx context.Context, run workerbackoff.Run) {
	for ctx.Err() == nil {
		closed := g.backoffs.remaining(g.now(), run)
		if closed == 0 {
			return
		}
		sleep(ctx, min(closed, backoffPollInterval))
	}
}

// remainingOrderDelay returns how long orders and reports to a worker are delayed by its backoff.
// since is when the first of these was due.
func (g *Gateway) remainingOrderDelay(worker *backends.Worker, since time.Duration) time.Duration {
	closed := g.backoffs.remaining(g.now(), backoffRun(worker.ID, worker.StartTime))
	return min(closed, max(since+maxOrderDelay-g.now(), 0))
}
