package backends

import "github.com/tillerfall/tillerfall/internal/fleet"

const (
	levelCount = 64
	// levelTokens is the number of prefill tokens for each level.
	levelTokens = 300
	// slotLevels is the number of levels over which an engine's slots fill, and plainLevels that of
	// other workers. An engine's streams add little cost as long as slots are free.
	slotLevels  = 1
	plainLevels = 16
	// queuedLevels is the number of levels for each request that waits for a slot.
	queuedLevels = 4
)

// loadLevels groups workers by load, so that a choice finds the least loaded ones without scanning
// all.
type loadLevels struct {
	members [levelCount][]*workerState
	count   int
}

// add adds a worker at a level.
func (l *loadLevels) add(state *workerState, level int) {
	state.level, state.levelIndex = level, len(l.members[level])
	l.members[level] = append(l.members[level], state)
	l.count++
}

// remove removes a worker.
func (l *loadLevels) remove(state *workerState) {
	members := l.members[state.level]
	last := len(members) - 1
	members[state.levelIndex] = members[last]
	members[state.levelIndex].levelIndex = state.levelIndex
	members[last] = nil
	l.members[state.level] = members[:last]
	l.count--
}

// levelOf returns the level of a worker, by the load of this node and the reported load of its
// peers.
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

// updateLevel moves a worker to its level after a change of its load. The mutex must be held.
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

// updateLevelByID is updateLevel for a worker that a peer has reported on.
func (r *Registry) updateLevelByID(id fleet.EngineID) {
	if state := r.workers[id]; state != nil {
		r.updateLevel(state)
	}
}

// updateAllLevels moves all workers to their levels.
func (r *Registry) updateAllLevels() {
	for _, state := range r.workers {
		r.updateLevel(state)
	}
}
