package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// copySampleSize is the number of engines that are compared as targets for a request's copy:
	// enough to find one with free memory among thousands.
	copySampleSize = 6
	// copySampleAttempts bounds the engines that are drawn to find them, since some can't keep the
	// copy.
	copySampleAttempts = 4 * copySampleSize
)

// copyTarget returns the engine that is to keep a copy of a request's KV cache. Of a random sample
// of engines with the same model and software versions, drawn without replacement, it takes the
// nearest, and among those the one with the most free memory. Engines with a request limit are excluded, since they may
// not admit the request when it has to be resumed there. It returns an empty worker if there is
// none. The mutex must be held.
func (s *search) copyTarget(candidates []*workerState, chosen *workerState) Worker {
	model := s.request.Engine.Model
	var best *workerState
	bestDistance, bestTokens := SameZone, 0
	next, stride := s.options.Random.IntN(len(candidates)), strides[s.options.Random.IntN(len(strides))]
	compared := 0
	for range min(len(candidates), copySampleAttempts) {
		if compared == copySampleSize {
			break
		}
		state := candidates[next]
		next = (next + stride) % len(candidates)
		if state == chosen || s.hasLimit(state) || state.worker.Software != chosen.worker.Software ||
			state.worker.Versions[model] != chosen.worker.Versions[model] {
			continue
		}
		compared++
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

// Continue places a request whose engine was lost at the engine that should hold its copy. It
// returns nil if that engine is draining, gone, suspended as silent or has another model or software
// version.
func (r *Registry) Continue(now time.Duration, lost *Placement, model fleet.ModelName) *Placement {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.copyHolder(lost, model)
	if state == nil {
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

// CanContinue reports whether Continue would place a request now and the engine is ready.
func (r *Registry) CanContinue(now time.Duration, lost *Placement, model fleet.ModelName) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.copyHolder(lost, model)
	return state != nil && r.isReady(now, state)
}

// copyHolder returns the engine that should hold the copy of a placement's request, or nil if the
// request can't continue there. The mutex must be held.
func (r *Registry) copyHolder(lost *Placement, model fleet.ModelName) *workerState {
	state := r.workers[lost.Engine.CopyTo.ID]
	if state == nil || !state.isListed() || state.silence.IsActive() || state.worker.Software != lost.Worker.Software ||
		state.worker.Versions[model] != lost.Engine.Version {
		return nil
	}
	return state
}
