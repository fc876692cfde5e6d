package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/prefixindex"
)

// ObserveMachine applies an entry of the machine list. It ignores entries of other kinds and of a
// run older than the newest known one.
func (c *Core) ObserveMachine(now time.Duration, machine platform.Machine) {
	if machine.Kind != platform.MachineEngine {
		return
	}
	c.advance(now)
	id := fleet.EngineID(machine.ID)
	if machine.Incarnation < c.newestIncarnation(id) {
		return
	}
	state := c.engines[id]
	if state == nil {
		state = c.addEngine(id)
	}
	c.resetIfNewer(now, state, machine.Incarnation)
	state.machine = machine
	if machine.State == platform.MachineLeaving {
		state.markLeaving(LeavingMachineList)
	}
	c.applyDirectives(state)
	c.engineChanged(now, state)
	c.dispatchWaiting(now)
}

// newestIncarnation returns the highest known incarnation of an engine.
func (c *Core) newestIncarnation(id fleet.EngineID) fleet.Incarnation {
	if state := c.engines[id]; state != nil {
		return state.run.Incarnation
	}
	return c.pastRuns[id].incarnation
}

func (c *Core) addEngine(id fleet.EngineID) *engineState {
	state := newEngineState(id, c.pastRuns[id])
	delete(c.pastRuns, id)
	state.owned = c.owned(id)
	c.engines[id] = state
	position, _ := slices.BinarySearchFunc(c.ordered, state, compareEngines)
	c.ordered = slices.Insert(c.ordered, position, state)
	return state
}

// ForgetMachine removes an engine that has left the machine list. Only its newest incarnation and
// its leaving state are kept.
func (c *Core) ForgetMachine(now time.Duration, id fleet.EngineID) {
	state := c.engines[id]
	if state == nil {
		return
	}
	c.advance(now)
	c.endGrantsOf(now, state)
	c.pastRuns[id] = pastRun{incarnation: state.run.Incarnation, leaving: state.leaving}
	delete(c.engines, id)
	position, _ := slices.BinarySearchFunc(c.ordered, state, compareEngines)
	c.ordered = slices.Delete(c.ordered, position, position+1)
	state.owned = false
	c.engineChanged(now, state)
	c.dispatchWaiting(now)
}

// ObserveStatus applies a status reported by an engine. It ignores an engine that isn't in the
// machine list, because its address isn't known.
func (c *Core) ObserveStatus(now time.Duration, status engine.Status) {
	state := c.engines[status.Engine]
	if state == nil || status.Incarnation < state.run.Incarnation {
		return
	}
	c.advance(now)
	c.resetIfNewer(now, state, status.Incarnation)
	state.updateStatus(now, status)
	state.load.applyReport(now, status.Load, c.options.DispatchDelay)
	if status.Leaving {
		state.markLeaving(LeavingEngine)
	}
	c.engineChanged(now, state)
	c.dispatchWaiting(now)
}

// ObserveUnreachable records that an engine didn't answer. It gets no work until its next status.
func (c *Core) ObserveUnreachable(now time.Duration, id fleet.EngineID) {
	if state := c.engines[id]; state != nil {
		c.advance(now)
		state.unreachable = true
		c.dispatchWaiting(now)
	}
}

// NeedsStatus returns, by identifier, the owned engines whose status is needed at once: those
// without a status and those marked unreachable.
func (c *Core) NeedsStatus() []fleet.EngineID {
	return c.selectEngines(func(state *engineState) bool {
		return state.status == nil || state.unreachable
	})
}

// ObserveCacheEvents applies an engine's response to a poll for cache events.
func (c *Core) ObserveCacheEvents(now time.Duration, id fleet.EngineID, events engine.CacheEvents) {
	state := c.cacheSource(now, id, events.Incarnation)
	if state == nil {
		return
	}
	state.feed.Apply(now, events)
}

// ObserveCacheSnapshot applies a snapshot of an engine's cached blocks.
func (c *Core) ObserveCacheSnapshot(now time.Duration, id fleet.EngineID, snapshot engine.CacheSnapshot) {
	state := c.cacheSource(now, id, snapshot.Incarnation)
	if state == nil {
		return
	}
	state.feed.ApplySnapshot(now, snapshot)
}

// cacheSource returns the engine whose feed accepts a response of the given incarnation, or nil. A
// newer incarnation replaces the current run.
func (c *Core) cacheSource(now time.Duration, id fleet.EngineID, incarnation fleet.Incarnation) *engineState {
	state := c.engines[id]
	if state == nil || incarnation < state.run.Incarnation {
		return nil
	}
	c.now = max(c.now, now)
	if state.feed == nil {
		return nil
	}
	if c.resetIfNewer(now, state, incarnation) {
		c.engineChanged(now, state)
		c.dispatchWaiting(now)
	}
	return state
}

// NeedsSnapshot returns, by identifier, the engines whose cache snapshot is to be fetched now. It
// names an engine once per request of its feed.
func (c *Core) NeedsSnapshot() []fleet.EngineID {
	return c.selectEngines(func(state *engineState) bool {
		return state.feed != nil && state.feed.RequestSnapshot(c.now)
	})
}

// IsSynchronized reports whether every engine that this router places on has reported its status
// and has had a complete cache snapshot.
func (c *Core) IsSynchronized() bool {
	for _, state := range c.ordered {
		if !state.isPlaceable() {
			continue
		}
		if state.status == nil || state.feed == nil || state.feed.Counts().Snapshots == 0 {
			return false
		}
	}
	return true
}

// EventsAfter returns the sequence number and incarnation from which to poll an engine's cache
// events, and false if the router doesn't follow them.
func (c *Core) EventsAfter(id fleet.EngineID) (uint64, fleet.Incarnation, bool) {
	state := c.engines[id]
	if state == nil || state.feed == nil {
		return 0, 0, false
	}
	return state.feed.LastReceived(), state.run.Incarnation, true
}

// SetOwned sets which engines this router owns. The router places requests on owned engines only
// and follows only their caches.
func (c *Core) SetOwned(owned func(fleet.EngineID) bool) {
	c.owned = owned
	for _, state := range c.ordered {
		state.owned = owned(state.run.Engine)
		if !state.owned {
			state.releaseOwnership()
		}
		c.updateFeed(state)
		c.updatePools(state)
	}
	c.recheckWaiting(c.now)
	c.dispatchWaiting(c.now)
}

// selectEngines returns the owned engines that match, by identifier.
func (c *Core) selectEngines(match func(*engineState) bool) []fleet.EngineID {
	var selected []fleet.EngineID
	for _, state := range c.ordered {
		if state.owned && match(state) {
			selected = append(selected, state.run.Engine)
		}
	}
	return selected
}

func compareEngines(a, b *engineState) int { return cmp.Compare(a.run.Engine, b.run.Engine) }

// resetIfNewer replaces an engine's run by a newer one and reports whether it did.
func (c *Core) resetIfNewer(now time.Duration, state *engineState, incarnation fleet.Incarnation) bool {
	if incarnation <= state.run.Incarnation {
		return false
	}
	c.endGrantsOf(now, state)
	c.index.RemoveRun(state.run)
	state.reset(incarnation)
	c.applyDirectives(state)
	c.updateFeed(state)
	return true
}

// applyDirectives applies the operators' directives on the current run.
func (c *Core) applyDirectives(state *engineState) {
	if c.view == nil {
		return
	}
	state.drainDirected = slices.ContainsFunc(c.view.Directives(state.run), func(directive config.Directive) bool {
		return directive.Kind == config.DirectiveDrain || directive.Kind == config.DirectiveRetire
	})
}

// updateFeed starts or stops indexing an engine's cache according to ownership.
func (c *Core) updateFeed(state *engineState) {
	if state.owned && state.feed == nil {
		state.feed = prefixindex.NewFeed(c.index, state.run, c.options.Feed)
	}
	if !state.owned && state.feed != nil {
		state.feed = nil
		c.index.RemoveRun(state.run)
	}
}

// engineChanged updates the indexes after a change of one engine, and concludes the waiting
// requests that have no engine left.
func (c *Core) engineChanged(now time.Duration, state *engineState) {
	c.updateFeed(state)
	if c.updatePools(state) {
		c.recheckWaiting(now)
	}
}

// updatePools updates the pool that lists an engine. It reports whether a pool lost the engine.
func (c *Core) updatePools(state *engineState) bool {
	c.updateForeignCount(state)
	wanted := state.isPlaceable()
	if wanted && state.inPool && state.pool == state.machine.Pool {
		return false
	}
	lost := state.inPool
	if lost {
		members := c.byPool[state.pool]
		position, _ := slices.BinarySearchFunc(members, state, compareEngines)
		c.byPool[state.pool] = slices.Delete(members, position, position+1)
	}
	state.inPool = wanted
	if wanted {
		state.pool = state.machine.Pool
		members := c.byPool[state.pool]
		position, _ := slices.BinarySearchFunc(members, state, compareEngines)
		c.byPool[state.pool] = slices.Insert(members, position, state)
	}
	return lost
}
