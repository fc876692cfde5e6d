package backends

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// lapsedTier is the tier of workers whose row was deleted without the worker draining. The tiers
// before it hold the listed workers by distance.
const (
	lapsedTier = int(distanceCount)
	tiers      = lapsedTier + 1
	noTier     = -1
)

// pool holds the workers of one service that may get requests, indexed so that a choice need not
// scan all of them.
type pool struct {
	service fleet.PoolName
	tiers   [tiers]loadLevels
	ring    ring
	// versionCounts counts the listed workers by model version.
	versionCounts map[versionKey]int
	// softwareCounts counts the workers that may get requests by software version.
	softwareCounts map[fleet.SoftwareVersion]int
	scans          map[scanKey]*scanResult
	windowBuffer   []weightedEngine
}

// versionKey identifies a version of a model.
type versionKey struct {
	model   fleet.ModelName
	version ModelVersion
}

// listedCount returns the number of listed workers.
func (p *pool) listedCount() int {
	count := 0
	for tier := range lapsedTier {
		count += p.tiers[tier].count
	}
	return count
}

// all iterates over the listed workers.
func (p *pool) all() iter.Seq2[int, *workerState] {
	return func(yield func(int, *workerState) bool) {
		index := 0
		for tier := range lapsedTier {
			for _, members := range p.tiers[tier].members {
				for _, state := range members {
					if !yield(index, state) {
						return
					}
					index++
				}
			}
		}
	}
}

// poolOf returns the pool of a service and creates it if needed. The mutex must be held.
func (r *Registry) poolOf(service fleet.PoolName) *pool {
	servicePool := r.pools[service]
	if servicePool == nil {
		servicePool = &pool{
			service: service, versionCounts: make(map[versionKey]int), softwareCounts: make(map[fleet.SoftwareVersion]int),
			scans: make(map[scanKey]*scanResult),
		}
		r.pools[service] = servicePool
	}
	return servicePool
}

// tierOf returns the tier that a worker belongs to.
func (r *Registry) tierOf(state *workerState) int {
	switch {
	case state.worker.Draining, !r.subsets.contains(state.worker.Service, state.hash):
		return noTier
	case state.gone:
		return lapsedTier
	default:
		return int(r.distanceTo(state.worker.Zone))
	}
}

// updatePool moves a worker to the pool and tier that it belongs to. The mutex must be held.
func (r *Registry) updatePool(state *workerState) {
	tier := r.tierOf(state)
	if tier == state.tier && state.pool != nil && state.pool.service == state.worker.Service {
		return
	}
	r.removeFromPool(state)
	if tier == noTier {
		return
	}
	target := r.poolOf(state.worker.Service)
	state.pool, state.tier = target, tier
	target.tiers[tier].add(state, r.levelOf(state))
	target.countSoftware(state.worker.Software, 1)
	if tier != lapsedTier {
		target.ring.add(state)
		target.countVersions(state.worker.Versions, 1)
	}
}

// removeFromPool removes a worker from its pool. The mutex must be held.
func (r *Registry) removeFromPool(state *workerState) {
	current := state.pool
	if current == nil {
		return
	}
	current.tiers[state.tier].remove(state)
	current.countSoftware(state.worker.Software, -1)
	if state.tier != lapsedTier {
		current.ring.remove(state)
		current.countVersions(state.worker.Versions, -1)
	}
	state.pool, state.tier = nil, noTier
}

// setVersions updates the versions of a worker and the counts of its pool. The mutex must be held.
func (r *Registry) setVersions(state *workerState, versions map[fleet.ModelName]ModelVersion) {
	if state.pool != nil && state.tier != lapsedTier {
		state.pool.countVersions(state.worker.Versions, -1)
		state.pool.countVersions(versions, 1)
	}
	state.worker.Versions = versions
}

// countSoftware adds change to the count of a software version.
func (p *pool) countSoftware(version fleet.SoftwareVersion, change int) {
	p.softwareCounts[version] += change
	if p.softwareCounts[version] == 0 {
		delete(p.softwareCounts, version)
	}
}

// SoftwareVersions returns, by service, the software versions of the workers that may get requests, in
// order.
func (r *Registry) SoftwareVersions() map[fleet.PoolName][]fleet.SoftwareVersion {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	versions := make(map[fleet.PoolName][]fleet.SoftwareVersion, len(r.pools))
	for service, servicePool := range r.pools {
		versions[service] = slices.Sorted(maps.Keys(servicePool.softwareCounts))
	}
	return versions
}

// countVersions adds change to the count of each version.
func (p *pool) countVersions(versions map[fleet.ModelName]ModelVersion, change int) {
	for model, version := range versions {
		key := versionKey{model: model, version: version}
		p.versionCounts[key] += change
		if p.versionCounts[key] == 0 {
			delete(p.versionCounts, key)
		}
	}
}

// longPromptBound returns the highest hash of the engines reserved for long prompts, and whether
// the pool is partitioned by prompt size. The mutex must be held.
func (r *Registry) longPromptBound(now time.Duration, servicePool *pool) (bound uint64, partitioned bool) {
	work := r.peers.totalsAt(now).work[servicePool.service]
	if own := r.workTrackers[servicePool.service]; own != nil {
		work = work.add(own.work(now))
	}
	longEngines, partitioned := work.enginesForLong(len(servicePool.ring.hashes))
	if !partitioned {
		return 0, false
	}
	return servicePool.ring.hashes[longEngines-1], true
}

// reservedForOtherSize returns a predicate that reports whether an engine is reserved for prompts
// of another size than the request's. The mutex must be held.
func (r *Registry) reservedForOtherSize(now time.Duration, servicePool *pool, engine *EngineRequest) func(*workerState) bool {
	if engine == nil {
		return func(*workerState) bool { return false }
	}
	bound, partitioned := r.longPromptBound(now, servicePool)
	long := r.isLongPrompt(engine)
	return func(state *workerState) bool { return partitioned && (state.hash <= bound) != long }
}

// homeIn returns the eligible engine with the highest weight in a window, or nil.
func homeIn(window []weightedEngine, isEligible func(*workerState) bool) *workerState {
	for len(window) > 0 {
		best := 0
		for index := range window {
			if window[index].rendezvousWeight > window[best].rendezvousWeight {
				best = index
			}
		}
		if isEligible(window[best].state) {
			return window[best].state
		}
		window = slices.Delete(window, best, best+1)
	}
	return nil
}
