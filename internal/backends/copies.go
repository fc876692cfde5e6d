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
		known := candidates[s.options.Random.IntN(len(candidates))]
		if known == chosen || s.hasLimit(known) || known.worker.Versions[model] != chosen.worker.Versions[model] {
			continue
		}
		distance := s.options.Regions.Between(known.worker.Zone, chosen.worker.Zone)
		tokens := s.totalLoad(s.now, known).MemoryTokens
		if best == nil || distance < bestDistance || (distance == bestDistance && tokens < bestTokens) {
			best, bestDistance, bestTokens = known, distance, tokens
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
	known := r.workers[target.ID]
	if known == nil || !known.isListed() || known.worker.Versions[model] != lost.Engine.Version {
		return nil
	}
	work := lost.work
	work.prefillTokens = 0
	placement := r.begin(now, known, 1, work)
	placement.Engine = &EnginePlacement{
		Version:    lost.Engine.Version,
		Scope:      lost.Engine.Scope,
		Prefix:     lost.Engine.Prefix,
		ContinueAt: known.worker.Address,
		hashes:     lost.Engine.hashes,
	}
	return placement
}
