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
	for software := request.Software; ; software = software.Fallback() {
		s := &search{Registry: r, now: now, request: request, software: software}
		eligible, allowed := s.looksElsewhere(from)
		switch {
		case eligible:
			return true
		case software.Fallback() == nil, allowed && !software.PrefersTarget():
			// As in a choice, others get the request only if there is no worker of an allowed version.
			return false
		}
	}
}

// looksElsewhere reports whether a worker other than the given one is eligible, and whether any is of an allowed
// version.
func (s *search) looksElsewhere(from fleet.EngineID) (eligible, allowed bool) {
	checked := 0
	for _, state := range s.poolOf(s.request.Service).all() {
		if !state.isListed() {
			continue
		}
		if state.worker.ID == from || state.silence.IsActive() {
			allowed = allowed || s.assess(state) != verdictIneligible
			continue
		}
		if checked == maxElsewhereChecks {
			break
		}
		checked++
		result := s.assess(state)
		if result == verdictEligible {
			return true, true
		}
		allowed = allowed || result != verdictIneligible
	}
	return false, allowed
}
