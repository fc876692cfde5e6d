package backends

import "github.com/tillerfall/tillerfall/internal/fleet"

const (
	levels = 64
	// levelTokens is the prompt work that counts for a level.
	levelTokens = 300
	// slotLevels are the levels over which an engine's slots fill, plainLevels those of
	// another worker: a stream beside others costs an engine little until no slot is free.
	slotLevels  = 1
	plainLevels = 16
	// queuedLevels are the levels for each request that waits for a slot.
	queuedLevels = 4
)

// levelled is a list of workers by load, so that a choice finds the least loaded of
// thousands at once: with nearly all slots taken, workers drawn from the whole list are mostly
// full.
type levelled struct {
	members [levels][]*state
	count   int
}

// add puts a worker at its level.
func (l *levelled) add(known *state, level int) {
	known.level, known.at = level, len(l.members[level])
	l.members[level] = append(l.members[level], known)
	l.count++
}

// remove takes a worker out.
func (l *levelled) remove(known *state) {
	members := l.members[known.level]
	last := len(members) - 1
	members[known.at] = members[last]
	members[known.at].at = known.at
	members[last] = nil
	l.members[known.level] = members[:last]
	l.count--
}

// levelOf returns the level of a worker by its load over the nodes that have told theirs.
func (r *Registry) levelOf(known *state) int {
	inFlight, prefill := known.inFlight, known.prefill
	if others := r.peers.sum.worker(known.worker.ID); others != nil {
		inFlight += others.InFlight
		prefill += others.PrefillTokens
	}
	slots, over := max(known.worker.Slots, 1), slotLevels
	if len(known.worker.Versions) == 0 {
		over = plainLevels
	}
	level := inFlight*over/slots + prefill/levelTokens + queuedLevels*max(inFlight+1-slots, 0)
	return min(max(level, 0), levels-1)
}

// relevel puts a worker at its level after a change of its load; the mutex is held.
func (r *Registry) relevel(known *state) {
	if known.pool == nil {
		return
	}
	if level := r.levelOf(known); level != known.level {
		list := &known.pool.tiers[known.tier]
		list.remove(known)
		list.add(known, level)
	}
}

// relevelByID is relevel for a worker of which a peer has told.
func (r *Registry) relevelByID(id fleet.EngineID) {
	if known := r.workers[id]; known != nil {
		r.relevel(known)
	}
}

// relevelAll puts all workers at their levels.
func (r *Registry) relevelAll() {
	for _, known := range r.workers {
		r.relevel(known)
	}
}
