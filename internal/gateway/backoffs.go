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

// errBackoff is the cause of a send that isn't made since the worker wants none for a time.
var errBackoff = errors.New("worker asked for no requests")

// reasonBackoff is why a request is refused whose workers all want none.
const reasonBackoff = "workers_in_backoff"

// backoffCheck is the time between two looks at a backoff: timers stand still while the machine
// is suspended.
const backoffCheck = time.Second

// mostOrderDelay bounds how long orders and reports wait for the end of a backoff. An order
// concerns all nodes: without it the worker gets no requests at all once its weights are too old.
const mostOrderDelay = 2 * time.Second

// workerBackoffs makes what this node knows of workers' backoffs safe for concurrent use.
type workerBackoffs struct {
	// any is set while a worker has a backoff: without, requests need no lock.
	any atomic.Bool

	mutex       sync.Mutex
	ledger      *workerbackoff.Tracker
	returnTimes workerbackoff.RetryScheduler
}

func newWorkerBackoffs(random *rand.Rand) *workerBackoffs {
	return &workerBackoffs{ledger: workerbackoff.NewTracker(random)}
}

func backoffRun(worker fleet.EngineID, born backends.StartTime) workerbackoff.Run {
	return workerbackoff.Run{Worker: worker, StartTime: uint64(born)}
}

// ask takes in that a run wants no requests for a time, and tells whether that is longer than
// before.
func (b *workerBackoffs) ask(now time.Duration, run workerbackoff.Run, wait time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.any.Store(true)
	return b.ledger.Extend(now, run, wait)
}

// closed returns for how long a run is to get nothing.
func (b *workerBackoffs) closed(now time.Duration, run workerbackoff.Run) time.Duration {
	if !b.any.Load() {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.ClosedFor(now, run)
}

// begin returns for how long a run is to get no request; if 0, one is about to be sent.
func (b *workerBackoffs) begin(now time.Duration, run workerbackoff.Run) time.Duration {
	if !b.any.Load() {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.BeginRequest(now, run)
}

// answered takes in an answer that asks for no backoff.
func (b *workerBackoffs) answered(run workerbackoff.Run, sentAt time.Duration) {
	if !b.any.Load() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ledger.ObserveAnswer(run, sentAt)
	b.any.Store(!b.ledger.IsEmpty())
}

// forget drops the backoff of a worker whose run has ended.
func (b *workerBackoffs) forget(worker fleet.EngineID) {
	if !b.any.Load() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ledger.Forget(worker)
	b.any.Store(!b.ledger.IsEmpty())
}

// closing returns the workers that are to get nothing.
func (b *workerBackoffs) closing(now time.Duration) []fleet.EngineID {
	if !b.any.Load() {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ledger.ClosedWorkers(now)
}

// returnAfter returns when a caller of a priority is to come back, if the first worker opens
// after a time.
func (b *workerBackoffs) returnAfter(opensIn time.Duration, priority int) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.returnTimes.Next(opensIn, priority)
}

// noteRetryAfter takes in that a worker wants nothing from this node for a time.
func (g *Gateway) noteRetryAfter(about noticed, wait time.Duration) {
	g.metrics.notices.WithLabelValues(noticeRetryAfter, string(about.kind)).Inc()
	longer := g.backoffs.ask(g.now(), backoffRun(about.worker, about.born), wait)
	g.events.line("worker_notice").Str("worker", string(about.worker)).Str("notice", noticeRetryAfter).Str("source", string(about.kind)).
		Dur("retry_after", wait).Bool("longer", longer).Msg("worker_notice")
}

// deferringOf returns the workers that have asked another node for no requests, if it is of this
// node's zone: a worker may reject the requests of one zone alone.
func (g *Gateway) deferringOf(report *rpc.LoadReport) []fleet.EngineID {
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

// awaitBackoff waits until a worker may be called for the gateway's own sake.
func (g *Gateway) awaitBackoff(ctx context.Context, run workerbackoff.Run) {
	for ctx.Err() == nil {
		closed := g.backoffs.closed(g.now(), run)
		if closed == 0 {
			return
		}
		sleep(ctx, min(closed, backoffCheck))
	}
}

// orderDelayOf returns how long a worker that is under order is to get no order or report yet.
// since is when the first of these was due.
func (g *Gateway) orderDelayOf(worker *backends.Worker, since time.Duration) time.Duration {
	closed := g.backoffs.closed(g.now(), backoffRun(worker.ID, worker.Born))
	return min(closed, max(since+mostOrderDelay-g.now(), 0))
}
