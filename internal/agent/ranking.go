package agent

import (
	"math/rand/v2"
	"slices"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// route determines the order of routers for a request.
type route struct {
	choice affinity.Choice
	pool   fleet.PoolName
}

// routerRanking orders routers by how likely they are to have a prefix cached and by the pools they
// serve. It is guarded by the mutex of routerSet.
type routerRanking struct {
	location membership.Location
	table    *affinity.Table
	members  []membership.Member
	machines *rpc.MachineList
	replicas int
	// pools maps pools to the routers that serve them; nil means that every router serves all
	// pools.
	pools *membership.PoolMap
}

func newRouterRanking(location membership.Location, firstDepth int) routerRanking {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return routerRanking{location: location, table: affinity.New(affinity.Options{Random: random, FirstDepth: firstDepth})}
}

// update applies the latest lists and the number of index replicas. Empty lists are ignored.
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

// order returns the members in the order in which a request should try them.
func (k *routerRanking) order(route route) []membership.Member {
	return k.affinityRouters().Order(route.choice, route.pool)
}

func (k *routerRanking) affinityRouters() affinity.Routers {
	return affinity.Routers{Location: k.location, Members: k.members, Pools: k.pools}
}

// newRoute chooses the route of a request's prompt and counts it.
func (r *routerSet) newRoute(request *admittedRequest) route {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return route{choice: r.ranking.table.Choose(r.clock.Now(), request.hashes, request.promptKey), pool: request.pool}
}

// recordSpill records that another router placed the request because the chosen one was saturated.
func (r *routerSet) recordSpill(route route) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	serving := r.ranking.affinityRouters().Serving(route.choice, route.pool)
	r.ranking.table.RecordSpill(r.clock.Now(), route.choice, serving)
}
