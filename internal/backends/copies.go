package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// copySampleSize is the number of engines that are compared for a copy of a run: enough to
// find one with room among thousands without looking at all of them.
const copySampleSize = 6

// copyTarget returns the engine that is to hold a copy of a run at another one: of a few
// drawn at random the nearest, and of these the one whose memory has the most room, since
// moves over a distance take longer. One with a limit may not take the run when it has to go on
// there. It returns an empty worker if there is no other engine with the same weights; the mutex
// is held.
func (s *search) copyTarget(candidates []*workerState, chosen *workerState) Worker {
	model := s.request.Engine.Model
	var best *workerState
	bestDistance, bestTokens := SameZone, 0
	for range copySampleSize {
		state := candidates[s.options.Random.IntN(len(candidates))]
		if state == chosen || s.hasLimit(state) || state.worker.Versions[model] != chosen.worker.Versions[model] {
			continue
		}
		distance := s.options.Regions.Between(state.worker.Zone, chosen.worker.Zone)
		tokens := s.totalLoad(s.now, state).MemoryTokens
		if best == nil || distance < bestDistance || (distance == bestDistance && tokens < bestTokens) {
			best, bestDistance, bestTokens = state, distance, tokens
		}
	}
	if best == nil {
		return Worker{}
	}
	return best.worker
}

// Continue counts a request whose engine was lost at the one that should hold a copy of
// its run. It returns nil if that engine is leaving or gone, or has other weights by now.
func (r *Registry) Continue(now time.Duration, lost *Placement, model fleet.ModelName) *Placement {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	target := lost.Engine.CopyTo
	state := r.workers[target.ID]
	if state == nil || !state.isListed() || state.worker.Versions[model] != lost.Engine.Version {
		return nil
	}
	work := lost.work
	work.prefillTokens = 0
	placement := r.begin(now, state, 1, work)
	placement.Engine = &EnginePlacement{
		Version:    lost.Engine.Version,
		Scope:      lost.Engine.Scope,
		Prefix:     lost.Engine.Prefix,
		ContinueAt: state.worker.Address,
		hashes:     lost.Engine.hashes,
	}
	return placement
}
