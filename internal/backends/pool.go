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
	lapsedTier = int(distances)
	tiers      = lapsedTier + 1
	noTier     = -1
)

// pool holds the workers of one service that may get requests, so that a choice finds few
// of them without a look at all.
type pool struct {
	service fleet.PoolName
	tiers   [tiers]levelled
	ring    ring
	// weights counts the listed workers by model and version.
	weights map[modelVersion]int
	looks   map[lookKey]*look
	buffer  []weighed
}

// modelVersion is a version of a model's weights.
type modelVersion struct {
	model   fleet.ModelName
	version WeightsVersion
}

// listed returns the number of listed workers.
func (p *pool) listed() int {
	count := 0
	for tier := range lapsedTier {
		count += p.tiers[tier].count
	}
	return count
}

// all returns the listed workers one after the other.
func (p *pool) all() iter.Seq2[int, *state] {
	return func(yield func(int, *state) bool) {
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
		known = &pool{service: service, weights: make(map[modelVersion]int), looks: make(map[lookKey]*look)}
		r.pools[service] = known
	}
	return known
}

// tierOf returns the tier where a worker belongs.
func (r *Registry) tierOf(known *state) int {
	switch {
	case known.worker.Draining, !r.subsets.contains(known.worker.Service, known.hash):
		return noTier
	case known.gone:
		return lapsedTier
	default:
		return int(r.from(known.worker.Zone))
	}
}

// enlist puts a worker where it belongs after a change; the mutex is held.
func (r *Registry) enlist(known *state) {
	tier := r.tierOf(known)
	if tier == known.tier && known.pool != nil && known.pool.service == known.worker.Service {
		return
	}
	r.delist(known)
	if tier == noTier {
		return
	}
	into := r.poolOf(known.worker.Service)
	known.pool, known.tier = into, tier
	into.tiers[tier].add(known, r.levelOf(known))
	if tier != lapsedTier {
		into.ring.add(known)
		into.count(known.worker.Versions, 1)
	}
}

// delist takes a worker out of its pool; the mutex is held.
func (r *Registry) delist(known *state) {
	from := known.pool
	if from == nil {
		return
	}
	from.tiers[known.tier].remove(known)
	if known.tier != lapsedTier {
		from.ring.remove(known)
		from.count(known.worker.Versions, -1)
	}
	known.pool, known.tier = nil, noTier
}

// setVersions changes what a worker runs; the mutex is held.
func (r *Registry) setVersions(known *state, versions map[fleet.ModelName]WeightsVersion) {
	if known.pool != nil && known.tier != lapsedTier {
		known.pool.count(known.worker.Versions, -1)
		known.pool.count(versions, 1)
	}
	known.worker.Versions = versions
}

// count adds to the workers of versions.
func (p *pool) count(versions map[fleet.ModelName]WeightsVersion, change int) {
	for model, version := range versions {
		key := modelVersion{model: model, version: version}
		p.weights[key] += change
		if p.weights[key] == 0 {
			delete(p.weights, key)
		}
	}
}

// longSide returns the hash up to which engines are kept for long prompts, and whether any
// are kept for either size; the mutex is held.
func (r *Registry) longSide(now time.Duration, of *pool) (bound uint64, apart bool) {
	work := r.peers.told(now).work[of.service]
	if own := r.partitions[of.service]; own != nil {
		work = work.add(own.work(now))
	}
	kept, apart := work.forLong(len(of.ring.sides))
	if !apart {
		return 0, false
	}
	return of.ring.sides[kept-1], true
}

// keptForOthers returns which engines are kept for prompts of another size than a
// request's; the mutex is held.
func (r *Registry) keptForOthers(now time.Duration, of *pool, engine *EngineRequest) func(*state) bool {
	if engine == nil {
		return func(*state) bool { return false }
	}
	bound, apart := r.longSide(now, of)
	long := r.isLong(engine)
	return func(known *state) bool { return apart && (known.hash <= bound) != long }
}

// homeIn returns the engine of a window with the highest weight that fits, or nil.
func homeIn(window []weighed, fits func(*state) bool) *state {
	for len(window) > 0 {
		best := 0
		for at := range window {
			if window[at].weight > window[best].weight {
				best = at
			}
		}
		if fits(window[best].known) {
			return window[best].known
		}
		window = slices.Delete(window, best, best+1)
	}
	return nil
}
