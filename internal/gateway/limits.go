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

// callKind is the purpose of a call to a worker.
type callKind string

const (
	callRequest     callKind = "request"
	callCacheEvents callKind = "cache_events"
	callReport      callKind = "report"
	callHealth      callKind = "health"
	callOrder       callKind = "order"
	callStore       callKind = "store"
)

// workerLimits holds what a gateway knows about the rate limits of workers. It is safe for
// concurrent use.
type workerLimits struct {
	// active is set while a limit is known. Without one, requests skip the mutex.
	active atomic.Bool

	mutex   sync.Mutex
	tracker *workerlimit.Tracker
	// limiter grants requests to the workers for which this gateway is the granter.
	limiter     *workerlimit.Limiter
	retryTimes  workerlimit.RetryScheduler
	memberShare memberShare
	// calls counts this gateway's calls to each worker with a limit since the last usage log line.
	calls map[fleet.EngineID]map[callKind]int
	// granters caches the ranked granters of each worker for one membership view.
	granters map[fleet.EngineID]rankedGranters
	// unavailableUntil is the time until which no grants are requested from a gateway, by gateway.
	unavailableUntil map[fleet.NodeID]time.Duration
	// pendingBroadcast holds the workers whose limits are to be sent to other gateways at once.
	pendingBroadcast map[fleet.EngineID]bool
	// announceSignal holds one element while there is something to broadcast.
	announceSignal chan struct{}
}

// rankedGranters are the gateways that may grant requests to a worker, best first.
type rankedGranters struct {
	view  *membership.View
	nodes []fleet.NodeID
}

func newWorkerLimits() *workerLimits {
	return &workerLimits{
		tracker: workerlimit.NewTracker(), limiter: workerlimit.NewLimiter(),
		calls:    make(map[fleet.EngineID]map[callKind]int),
		granters: make(map[fleet.EngineID]rankedGranters), unavailableUntil: make(map[fleet.NodeID]time.Duration),
		pendingBroadcast: make(map[fleet.EngineID]bool), announceSignal: make(chan struct{}, 1),
	}
}

// observe adds an observation. broadcast sends a resulting change to other gateways.
func (l *workerLimits) observe(observation workerlimit.Observation, broadcast bool) workerlimit.Change {
	if !observation.Limited && !l.active.Load() {
		return workerlimit.Unchanged
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.active.Store(true)
	change := l.tracker.Observe(observation)
	switch change {
	case workerlimit.Unchanged:
		return change
	case workerlimit.LimitAdded:
		l.calls[observation.Worker] = make(map[callKind]int)
	case workerlimit.LimitRemoved:
		l.dropLocked(observation.Worker)
	case workerlimit.LimitChanged:
	}
	if broadcast {
		l.pendingBroadcast[observation.Worker] = true
		signal(l.announceSignal)
	}
	return change
}

// dropLocked drops the state of a worker's limit. The caller holds the mutex.
func (l *workerLimits) dropLocked(worker fleet.EngineID) {
	delete(l.calls, worker)
	delete(l.granters, worker)
	l.limiter.Forget(worker)
}

// forget drops the state of a worker whose run has ended.
func (l *workerLimits) forget(worker fleet.EngineID) {
	if !l.active.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.Forget(worker)
	l.dropLocked(worker)
}

// isLimited reports whether a worker's run has a rate limit.
func (l *workerLimits) isLimited(worker fleet.EngineID, startTime backends.StartTime) bool {
	_, limited := l.observation(worker, startTime)
	return limited
}

// observation returns the newest observation of a worker's run, false if it has no limit.
func (l *workerLimits) observation(worker fleet.EngineID, startTime backends.StartTime) (workerlimit.Observation, bool) {
	if !l.active.Load() {
		return workerlimit.Observation{}, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, limited := l.tracker.Limit(worker, uint64(startTime)); !limited {
		return workerlimit.Observation{}, false
	}
	return l.tracker.Observation(worker)
}

// admission returns whether a worker accepts a request of a priority and, if not, for how long it
// is closed.
func (l *workerLimits) admission(now time.Duration, worker *backends.Worker, priority int) (backends.Admission, time.Duration) {
	if !l.active.Load() {
		return backends.AdmissionUnlimited, 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, limited := l.tracker.Limit(worker.ID, uint64(worker.StartTime)); !limited {
		return backends.AdmissionUnlimited, 0
	}
	if closed := l.tracker.ClosedFor(now, worker.ID, priority); closed > 0 {
		return backends.AdmissionClosed, closed
	}
	return backends.AdmissionLimited, 0
}

// recordRefusal records that a worker had no room for a request of a priority.
func (l *workerLimits) recordRefusal(now time.Duration, worker fleet.EngineID, priority int, refused workerlimit.Grant) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.ObserveRefusal(now, worker, priority, refused)
}

// closedFor returns how long a worker has no room for a request of a priority.
func (l *workerLimits) closedFor(now time.Duration, worker fleet.EngineID, priority int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.ClosedFor(now, worker, priority)
}

// retryAfter returns the retry delay for a caller whose request found all workers at their limits.
// opensIn is the time until the first of them has room, sharers the number of gateways that share
// the rates.
func (l *workerLimits) retryAfter(now, opensIn time.Duration, sharers int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var rate workerlimit.Rate
	for _, observation := range l.tracker.Observations(now) {
		rate += observation.Rate
	}
	return l.retryTimes.Next(now, opensIn, rate/workerlimit.Rate(max(sharers, 1)))
}

// countCall counts a call to a worker that has a limit.
func (l *workerLimits) countCall(worker fleet.EngineID, kind callKind) {
	if !l.active.Load() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if counts := l.calls[worker]; counts != nil {
		counts[kind]++
	}
}

// limitUsage is the number of calls to a worker with a limit in one log period.
type limitUsage struct {
	observation workerlimit.Observation
	calls       map[callKind]int
}

// takeUsage returns and resets the calls to workers with limits, and drops expired state.
func (l *workerLimits) takeUsage(now time.Duration) []limitUsage {
	if !l.active.Load() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var uses []limitUsage
	for _, observation := range l.tracker.Observations(now) {
		if counts := l.calls[observation.Worker]; observation.Limited && counts != nil {
			uses = append(uses, limitUsage{observation: observation, calls: counts})
			l.calls[observation.Worker] = make(map[callKind]int)
		}
	}
	l.limiter.Sweep(now)
	l.active.Store(!l.tracker.IsEmpty())
	return uses
}

// countCall counts a call that is about to be sent to a worker.
func (g *Gateway) countCall(worker fleet.EngineID, kind callKind) {
	g.metrics.workerCalls.WithLabelValues(string(kind)).Inc()
	g.limits.countCall(worker, kind)
}

// observeLimit records the limit that a worker's response advertises.
func (g *Gateway) observeLimit(current *callerRequest, worker *backends.Worker, info ResponseInfo) {
	if !hasValidLimit(info) {
		return
	}
	observation := workerlimit.Observation{
		Worker: worker.ID, StartTime: uint64(worker.StartTime),
		Limited: info.Limit.Kind == workerlimit.Limited, Rate: info.Limit.Rate,
		RequestedAt: current.sentAt, AnsweredAt: g.now(),
	}
	if change := g.limits.observe(observation, true); change != workerlimit.Unchanged {
		g.logLimitChange(observation, change, "answer")
	}
}

// hasValidLimit reports whether a response sets or removes the worker's limit. A response of
// another run does neither. A rejection may omit the limit, so it doesn't remove one.
func hasValidLimit(info ResponseInfo) bool {
	switch info.Limit.Kind {
	case workerlimit.Limited:
		return !info.Misdirected
	case workerlimit.Unlimited:
		return !info.Misdirected && !info.NotExecuted && info.Signed
	default:
		return false
	}
}

// logLimitChange logs a change of a known limit and its source.
func (g *Gateway) logLimitChange(observation workerlimit.Observation, change workerlimit.Change, source string) {
	g.events.line("worker_limit").Str("worker", string(observation.Worker)).Str("change", change.String()).Float64("rate", float64(observation.Rate)).
		Dur("answer_age", g.now()-observation.AnsweredAt).Str("source", source).Msg("worker_limit")
}

// logLimitUsage logs the calls to workers with limits since the last call.
func (g *Gateway) logLimitUsage() {
	uses := g.limits.takeUsage(g.now())
	g.metrics.limitedWorkers.Set(float64(len(uses)))
	for _, use := range uses {
		line := g.events.line("worker_limit_use").Str("worker", string(use.observation.Worker)).Float64("rate", float64(use.observation.Rate))
		for _, kind := range []callKind{callRequest, callCacheEvents, callReport, callHealth, callOrder} {
			line = line.Int(string(kind), use.calls[kind])
		}
		line.Msg("worker_limit_use")
	}
}
