package backends

import (
	"maps"
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// minSubsetSize is the number of workers of a service that requests are spread over at the
	// least, and subsetSlack how many times as many there must be for fewer to be used. The
	// work of a fleet that rests is done by few workers, and a prompt's parts are found again
	// the more often the fewer there are; 192 leave each of five zones some forty, so that
	// the loss of a zone or of a tenth of them is borne.
	minSubsetSize = 192
	shrinkMargin  = 1.5
	// slotsPerRequest are the places that are to be there for each request a second: one
	// that takes a second needs one place, and three more are spare for bursts and uneven
	// spreading.
	slotsPerRequest = 4
	// minDoublingInterval is the least time between two doublings of a subset that lacked room: the
	// next request must have had the chance to use the larger one.
	minDoublingInterval = time.Second
	// maxHalvings bounds the halvings: a subset of one in a million workers.
	maxHalvings = 20
	// subsetSeed makes a worker's membership of subsets independent of its place on the
	// ring and of its side.
	subsetSeed = 0x9e3779b97f4a7c15
)

// Halvings says how often a service's workers are halved for its subset: a worker belongs
// to the subset of h halvings if the first h bits of its hash are 0. So nodes agree on it
// without a word, it changes with no worker that comes or goes, and each subset contains the
// next smaller one.
type Halvings uint8

// Subsets holds the halvings of services; a service that isn't named has none, so that all
// of its workers are used.
type Subsets map[fleet.PoolName]Halvings

// contains tells whether a worker with a hash belongs to a service's subset.
func (s Subsets) contains(service fleet.PoolName, hash uint64) bool {
	halvings := s[service]
	return halvings == 0 || membership.RendezvousMix(hash^subsetSeed)>>(64-halvings) == 0
}

// Widened returns the subsets that are larger by some doublings.
func (s Subsets) Widened(doublings Subsets) Subsets {
	widened := make(Subsets, len(s))
	for service, halvings := range s {
		if left := halvings - min(halvings, doublings[service]); left > 0 {
			widened[service] = left
		}
	}
	return widened
}

// shortage is the want of room in a service's subset.
type shortage struct {
	doublings Halvings
	// doubledAt is when the subset was last doubled.
	doubledAt time.Duration
}

// planHalvings returns by how much a service's workers are halved: as many are left as
// the demand asks for, and half of those in force stay until there is half as much again.
func planHalvings(inForce Halvings, workers, minimum int) Halvings {
	for inForce > 0 && workers>>inForce < minimum {
		inForce--
	}
	enough := int(math.Ceil(float64(minimum) * shrinkMargin))
	for inForce < maxHalvings && workers>>(inForce+1) >= enough {
		inForce++
	}
	return inForce
}

// PlanSubsets returns the subsets for all workers known and for some that are about to be
// observed, at a rate of requests a second over all nodes. Only a node that knows all
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

// doublings returns by how much this node wants subsets larger; the mutex is held.
func (r *Registry) doublings() Subsets {
	doublings := make(Subsets, len(r.shortages))
	for service, current := range r.shortages {
		doublings[service] = current.doublings
	}
	return doublings
}

// Doublings returns by how much this node wants subsets larger than planned, since they
// lacked room for its requests.
func (r *Registry) Doublings() Subsets {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.doublings()
}

// recordShortage takes in that a service's subset had no room for a request; the mutex is held.
func (r *Registry) recordShortage(now time.Duration, service fleet.PoolName) {
	current := r.shortages[service]
	if r.subsets[service] == 0 || (current.doublings > 0 && now < current.doubledAt+minDoublingInterval) {
		return
	}
	r.shortages[service] = shortage{doublings: current.doublings + 1, doubledAt: now}
}

// SetSubsets puts subsets in force: only their workers get requests. What is known of the
// others is dropped, as soon as none of their requests is under way, unless all are to be
// known. It tells whether that changes anything.
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

// ActiveSubsets returns the subsets in force. Callers must not write to them.
func (r *Registry) ActiveSubsets() Subsets {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.subsets
}

// SubsetFilter returns a function that tells whether a worker belongs to subsets. One that isn't
// known here does: who asks must hear of it.
func (r *Registry) SubsetFilter(subsets Subsets) func(id string) bool {
	return func(id string) bool {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		state := r.workers[fleet.EngineID(id)]
		return state == nil || subsets.contains(state.worker.Service, state.hash)
	}
}

// isOutsideSubsets tells whether nothing is to be known of a worker; the mutex is held.
func (r *Registry) isOutsideSubsets(state *workerState) bool {
	return r.onlySubsets && state.inFlight == 0 && !r.subsets.contains(state.worker.Service, state.hash)
}

// drop forgets a worker; the mutex is held.
func (r *Registry) drop(id fleet.EngineID, state *workerState) {
	if state.worker.Draining {
		r.forgottenDraining[id] = drainingRecord{startTime: state.worker.StartTime}
	}
	delete(r.unpublishedDraining, id)
	r.parts.remove(state.worker.Run())
	r.removeFromPool(state)
	delete(r.workers, id)
	r.shortNames.remove(id)
}
