package simulation

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// Intervals and timeouts of a router's engine polling.
const (
	statusInterval   = 250 * time.Millisecond
	statusTimeout    = time.Second
	snapshotInterval = 100 * time.Millisecond
	eventInterval    = 100 * time.Millisecond
	eventTimeout     = 2 * time.Second
	machineInterval  = time.Second
	statusMaxAge     = 5 * time.Second
	// unreachableAfter is the number of consecutive failed polls after which an engine that accepts
	// connections counts as unreachable.
	unreachableAfter = 2
)

// observedStatus is the last status received from an engine.
type observedStatus struct {
	status engine.Status
	at     time.Duration
}

// startEngines starts polling the platform's list of machines and the engines.
func (r *router) startEngines() {
	r.pollMachines()
	r.fetchNeededSnapshots()
}

// pollMachines reads the platform's list of machines periodically.
func (r *router) pollMachines() {
	if machines, reached := r.world.readMachines(&r.process); reached {
		r.machinesFromPlatform = true
		r.setMachines(machines)
	}
	pause := machineInterval*3/4 + time.Duration(r.world.random.Int64N(int64(machineInterval/2)))
	r.after(pause, r.pollMachines)
}

// offerMachines uses a list of machines from an agent or peer until the platform has answered once.
func (r *router) offerMachines(machines []platform.Machine) {
	if len(machines) > 0 && !r.machinesFromPlatform {
		r.setMachines(machines)
	}
}

func (r *router) setMachines(machines []platform.Machine) {
	listed := make(map[string]bool, len(machines))
	for _, machine := range machines {
		listed[machine.ID] = true
	}
	for _, known := range r.machines {
		if !listed[known.ID] {
			r.updateCore(func(now time.Duration) { r.core.ForgetMachine(now, fleet.EngineID(known.ID)) })
		}
	}
	r.machines = machines
	for _, machine := range machines {
		r.updateCore(func(now time.Duration) { r.core.ObserveMachine(now, machine) })
		if id := fleet.EngineID(machine.ID); !r.polled[id] {
			r.polled[id] = true
			r.pollStatus(id, 0)
			r.pollEvents(id)
		}
	}
}

// pollStatus requests an engine's status periodically.
func (r *router) pollStatus(id fleet.EngineID, failures int) {
	r.requestStatus(id, func(reached bool, outcome callOutcome) {
		pause := statusInterval*3/4 + time.Duration(r.world.random.Int64N(int64(statusInterval/2)))
		if reached {
			r.after(pause, func() { r.pollStatus(id, 0) })
			return
		}
		failures++
		if failures == unreachableAfter || (failures == 1 && outcome == refused) {
			r.updateCore(func(now time.Duration) { r.core.ObserveUnreachable(now, id) })
		}
		r.after(pause, func() { r.pollStatus(id, failures) })
	})
}

func (r *router) requestStatus(id fleet.EngineID, done func(reached bool, outcome callOutcome)) {
	host := r.world.engineByID(id)
	serve := func(reply func(any) time.Duration) {
		status := host.model.Status(host.now())
		host.update()
		reply(status)
	}
	r.world.network.call(&r.process, &host.process, statusTimeout, serve, func(answer any, outcome callOutcome) {
		if outcome == answered {
			status := answer.(engine.Status)
			if known := r.statuses[id]; status.Incarnation >= known.status.Incarnation {
				r.statuses[id] = observedStatus{status: status, at: r.now()}
			}
			r.updateCore(func(now time.Duration) { r.core.ObserveStatus(now, status) })
		}
		done(outcome == answered, outcome)
	})
}

// pollEvents requests an engine's cache events periodically.
func (r *router) pollEvents(id fleet.EngineID) {
	again := func() { r.after(eventInterval, func() { r.pollEvents(id) }) }
	after, _, followed := r.core.EventsAfter(id)
	if !followed {
		again()
		return
	}
	host := r.world.engineByID(id)
	serve := func(reply func(any) time.Duration) {
		events := engine.CacheEvents{Incarnation: host.model.Incarnation(), Events: host.model.CacheEventsAfter(host.now(), after)}
		if r.world.options.Variant == MixRunsOfEngine {
			r.earlierSnapshots[id] = host.model.CacheSnapshot(host.now())
		}
		host.update()
		reply(events)
	}
	r.world.network.call(&r.process, &host.process, eventTimeout, serve, func(answer any, outcome callOutcome) {
		if outcome == answered {
			r.updateCore(func(now time.Duration) { r.core.ObserveCacheEvents(now, id, answer.(engine.CacheEvents)) })
		}
		again()
	})
}

// fetchNeededSnapshots periodically fetches the cache snapshots that the placement core needs.
func (r *router) fetchNeededSnapshots() {
	for _, id := range r.core.NeedsSnapshot() {
		r.fetchSnapshot(id)
	}
	r.after(snapshotInterval, r.fetchNeededSnapshots)
}

func (r *router) fetchSnapshot(id fleet.EngineID) {
	host := r.world.engineByID(id)
	serve := func(reply func(any) time.Duration) {
		snapshot := host.model.CacheSnapshot(host.now())
		host.update()
		reply(snapshot)
	}
	r.world.network.call(&r.process, &host.process, eventTimeout, serve, func(answer any, outcome callOutcome) {
		if outcome == answered {
			snapshot := answer.(engine.CacheSnapshot)
			if earlier := r.earlierSnapshots[id]; earlier.Incarnation < snapshot.Incarnation {
				snapshot.Hashes = append(snapshot.Hashes, earlier.Hashes...) // present only with MixRunsOfEngine
			}
			r.updateCore(func(now time.Duration) { r.core.ObserveCacheSnapshot(now, id, snapshot) })
		}
	})
}

// freshStatuses returns the statuses that are recent enough for the rollout, ordered by engine ID.
func (r *router) freshStatuses() []engine.Status {
	var fresh []engine.Status
	for _, observed := range r.statuses {
		if r.now()-observed.at <= statusMaxAge {
			fresh = append(fresh, observed.status)
		}
	}
	slices.SortFunc(fresh, func(a, b engine.Status) int { return compareStrings(a.Engine, b.Engine) })
	return fresh
}
