package backends

import "github.com/tillerfall/tillerfall/internal/fleet"

const (
	levelCount = 64
	// levelTokens is the prompt work that counts for a level.
	levelTokens = 300
	// slotLevels are the levels over which an engine's slots fill, plainLevels those of
	// another worker: a stream beside others costs an engine little until no slot is free.
	slotLevels  = 1
	plainLevels = 16
	// queuedLevels are the levels for each request that waits for a slot.
	queuedLevels = 4
)

// loadLevels is a list of workers by load, so that a choice finds the least loaded of
// thousands at once: with nearly all slots taken, workers drawn from the whole list are mostly
// full.
type loadLevels struct {
	members [levelCount][]*workerState
	count   int
}

// add puts a worker at its level.
func (l *loadLevels) add(state *workerState, level int) {
	state.level, state.levelIndex = level, len(l.members[level])
	l.members[level] = append(l.members[level], state)
	l.count++
}

// remove takes a worker out.
func (l *loadLevels) remove(state *workerState) {
	members := l.members[state.level]
	last := len(members) - 1
	members[state.levelIndex] = members[last]
	members[state.levelIndex].levelIndex = state.levelIndex
	members[last] = nil
	l.members[state.level] = members[:last]
	l.count--
}

// levelOf returns the level of a worker by its load over the nodes that have told theirs.
func (r *Registry) levelOf(state *workerState) int {
	inFlight, prefill := state.inFlight, state.prefillTokens
	if others := r.peers.totals.worker(state.worker.ID); others != nil {
		inFlight += others.InFlight
		prefill += others.PrefillTokens
	}
	slots, over := max(state.worker.Slots, 1), slotLevels
	if len(state.worker.Versions) == 0 {
		over = plainLevels
	}
	level := inFlight*over/slots + prefill/levelTokens + queuedLevels*max(inFlight+1-slots, 0)
	return min(max(level, 0), levelCount-1)
}

// updateLevel puts a worker at its level after a change of its load; the mutex is held.
func (r *Registry) updateLevel(state *workerState) {
	if state.pool == nil {
		return
	}
	if level := r.levelOf(state); level != state.level {
		list := &state.pool.tiers[state.tier]
		list.remove(state)
		list.add(state, level)
	}
}

// updateLevelByID is relevel for a worker of which a peer has told.
func (r *Registry) updateLevelByID(id fleet.EngineID) {
	if state := r.workers[id]; state != nil {
		r.updateLevel(state)
	}
}

// updateAllLevels puts all workers at their levels.
func (r *Registry) updateAllLevels() {
	for _, state := range r.workers {
		r.updateLevel(state)
	}
}
