package agent

import (
	"math/rand/v2"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// maxSyncTargets bounds the routers of one round of exchanges.
	maxSyncTargets = 8
	// probeRounds is the number of rounds from one router other than the
	// followed one to the next. It bounds how long an agent without requests
	// misses a configuration that the followed router, cut off, misses too.
	probeRounds = 3
	// meanFollowRounds is the mean number of rounds after which another router is
	// followed, so that routers that come back get their share of agents.
	meanFollowRounds = 600
)

// syncTargets returns the routers to exchange news with: the one whose lists
// are followed; those where requests wait, so that a dead one is noticed; and
// in some rounds the next in turn of all.
func (r *routerSet) syncTargets() []*routerState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := r.syncAddresses()
	r.updateFollowed(addresses)
	r.rotation++
	var surveyed *routerState
	if r.rotation%probeRounds == 0 {
		surveyed = r.getOrCreate(addresses[r.rotation/probeRounds%len(addresses)])
	}
	targets := []*routerState{r.followed}
	for _, address := range addresses {
		candidate := r.getOrCreate(address)
		wanted := candidate == surveyed || candidate.waiting > 0 || !r.anyAnswered
		if wanted && len(targets) < maxSyncTargets && !slices.Contains(targets, candidate) {
			targets = append(targets, candidate)
		}
	}
	return targets
}

// syncAddresses lists the members. It adds the seeds until a router has
// answered and while no member is in good order.
func (r *routerSet) syncAddresses() []fleet.Address {
	addresses := make([]fleet.Address, 0, len(r.ranking.members)+len(r.seeds))
	needsSeeds := true
	for _, member := range r.ranking.members {
		addresses = append(addresses, member.Address)
		needsSeeds = needsSeeds && r.penalty(r.getOrCreate(member.Address)) > 0
	}
	if needsSeeds || !r.anyAnswered {
		addresses = append(addresses, r.seeds...)
	}
	return addresses
}

// updateFollowed keeps following a router, or chooses another at random among the best.
func (r *routerSet) updateFollowed(addresses []fleet.Address) {
	current := r.followed
	if r.isUsable(current, addresses) && rand.IntN(meanFollowRounds) > 0 {
		return
	}
	var best []*routerState
	for _, address := range addresses {
		candidate := r.getOrCreate(address)
		if len(best) > 0 && r.penalty(candidate) > r.penalty(best[0]) {
			continue
		}
		if len(best) > 0 && r.penalty(candidate) < r.penalty(best[0]) {
			best = best[:0]
		}
		best = append(best, candidate)
	}
	r.followed = best[rand.IntN(len(best))]
}

// isUsable tells whether a link is in use, in good order and to one of the addresses.
func (r *routerSet) isUsable(known *routerState, addresses []fleet.Address) bool {
	return known != nil && r.states[known.address] == known && r.penalty(known) == 0 &&
		slices.Contains(addresses, known.address)
}

// isFollowed tells whether the lists are followed from a router.
func (r *routerSet) isFollowed(at *routerState) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.followed == at
}
