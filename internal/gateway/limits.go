package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

// callKind tells what a call to a worker is for.
type callKind string

// Kinds of calls.
const (
	callRequest     callKind = "request"
	callCacheEvents callKind = "cache_events"
	callReport      callKind = "report"
	callOrder       callKind = "order"
	callStore       callKind = "store"
)

// workerLimits makes what this node knows of workers' limits safe for concurrent use.
type workerLimits struct {
	// any is set while something is known: without, requests need no lock.
	any atomic.Bool

	mutex  sync.Mutex
	ledger *workerlimit.Tracker
	// limiter is used for the workers to which this node grants the requests of all.
	limiter    *workerlimit.Limiter
	retryTimes workerlimit.RetryScheduler
	touch      touch
	// calls counts, by worker with a limit, this node's calls since the last line about them.
	calls map[fleet.EngineID]map[callKind]int
	// granters holds who grants the requests to a worker, best first, as of a view.
	granters map[fleet.EngineID]granters
	// silent holds until when a node that didn't grant is passed over.
	silent map[fleet.NodeID]time.Duration
	// untold holds the workers whose limits are to be told to others at once.
	untold map[fleet.EngineID]bool
	// announced has one element while there is something to tell.
	announced chan struct{}
}

// granters are the nodes that grant the requests to a worker, best first.
type granters struct {
	view  *membership.View
	nodes []fleet.NodeID
}

func newWorkerLimits() *workerLimits {
	return &workerLimits{
		ledger: workerlimit.NewTracker(), limiter: workerlimit.NewLimiter(),
		calls:    make(map[fleet.EngineID]map[callKind]int),
		granters: make(map[fleet.EngineID]granters), silent: make(map[fleet.NodeID]time.Duration),
		untold: make(map[fleet.EngineID]bool), announced: make(chan struct{}, 1),
	}
}

// observe takes in an observation. tell has other nodes told of what it changes.
func (l *workerLimits) observe(observation workerlimit.Observation, tell bool) workerlimit.Change {
	if !observation.Limited && !l.any.Load() {
		return workerlimit.Unchanged
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.any.Store(true)
	change := l.ledger.Observe(observation)
	switch change {
	case workerlimit.Unchanged:
		return change
	case workerlimit.LimitAdded:
		l.calls[observation.Worker] = make(map[callKind]int)
	case workerlimit.LimitRemoved:
		l.drop(observation.Worker)
	case workerlimit.LimitChanged:
	}
	if tell {
		l.untold[observation.Worker] = true
		signal(l.announced)
	}
	return change
}

// drop forgets what belongs to the limit of a worker that has none any more; the mutex is held.
func (l *workerLimits) drop(worker fleet.EngineID) {
	delete(l.calls, worker)
	delete(l.granters, worker)
	l.limiter.Forget(worker)
}

// forget drops what is known of a worker whose run has ended.
func (l *workerLimits) forget(worker fleet.EngineID) {
	if !l.any.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.Forget(worker)
	l.drop(worker)
}

// limited tells whether a worker's run has a limit.
func (l *workerLimits) limited(worker fleet.EngineID, born backends.StartTime) bool {
	_, limited := l.observation(worker, born)
	return limited
}

// observation returns what is believed of the limit of a worker's run; false if it has none.
func (l *workerLimits) observation(worker fleet.EngineID, born backends.StartTime) (workerlimit.Observation, bool) {
	if !l.any.Load() {
		return workerlimit.Observation{}, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, limited := l.ledger.Limit(worker, uint64(born)); !limited {
		return workerlimit.Observation{}, false
	}
	return l.ledger.Observation(worker)
}

// intake tells whether a worker takes a request of a priority, and for how long not.
func (l *workerLimits) intake(now time.Duration, worker *backends.Worker, priority int) (backends.Intake, time.Duration) {
	if !l.any.Load() {
		return backends.IntakeFree, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, limited := l.ledger.Limit(worker.ID, uint64(worker.Born)); !limited {
		return backends.IntakeFree, 0
	}
	if closed := l.ledger.ClosedFor(now, worker.ID, priority); closed > 0 {
		return backends.IntakeClosed, closed
	}
	return backends.IntakeLimited, 0
}

// close takes in that a worker had no room for a request of a priority.
func (l *workerLimits) close(now time.Duration, worker fleet.EngineID, priority int, refused workerlimit.Grant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ledger.ObserveRefusal(now, worker, priority, refused)
}

// closed returns how long a worker has no room for a request of a priority.
func (l *workerLimits) closed(now time.Duration, worker fleet.EngineID, priority int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ledger.ClosedFor(now, worker, priority)
}

// returnAfter returns when a caller is to come back that found all workers at their limits, of
// which one opens after a time. sharers is the number of nodes that share their rates.
func (l *workerLimits) returnAfter(now, opensIn time.Duration, sharers int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var rate workerlimit.Rate
	for _, observation := range l.ledger.Observations(now) {
		rate += observation.Rate
	}
	return l.retryTimes.Next(now, opensIn, rate/workerlimit.Rate(max(sharers, 1)))
}

// noteCall counts a call to a worker that has a limit.
func (l *workerLimits) noteCall(worker fleet.EngineID, kind callKind) {
	if !l.any.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if counts := l.calls[worker]; counts != nil {
		counts[kind]++
	}
}

// limitUse is what this node has sent to a worker with a limit since the last time.
type limitUse struct {
	observation workerlimit.Observation
	calls       map[callKind]int
}

// uses returns what was sent to the workers with limits since the last call, and drops what is
// over.
func (l *workerLimits) uses(now time.Duration) []limitUse {
	if !l.any.Load() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var uses []limitUse
	for _, observation := range l.ledger.Observations(now) {
		if counts := l.calls[observation.Worker]; observation.Limited && counts != nil {
			uses = append(uses, limitUse{observation: observation, calls: counts})
			l.calls[observation.Worker] = make(map[callKind]int)
		}
	}
	l.limiter.Sweep(now)
	l.any.Store(!l.ledger.IsEmpty())
	return uses
}

// noteCall counts a call that is about to reach a worker.
func (g *Gateway) noteCall(worker fleet.EngineID, kind callKind) {
	g.metrics.workerCalls.WithLabelValues(string(kind)).Inc()
	g.limits.noteCall(worker, kind)
}

// noteLimit takes in what an answer to a request says of its worker's limit.
func (g *Gateway) noteLimit(current *carried, worker *backends.Worker, info AnswerInfo) {
	if !saysLimit(info) {
		return
	}
	observation := workerlimit.Observation{
		Worker: worker.ID, StartTime: uint64(worker.Born),
		Limited: info.Limit.Kind == workerlimit.Limited, Rate: info.Limit.Rate,
		RequestedAt: current.sentAt, AnsweredAt: g.now(),
	}
	if change := g.limits.observe(observation, true); change != workerlimit.Unchanged {
		g.logLimit(observation, change, "answer")
	}
}

// saysLimit tells whether an answer is the worker's own statement on its limit. One by another run
// says nothing, and one that rejects the request, which need not be the worker's whole answer,
// doesn't end a limit.
func saysLimit(info AnswerInfo) bool {
	switch info.Limit.Kind {
	case workerlimit.Limited:
		return !info.Misdirected
	case workerlimit.Unlimited:
		return !info.Misdirected && !info.NotExecuted && info.Signed
	default:
		return false
	}
}

// logLimit logs a change of what is known of a limit, and from where.
func (g *Gateway) logLimit(observation workerlimit.Observation, change workerlimit.Change, source string) {
	g.events.line("worker_limit").Str("worker", string(observation.Worker)).Str("change", change.String()).Float64("rate", float64(observation.Rate)).
		Dur("answer_age", g.now()-observation.AnsweredAt).Str("source", source).Msg("worker_limit")
}

// reportLimits logs what this node has sent to the workers with limits since the last time.
func (g *Gateway) reportLimits() {
	uses := g.limits.uses(g.now())
	g.metrics.limited.Set(float64(len(uses)))
	for _, use := range uses {
		line := g.events.line("worker_limit_use").Str("worker", string(use.observation.Worker)).Float64("rate", float64(use.observation.Rate))
		for _, kind := range []callKind{callRequest, callCacheEvents, callReport, callOrder} {
			line = line.Int(string(kind), use.calls[kind])
		}
		line.Msg("worker_limit_use")
	}
}
