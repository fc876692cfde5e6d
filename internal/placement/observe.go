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

// ObserveMachine takes one entry of the list of machines. Entries of other
// kinds and of a run older than the newest known are ignored.
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

// newestIncarnation returns the highest incarnation ever known of an engine.
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

// ForgetMachine notes that the list doesn't show an engine any more. All that
// stays known is its newest run and whether that was leaving.
func (c *Core) ForgetMachine(now time.Duration, id fleet.EngineID) {
	state := c.engines[id]
	if state == nil {
		return
	}
	c.advance(now)
	c.dropGrantsOf(now, state)
	c.pastRuns[id] = pastRun{incarnation: state.run.Incarnation, leaving: state.leaving}
	delete(c.engines, id)
	position, _ := slices.BinarySearchFunc(c.ordered, state, compareEngines)
	c.ordered = slices.Delete(c.ordered, position, position+1)
	state.owned = false
	c.engineChanged(now, state)
	c.dispatchWaiting(now)
}

// ObserveStatus takes an engine's word about itself. An engine that the list
// doesn't show is ignored, since its address isn't known.
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

// ObserveUnreachable notes that an engine didn't answer. It gets no work until
// its next status.
func (c *Core) ObserveUnreachable(now time.Duration, id fleet.EngineID) {
	if state := c.engines[id]; state != nil {
		c.advance(now)
		state.unreachable = true
		c.dispatchWaiting(now)
	}
}

// NeedsStatus returns the engines whose status is wanted at once, by
// identifier: those that haven't given one or were said to be lost.
func (c *Core) NeedsStatus() []fleet.EngineID {
	return c.selectEngines(func(state *engineState) bool {
		return state.status == nil || state.unreachable
	})
}

// ObserveCacheEvents takes an engine's answer to a poll for cache events.
func (c *Core) ObserveCacheEvents(now time.Duration, id fleet.EngineID, events engine.CacheEvents) {
	state := c.cacheSource(now, id, events.Incarnation)
	if state == nil {
		return
	}
	state.feed.Apply(now, events)
}

// ObserveCacheSnapshot takes the whole set of an engine's cached blocks.
func (c *Core) ObserveCacheSnapshot(now time.Duration, id fleet.EngineID, snapshot engine.CacheSnapshot) {
	state := c.cacheSource(now, id, snapshot.Incarnation)
	if state == nil {
		return
	}
	state.feed.ApplySnapshot(now, snapshot)
}

// cacheSource returns the engine whose feed takes an answer of the given
// incarnation, or nil. An answer of a newer one ends the run known so far.
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

// NeedsSnapshot returns the engines whose cached blocks are to be fetched whole
// now, by identifier. Each is named once until the feed asks again.
func (c *Core) NeedsSnapshot() []fleet.EngineID {
	return c.selectEngines(func(state *engineState) bool {
		return state.feed != nil && state.feed.RequestSnapshot(c.now)
	})
}

// Synchronised tells whether every engine that gets requests here has given its
// status and its whole cache once.
func (c *Core) Synchronised() bool {
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

// EventsAfter returns the sequence number and the incarnation from which an
// engine's cache events are to be polled; false when they aren't followed.
func (c *Core) EventsAfter(id fleet.EngineID) (uint64, fleet.Incarnation, bool) {
	state := c.engines[id]
	if state == nil || state.feed == nil {
		return 0, 0, false
	}
	return state.feed.After(), state.run.Incarnation, true
}

// SetOwned says which engines this router owns. Only these get requests here
// and only their caches are followed.
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

// resetIfNewer starts over with a newer run of an engine.
func (c *Core) resetIfNewer(now time.Duration, state *engineState, incarnation fleet.Incarnation) bool {
	if incarnation <= state.run.Incarnation {
		return false
	}
	c.dropGrantsOf(now, state)
	c.index.RemoveRun(state.run)
	state.reset(incarnation)
	c.applyDirectives(state)
	c.updateFeed(state)
	return true
}

// applyDirectives takes over the operators' standing orders about the present
// run, as the newest known configuration has them.
func (c *Core) applyDirectives(state *engineState) {
	if c.view == nil {
		return
	}
	state.drainDirected = slices.ContainsFunc(c.view.Directives(state.run), func(directive config.Directive) bool {
		return directive.Kind == config.DirectiveDrain || directive.Kind == config.DirectiveRetire
	})
}

// updateFeed starts or stops keeping the index of an engine's cache.
func (c *Core) updateFeed(state *engineState) {
	if state.owned && state.feed == nil {
		state.feed = prefixindex.NewFeed(c.index, state.run, c.options.Feed)
	}
	if !state.owned && state.feed != nil {
		state.feed = nil
		c.index.RemoveRun(state.run)
	}
}

// engineChanged brings the lists up to date after a change of one engine, and
// gives an outcome to the requests that no engine is left for.
func (c *Core) engineChanged(now time.Duration, state *engineState) {
	c.updateFeed(state)
	if c.updatePools(state) {
		c.recheckWaiting(now)
	}
}

// updatePools brings an engine's updatePools in the pools up to date. It returns true when
// a pool lost the engine.
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
