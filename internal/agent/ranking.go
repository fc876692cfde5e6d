package agent

import (
	"math/rand/v2"
	"slices"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// route is what the order of a request's routers follows from.
type route struct {
	choice affinity.Choice
	pool   fleet.PoolName
}

// routerRanking knows which routers are likely to hold a prefix and to serve a pool.
// The mutex of routers guards it.
type routerRanking struct {
	location membership.Location
	table    *affinity.Table
	members  []membership.Member
	machines *rpc.MachineList
	replicas int
	// pools says which routers serve which pool; nil while all serve all.
	pools *membership.PoolMap
}

func newRouterRanking(near membership.Location, firstDepth int) routerRanking {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return routerRanking{location: near, table: affinity.New(affinity.Options{Random: random, FirstDepth: firstDepth})}
}

// update takes over what a router knows of the fleet; no members or no machines
// mean no news of them.
func (k *routerRanking) update(members []membership.Member, machines *rpc.MachineList, replicas int) {
	changed := replicas != k.replicas
	k.replicas = replicas
	if len(members) > 0 && !slices.Equal(members, k.members) {
		k.members = members
		changed = true
	}
	if len(machines.GetMachines()) > 0 && machines.GetDigest() != k.machines.GetDigest() {
		k.machines = machines
		changed = true
	}
	if changed {
		k.rebuildPools()
	}
}

func (k *routerRanking) rebuildPools() {
	k.pools = nil
	if k.replicas == 0 || len(k.machines.GetMachines()) == 0 {
		return
	}
	sites := make([]membership.EngineSite, 0, len(k.machines.GetMachines()))
	for _, machine := range k.machines.GetMachines() {
		sites = append(sites, membership.EngineSite{
			Pool: fleet.PoolName(machine.GetPool()),
			Location: membership.Location{
				Region: fleet.RegionName(machine.GetRegion()),
				Zone:   fleet.ZoneName(machine.GetZone()),
			},
		})
	}
	k.pools = membership.NewPoolMap(sites, k.members, k.replicas)
}

// order returns the members in the order in which a request asks them.
func (k *routerRanking) order(by route) []membership.Member {
	return k.affinityRouters().Order(by.choice, by.pool)
}

func (k *routerRanking) affinityRouters() affinity.Routers {
	return affinity.Routers{Near: k.location, Members: k.members, Pools: k.pools}
}

// newRoute decides how a call's prompt is routed and counts it.
func (r *routerSet) newRoute(c *admittedRequest) route {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return route{choice: r.ranking.table.Choose(r.clock.Now(), c.hashes, c.promptKey), pool: c.pool}
}

// recordSpill notes that a router was saturated and another one placed the request.
func (r *routerSet) recordSpill(by route) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	serving := r.ranking.affinityRouters().Serving(by.choice, by.pool)
	r.ranking.table.Spilled(r.clock.Now(), by.choice, serving)
}
