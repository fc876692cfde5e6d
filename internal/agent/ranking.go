package agent

import (
	"math/rand/v2"
	"slices"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// routing is what the order of a request's routers follows from.
type routing struct {
	choice affinity.Choice
	pool   fleet.PoolName
}

// ranking knows which routers are likely to hold a prefix and to serve a pool.
// The mutex of routers guards it.
type ranking struct {
	near     membership.Location
	table    *affinity.Table
	members  []membership.Member
	machines *rpc.MachineList
	replicas int
	// pools says which routers serve which pool; nil while all serve all.
	pools *membership.PoolMap
}

func newRanking(near membership.Location, firstDepth int) ranking {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return ranking{near: near, table: affinity.New(affinity.Options{Random: random, FirstDepth: firstDepth})}
}

// learn takes over what a router knows of the fleet; no members or no machines
// mean no news of them.
func (k *ranking) learn(members []membership.Member, machines *rpc.MachineList, replicas int) {
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
		k.rebuild()
	}
}

func (k *ranking) rebuild() {
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

// rank returns the members in the order in which a request asks them.
func (k *ranking) rank(by routing) []membership.Member {
	return k.routers().Order(by.choice, by.pool)
}

func (k *ranking) routers() affinity.Routers {
	return affinity.Routers{Location: k.near, Members: k.members, Pools: k.pools}
}

// route decides how a call's prompt is routed and counts it.
func (r *routers) route(c *call) routing {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return routing{choice: r.ranking.table.Choose(r.clock.Now(), c.hashes, c.wholeKey), pool: c.pool}
}

// spilled notes that a router was saturated and another one placed the request.
func (r *routers) spilled(by routing) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	serving := r.ranking.routers().Serving(by.choice, by.pool)
	r.ranking.table.RecordSpill(r.clock.Now(), by.choice, serving)
}
