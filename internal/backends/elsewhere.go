package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxElsewhereChecks bounds the workers that HasElsewhere examines. In a larger pool it may miss the
// only worker with room.
const maxElsewhereChecks = 64

// HasElsewhere reports whether a worker other than the given one could take a request now: it is
// listed, ready, not suspended and not full, and its version is allowed.
func (r *Registry) HasElsewhere(now time.Duration, request *Request, from fleet.EngineID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.totalsAt(now)
	checked := 0
	for _, state := range r.poolOf(request.Service).all() {
		if state.worker.ID == from || !state.isListed() || state.silence.IsActive() {
			continue
		}
		if checked == maxElsewhereChecks {
			break
		}
		checked++
		if r.canTake(now, request, state) {
			return true
		}
	}
	return false
}

// canTake reports whether a worker is eligible under one of the software choices of a request. The
// mutex must be held.
func (r *Registry) canTake(now time.Duration, request *Request, state *workerState) bool {
	for software := request.Software; ; software = software.Fallback() {
		s := &search{Registry: r, now: now, request: request, software: software}
		if s.assess(state) == verdictEligible {
			return true
		}
		if software.Fallback() == nil {
			return false
		}
	}
}
