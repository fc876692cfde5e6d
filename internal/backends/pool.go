package backends

import (
	"iter"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// lapsed is the tier of workers whose row went without word of draining; the tiers before
// it are those of listed workers by their distance.
const (
	lapsedTier = int(distanceCount)
	tiers      = lapsedTier + 1
	noTier     = -1
)

// pool holds the workers of one service that may get requests, so that a choice finds few
// of them without a look at all.
type pool struct {
	service fleet.PoolName
	tiers   [tiers]loadLevels
	ring    ring
	// versionCounts counts the listed workers by model and version.
	versionCounts map[versionKey]int
	scans         map[scanKey]*scanResult
	windowBuffer  []weightedEngine
}

// versionKey is a version of a model's weights.
type versionKey struct {
	model   fleet.ModelName
	version ModelVersion
}

// listedCount returns the number of listedCount workers.
func (p *pool) listedCount() int {
	count := 0
	for tier := range lapsedTier {
		count += p.tiers[tier].count
	}
	return count
}

// all returns the listed workers one after the other.
func (p *pool) all() iter.Seq2[int, *workerState] {
	return func(yield func(int, *workerState) bool) {
		at := 0
		for tier := range lapsedTier {
			for _, members := range p.tiers[tier].members {
				for _, known := range members {
					if !yield(at, known) {
						return
					}
					at++
				}
			}
		}
	}
}

// poolOf returns the pool of a service; the mutex is held.
func (r *Registry) poolOf(service fleet.PoolName) *pool {
	known := r.pools[service]
	if known == nil {
		known = &pool{service: service, versionCounts: make(map[versionKey]int), scans: make(map[scanKey]*scanResult)}
		r.pools[service] = known
	}
	return known
}

// tierOf returns the tier where a worker belongs.
func (r *Registry) tierOf(known *workerState) int {
	switch {
	case known.worker.Draining, !r.subsets.contains(known.worker.Service, known.hash):
		return noTier
	case known.gone:
		return lapsedTier
	default:
		return int(r.distanceTo(known.worker.Zone))
	}
}

// updatePool puts a worker where it belongs after a change; the mutex is held.
func (r *Registry) updatePool(known *workerState) {
	tier := r.tierOf(known)
	if tier == known.tier && known.pool != nil && known.pool.service == known.worker.Service {
		return
	}
	r.removeFromPool(known)
	if tier == noTier {
		return
	}
	into := r.poolOf(known.worker.Service)
	known.pool, known.tier = into, tier
	into.tiers[tier].add(known, r.levelOf(known))
	if tier != lapsedTier {
		into.ring.add(known)
		into.countVersions(known.worker.Versions, 1)
	}
}

// removeFromPool takes a worker out of its pool; the mutex is held.
func (r *Registry) removeFromPool(known *workerState) {
	from := known.pool
	if from == nil {
		return
	}
	from.tiers[known.tier].remove(known)
	if known.tier != lapsedTier {
		from.ring.remove(known)
		from.countVersions(known.worker.Versions, -1)
	}
	known.pool, known.tier = nil, noTier
}

// setVersions changes what a worker runs; the mutex is held.
func (r *Registry) setVersions(known *workerState, versions map[fleet.ModelName]ModelVersion) {
	if known.pool != nil && known.tier != lapsedTier {
		known.pool.countVersions(known.worker.Versions, -1)
		known.pool.countVersions(versions, 1)
	}
	known.worker.Versions = versions
}

// countVersions adds to the workers of versions.
func (p *pool) countVersions(versions map[fleet.ModelName]ModelVersion, change int) {
	for model, version := range versions {
		key := versionKey{model: model, version: version}
		p.versionCounts[key] += change
		if p.versionCounts[key] == 0 {
			delete(p.versionCounts, key)
		}
	}
}

// longPromptBound returns the hash up to which engines are kept for long prompts, and whether any
// are kept for either size; the mutex is held.
func (r *Registry) longPromptBound(now time.Duration, of *pool) (bound uint64, apart bool) {
	work := r.peers.totalsAt(now).work[of.service]
	if own := r.workTrackers[of.service]; own != nil {
		work = work.add(own.work(now))
	}
	kept, apart := work.enginesForLong(len(of.ring.hashes))
	if !apart {
		return 0, false
	}
	return of.ring.hashes[kept-1], true
}

// reservedForOtherSize returns which engines are kept for prompts of another size than a
// request's; the mutex is held.
func (r *Registry) reservedForOtherSize(now time.Duration, of *pool, engine *EngineRequest) func(*workerState) bool {
	if engine == nil {
		return func(*workerState) bool { return false }
	}
	bound, apart := r.longPromptBound(now, of)
	long := r.isLongPrompt(engine)
	return func(known *workerState) bool { return apart && (known.hash <= bound) != long }
}

// homeIn returns the engine of a window with the highest weight that fits, or nil.
func homeIn(window []weightedEngine, fits func(*workerState) bool) *workerState {
	for len(window) > 0 {
		best := 0
		for at := range window {
			if window[at].weight > window[best].weight {
				best = at
			}
		}
		if fits(window[best].state) {
			return window[best].state
		}
		window = slices.Delete(window, best, best+1)
	}
	return nil
}
