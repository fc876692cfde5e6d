package agent

import (
	"math/rand/v2"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// maxSyncTargets limits the routers of a sync round.
	maxSyncTargets = 8
	// probeRounds is the number of rounds between probes of a router other than the followed one.
	// It limits how long an idle agent uses an outdated configuration if the followed router is
	// partitioned.
	probeRounds = 3
	// meanFollowRounds is the mean number of rounds after which the agent follows another router,
	// which rebalances agents onto restarted routers.
	meanFollowRounds = 600
)

// syncTargets returns the routers of a sync round: the followed one, those with waiting requests so
// that their failure is detected, and in every probe round the next router in rotation. Until a
// router has answered, all are included up to the limit.
func (r *routerSet) syncTargets() []*routerState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := r.syncAddresses()
	r.updateFollowed(addresses)
	r.rotation++
	var probed *routerState
	if r.rotation%probeRounds == 0 {
		probed = r.getOrCreate(addresses[r.rotation/probeRounds%len(addresses)])
	}
	targets := []*routerState{r.followed}
	for _, address := range addresses {
		candidate := r.getOrCreate(address)
		wanted := candidate == probed || candidate.waiting > 0 || !r.anyResponded
		if wanted && len(targets) < maxSyncTargets && !slices.Contains(targets, candidate) {
			targets = append(targets, candidate)
		}
	}
	return targets
}

// syncAddresses returns the members' addresses. It adds the seeds until a router has answered and
// while every member is failed or stopping.
func (r *routerSet) syncAddresses() []fleet.Address {
	addresses := make([]fleet.Address, 0, len(r.ranking.members)+len(r.seeds))
	needsSeeds := true
	for _, member := range r.ranking.members {
		addresses = append(addresses, member.Address)
		needsSeeds = needsSeeds && r.penalty(r.getOrCreate(member.Address)) > 0
	}
	if needsSeeds || !r.anyResponded {
		addresses = append(addresses, r.seeds...)
	}
	return addresses
}

// updateFollowed keeps the followed router, or picks a random one among those with the lowest
// penalty.
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

// isUsable reports whether a router is still in the set, has no penalty and is one of addresses.
func (r *routerSet) isUsable(state *routerState, addresses []fleet.Address) bool {
	return state != nil && r.states[state.address] == state && r.penalty(state) == 0 &&
		slices.Contains(addresses, state.address)
}

// isFollowed reports whether lists are replicated from a router.
func (r *routerSet) isFollowed(router *routerState) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.followed == router
}
