package emulator

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
)

// routerHost runs one router on the event queue: it polls engines, wakes the router and delivers its
// outcomes to the agents.
type routerHost struct {
	emulator *Emulator
	index    int
	node     fleet.NodeID
	zone     fleet.ZoneName
	central  bool
	router   Router
	pending  map[placement.Key]placementCall
	wakeAt   time.Duration
	feeds    []eventFeed
}

// placementCall is an open placement call.
type placementCall struct {
	driver    *requestDriver
	operation attempt.Operation
}

// eventFeed is a router's long poll for the cache events of one engine.
type eventFeed struct {
	// waiting is set while the poll has reached the engine and no event is available.
	waiting bool
}

func (r *routerHost) now() time.Duration { return r.emulator.queue.Now() }

// latency returns the one-way latency between an agent and the router.
func (r *routerHost) latency(agent fleet.ZoneName) time.Duration {
	if r.central {
		return 0
	}
	return r.emulator.network.fromAgent(agent, r.zone)
}

// apply runs a step on the router, delivers its outcomes and schedules its next wake-up.
func (r *routerHost) apply(step func(now time.Duration, router Router)) {
	step(r.now(), r.router)
	for _, outcome := range r.router.TakeOutcomes() {
		r.deliver(outcome)
	}
	r.scheduleWake()
}

func (r *routerHost) deliver(outcome placement.Outcome) {
	key := outcome.OutcomeKey()
	call, found := r.pending[key]
	if !found {
		r.releaseGrant(outcome)
		return
	}
	delete(r.pending, key)
	latency := r.latency(call.driver.agent.zone)
	r.emulator.queue.After(latency, func() { call.driver.handleOutcome(call.operation, outcome) })
}

// releaseGrant reports a grant without a pending call as abandoned.
func (r *routerHost) releaseGrant(outcome placement.Outcome) {
	if grant, granted := outcome.(placement.Grant); granted {
		r.router.Report(r.now(), placement.AttemptReport{Key: grant.Key, Run: grant.Run, Phase: placement.PhaseAbandoned})
	}
}

func (r *routerHost) scheduleWake() {
	at, found := r.router.NextWake()
	if !found {
		return
	}
	at = max(at, r.now()+minimumTick)
	if r.wakeAt != 0 && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	r.emulator.queue.At(at, func() { r.wake(at) })
}

func (r *routerHost) wake(planned time.Duration) {
	if r.wakeAt != planned {
		return
	}
	r.wakeAt = 0
	r.apply(func(now time.Duration, router Router) { router.Tick(now) })
}

func (r *routerHost) submit(from *requestDriver, operation attempt.Operation, request placement.Request) {
	if from.machine.Phase() == attempt.PhaseFinished {
		return // the agent cancelled the call while it was in flight
	}
	r.pending[request.Key] = placementCall{driver: from, operation: operation}
	r.apply(func(now time.Duration, router Router) { router.Submit(now, request) })
}

// withdraw cancels the open placement call of a request that has ended.
func (r *routerHost) withdraw(key placement.Key) {
	if _, found := r.pending[key]; !found {
		return
	}
	delete(r.pending, key)
	r.apply(func(now time.Duration, router Router) { router.Withdraw(now, key) })
}

func (r *routerHost) receiveReports(batch []placement.AttemptReport) {
	r.apply(func(now time.Duration, router Router) {
		for _, report := range batch {
			router.Report(now, report)
		}
	})
}

// start registers the engines and starts polling those that the router owns.
func (r *routerHost) start() {
	r.feeds = make([]eventFeed, len(r.emulator.engines))
	for _, host := range r.emulator.engines {
		r.apply(func(now time.Duration, router Router) { router.ObserveMachine(now, host.machine) })
		if r.central || !r.emulator.isOwner(r.node, host.id()) {
			continue
		}
		status := host.model.Status(0)
		r.apply(func(now time.Duration, router Router) { router.ObserveStatus(now, status) })
		r.emulator.queue.After(r.jitter(statusInterval), func() { r.pollStatus(host) })
		r.pollEvents(host)
	}
	if !r.central {
		r.emulator.queue.After(snapshotInterval, r.fetchSnapshots)
	}
}

// jitter returns a random duration between 3/4 and 5/4 of mean.
func (r *routerHost) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(r.emulator.queue.Random().Int64N(int64(mean/2+1)))
}

func (r *routerHost) pollStatus(host *engineHost) {
	queue := r.emulator.queue
	latency := r.emulator.network.between(r.zone, host.machine.Zone)
	queue.After(latency, func() {
		var status engine.Status
		reachable := !host.down
		if reachable {
			status = host.model.Status(queue.Now())
			host.processChanges()
		}
		queue.After(latency, func() { r.receiveStatus(host, status, reachable) })
	})
	queue.After(r.jitter(statusInterval), func() { r.pollStatus(host) })
}

func (r *routerHost) receiveStatus(host *engineHost, status engine.Status, reachable bool) {
	r.apply(func(now time.Duration, router Router) {
		if reachable {
			router.ObserveStatus(now, status)
		} else {
			router.ObserveUnreachable(now, host.id())
		}
	})
}

// pollEvents sends a long poll for an engine's cache events.
func (r *routerHost) pollEvents(host *engineHost) {
	latency := r.emulator.network.between(r.zone, host.machine.Zone)
	r.emulator.queue.After(latency, func() { r.waitForEvents(host) })
}

// waitForEvents answers the poll once the engine has events after the router's position.
func (r *routerHost) waitForEvents(host *engineHost) {
	feed := &r.feeds[host.index]
	feed.waiting = true
	after, _, followed := r.router.EventsAfter(host.id())
	if !followed || host.down {
		return
	}
	next, found := host.model.NextCacheEventAfter(after)
	if !found {
		return
	}
	feed.waiting = false
	r.emulator.queue.At(next+eventPollPause, func() { r.answerPoll(host) })
}

func (r *routerHost) answerPoll(host *engineHost) {
	latency := r.emulator.network.between(r.zone, host.machine.Zone)
	after, _, followed := r.router.EventsAfter(host.id())
	if !followed || host.down {
		r.feeds[host.index].waiting = true
		return
	}
	events := engine.CacheEvents{
		Incarnation: host.model.Incarnation(),
		Events:      host.model.CacheEventsAfter(r.now(), after),
	}
	host.processChanges()
	r.emulator.queue.After(latency, func() {
		id := host.id()
		r.apply(func(now time.Duration, router Router) { router.ObserveCacheEvents(now, id, events) })
		r.pollEvents(host)
	})
}

// engineChanged checks whether a waiting poll can be answered.
func (r *routerHost) engineChanged(host *engineHost) {
	if len(r.feeds) > 0 && r.feeds[host.index].waiting {
		r.waitForEvents(host)
	}
	if observer, isObserver := r.router.(engineObserver); isObserver {
		r.apply(func(now time.Duration, _ Router) { observer.engineChanged(now, host) })
	}
}

// engineObserver is a router that observes engines directly and without delay.
type engineObserver interface {
	engineChanged(now time.Duration, host *engineHost)
	dispatchArrived(now time.Duration, host *engineHost, stream fleet.StreamID)
}

// fetchSnapshots fetches the cache snapshots that the router needs, and schedules the next check.
func (r *routerHost) fetchSnapshots() {
	needed := r.router.NeedsSnapshot()
	for _, host := range r.emulator.engines {
		if slices.Contains(needed, host.id()) {
			r.fetchSnapshot(host)
		}
	}
	r.emulator.queue.After(snapshotInterval, r.fetchSnapshots)
}

func (r *routerHost) fetchSnapshot(host *engineHost) {
	latency := r.emulator.network.between(r.zone, host.machine.Zone)
	r.emulator.queue.After(latency, func() {
		if host.down {
			return
		}
		snapshot := host.model.CacheSnapshot(r.now())
		host.processChanges()
		r.emulator.queue.After(latency, func() {
			r.apply(func(now time.Duration, router Router) { router.ObserveCacheSnapshot(now, host.id(), snapshot) })
		})
	})
}
