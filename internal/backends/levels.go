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
func (l *loadLevels) add(known *workerState, level int) {
	known.level, known.levelIndex = level, len(l.members[level])
	l.members[level] = append(l.members[level], known)
	l.count++
}

// remove takes a worker out.
func (l *loadLevels) remove(known *workerState) {
	members := l.members[known.level]
	last := len(members) - 1
	members[known.levelIndex] = members[last]
	members[known.levelIndex].levelIndex = known.levelIndex
	members[last] = nil
	l.members[known.level] = members[:last]
	l.count--
}

// levelOf returns the level of a worker by its load over the nodes that have told theirs.
func (r *Registry) levelOf(known *workerState) int {
	inFlight, prefill := known.inFlight, known.prefillTokens
	if others := r.peers.totals.worker(known.worker.ID); others != nil {
		inFlight += others.InFlight
		prefill += others.PrefillTokens
	}
	slots, over := max(known.worker.Slots, 1), slotLevels
	if len(known.worker.Versions) == 0 {
		over = plainLevels
	}
	level := inFlight*over/slots + prefill/levelTokens + queuedLevels*max(inFlight+1-slots, 0)
	return min(max(level, 0), levelCount-1)
}

// updateLevel puts a worker at its level after a change of its load; the mutex is held.
func (r *Registry) updateLevel(known *workerState) {
	if known.pool == nil {
		return
	}
	if level := r.levelOf(known); level != known.level {
		list := &known.pool.tiers[known.tier]
		list.remove(known)
		list.add(known, level)
	}
}

// updateLevelByID is relevel for a worker of which a peer has told.
func (r *Registry) updateLevelByID(id fleet.EngineID) {
	if known := r.workers[id]; known != nil {
		r.updateLevel(known)
	}
}

// updateAllLevels puts all workers at their levels.
func (r *Registry) updateAllLevels() {
	for _, known := range r.workers {
		r.updateLevel(known)
	}
}
