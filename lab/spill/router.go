package spill

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/placement"
)

// routerHost runs a router's placement core on the event queue.
type routerHost struct {
	world      *world
	member     membership.Member
	core       *placement.Core
	alive      bool
	owned      []*engineHost
	pending    map[placement.Key]*call
	nextTickAt time.Duration
}

// start starts the router with an empty core that owns no engines.
func (r *routerHost) start() {
	w := r.world
	options := placement.Options{Node: r.member.Node, Zone: r.member.Zone, Random: w.newRandom()}
	if !w.options.Policy.Spill {
		options.MaxSpills = -1
	}
	r.core = placement.New(options)
	r.core.SetOwned(func(fleet.EngineID) bool { return false })
	r.pending = make(map[placement.Key]*call)
	r.alive = true
	r.core.ApplyConfig(w.queue.Now(), w.view)
	for _, host := range w.engines {
		r.core.ObserveMachine(w.queue.Now(), host.machine)
	}
	w.queue.After(w.jitter(pollInterval), r.poll)
}

// crash ends the router. Its pending placement calls fail; its grants remain valid.
func (r *routerHost) crash() {
	r.alive = false
	pending := r.pending
	r.pending = nil
	for _, c := range sortedCalls(pending) {
		r.world.queue.After(latency, c.handleRouterFailure)
	}
}

// updateOwned sets the router's engines by an assignment of owners.
func (r *routerHost) updateOwned(owners func(*engineHost) []fleet.NodeID) {
	r.owned = nil
	ids := make(map[fleet.EngineID]bool)
	for _, host := range r.world.engines {
		if slices.Contains(owners(host), r.member.Node) {
			r.owned = append(r.owned, host)
			ids[host.id()] = true
		}
	}
	r.updateCore(func(time.Duration) { r.core.SetOwned(func(id fleet.EngineID) bool { return ids[id] }) })
	r.observe()
}

func (r *routerHost) poll() {
	if !r.alive {
		return
	}
	r.observe()
	r.world.queue.After(r.world.jitter(pollInterval), r.poll)
}

// observe reads the status and cache events of the owned engines, and the cache snapshots that the
// core needs.
func (r *routerHost) observe() {
	r.updateCore(func(now time.Duration) {
		for _, host := range r.owned {
			r.core.ObserveStatus(now, host.model.Status(now))
			if after, incarnation, followed := r.core.EventsAfter(host.id()); followed {
				events := host.model.CacheEventsAfter(now, after)
				r.core.ObserveCacheEvents(now, host.id(), engine.CacheEvents{Incarnation: incarnation, Events: events})
			}
			host.update()
		}
		for _, id := range r.core.NeedsSnapshot() {
			r.core.ObserveCacheSnapshot(now, id, r.world.engineByID[id].model.CacheSnapshot(now))
			r.world.result.Snapshots++
		}
	})
}

// updateCore applies a step to the core, delivers its outcomes and schedules its next tick.
func (r *routerHost) updateCore(step func(now time.Duration)) {
	now := r.world.queue.Now()
	step(now)
	for _, outcome := range r.core.TakeOutcomes() {
		c := r.pending[outcome.OutcomeKey()]
		delete(r.pending, outcome.OutcomeKey())
		if c != nil {
			r.world.queue.After(latency, func() { c.handleOutcome(outcome) })
		}
	}
	r.scheduleTick(now)
}

func (r *routerHost) scheduleTick(now time.Duration) {
	at, found := r.core.NextWake()
	if !found {
		return
	}
	at = max(at, now+time.Millisecond)
	if r.nextTickAt > now && r.nextTickAt <= at {
		return
	}
	r.nextTickAt = at
	r.world.queue.At(at, func() {
		if r.alive && r.nextTickAt == at {
			r.nextTickAt = 0
			r.updateCore(r.core.Tick)
		}
	})
}

// submit serves a placement call.
func (r *routerHost) submit(c *call, request placement.Request) {
	if !r.alive {
		r.world.queue.After(connectTimeout, c.handleRouterFailure)
		return
	}
	r.pending[request.Key] = c
	r.updateCore(func(now time.Duration) { r.core.Submit(now, request) })
}

func (r *routerHost) report(report placement.AttemptReport) {
	if r.alive {
		r.updateCore(func(now time.Duration) { r.core.Report(now, report) })
	}
}
