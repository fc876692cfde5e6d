package backends

import (
	"maps"
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// minSubsetSize is the minimum number of workers in a subset. Small subsets improve the reuse
	// of cached parts; the minimum leaves about forty workers in each of five zones, enough to
	// tolerate the loss of a zone or of a tenth of them. A subset is halved only if at least
	// shrinkMargin times the required number of workers remains.
	minSubsetSize = 192
	shrinkMargin  = 1.5
	// slotsPerRequest is the number of slots required for each request per second: one for a
	// request that takes a second, and three for bursts and uneven distribution.
	slotsPerRequest = 4
	// minDoublingInterval is the minimum time between two doublings of a subset, so that the effect
	// of a doubling is seen before the next one.
	minDoublingInterval = time.Second
	// maxHalvings limits the number of halvings.
	maxHalvings = 20
	// subsetSeed makes subset membership independent of the position on the ring and of the
	// partition by prompt size.
	subsetSeed = 0x9e3779b97f4a7c15
)

// Halvings is the number of times a service's workers are halved to form its subset. A worker
// belongs to the subset of h halvings if the first h bits of its seeded hash are 0. All nodes
// therefore agree on the subset without coordination, other workers do not affect a worker's
// membership, and each subset contains the next smaller one.
type Halvings uint8

// Subsets holds the halvings by service. All workers of a service without an entry are used.
type Subsets map[fleet.PoolName]Halvings

// contains reports whether the worker with the given hash belongs to a service's subset.
func (s Subsets) contains(service fleet.PoolName, hash uint64) bool {
	halvings := s[service]
	return halvings == 0 || membership.RendezvousMix(hash^subsetSeed)>>(64-halvings) == 0
}

// Widened returns the subsets enlarged by the given doublings.
func (s Subsets) Widened(doublings Subsets) Subsets {
	widened := make(Subsets, len(s))
	for service, halvings := range s {
		if left := halvings - min(halvings, doublings[service]); left > 0 {
			widened[service] = left
		}
	}
	return widened
}

// shortage records that a service's subset lacked capacity.
type shortage struct {
	doublings Halvings
	// doubledAt is the time of the last doubling.
	doubledAt time.Duration
}

// planHalvings returns the number of halvings for the given number of workers, so that at least
// minimum workers remain. It halves further only with the margin shrinkMargin, to avoid
// oscillation.
func planHalvings(current Halvings, workers, minimum int) Halvings {
	for current > 0 && workers>>current < minimum {
		current--
	}
	enough := int(math.Ceil(float64(minimum) * shrinkMargin))
	for current < maxHalvings && workers>>(current+1) >= enough {
		current++
	}
	return current
}

// PlanSubsets returns the subsets for all known workers and the upcoming ones, which are about to
// be observed, at a total rate of requests per second over all nodes. Only a node that tracks all
// workers can plan.
func (r *Registry) PlanSubsets(rate float64, upcoming []Worker) Subsets {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts, slots := make(map[fleet.PoolName]int), make(map[fleet.PoolName]int)
	count := func(worker *Worker) {
		counts[worker.Service]++
		slots[worker.Service] = max(slots[worker.Service], worker.Slots)
	}
	for _, state := range r.workers {
		if state.isListed() {
			count(&state.worker)
		}
	}
	for index := range upcoming {
		if r.workers[upcoming[index].ID] == nil {
			count(&upcoming[index])
		}
	}
	planned := make(Subsets)
	for service, workers := range counts {
		needed := int(math.Ceil(rate * slotsPerRequest / float64(max(slots[service], 1))))
		if halvings := planHalvings(r.planned[service], workers, max(minSubsetSize, needed)); halvings > 0 {
			planned[service] = halvings
		}
	}
	r.planned = planned
	return planned.Widened(r.doublings())
}

// doublings returns the number of doublings that this node requests. The mutex must be held.
func (r *Registry) doublings() Subsets {
	doublings := make(Subsets, len(r.shortages))
	for service, current := range r.shortages {
		doublings[service] = current.doublings
	}
	return doublings
}

// RequestedDoublings returns, by service, how often this node requests to double the planned
// subset, because it lacked capacity for the node's requests.
func (r *Registry) RequestedDoublings() Subsets {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.doublings()
}

// recordShortage records that a service's subset had no capacity for a request. The mutex must be
// held.
func (r *Registry) recordShortage(now time.Duration, service fleet.PoolName) {
	current := r.shortages[service]
	if r.subsets[service] == 0 || (current.doublings > 0 && now < current.doubledAt+minDoublingInterval) {
		return
	}
	r.shortages[service] = shortage{doublings: current.doublings + 1, doubledAt: now}
}

// SetSubsets activates subsets: only their workers get requests. Unless all is set, workers outside
// them are no longer tracked once they have no request in flight. It reports whether anything
// changed.
func (r *Registry) SetSubsets(subsets Subsets, all bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if maps.Equal(r.subsets, subsets) && r.onlySubsets == !all {
		return false
	}
	r.subsets, r.onlySubsets = subsets, !all
	for id, state := range r.workers {
		r.updatePool(state)
		if r.isOutsideSubsets(state) {
			r.drop(id, state)
		}
	}
	return true
}

// ActiveSubsets returns the active subsets. Callers must not modify them.
func (r *Registry) ActiveSubsets() Subsets {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.subsets
}

// SubsetFilter returns a function that reports whether a worker belongs to the subsets. It returns
// true for unknown workers, so that the caller is informed of them.
func (r *Registry) SubsetFilter(subsets Subsets) func(id string) bool {
	return func(id string) bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		state := r.workers[fleet.EngineID(id)]
		return state == nil || subsets.contains(state.worker.Service, state.hash)
	}
}

// isOutsideSubsets reports whether a worker need not be tracked. The mutex must be held.
func (r *Registry) isOutsideSubsets(state *workerState) bool {
	return r.onlySubsets && state.inFlight == 0 && !r.subsets.contains(state.worker.Service, state.hash)
}

// drop removes a worker from the registry. The mutex must be held.
func (r *Registry) drop(id fleet.EngineID, state *workerState) {
	if state.worker.Draining {
		r.forgottenDraining[id] = drainingRecord{startTime: state.worker.StartTime}
	}
	delete(r.unpublishedDraining, id)
	r.forgetSpeed(&state.worker)
	r.parts.remove(state.worker.Run())
	r.removeFromPool(state)
	delete(r.workers, id)
	r.shortNames.remove(id)
}
