package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// ranking orders the routers for an agent, as the agent process does.
type ranking struct {
	emulator *Emulator
	zone     fleet.ZoneName
	table    *affinity.Table
	turn     int
}

func newRanking(e *Emulator, zone fleet.ZoneName, random *rand.Rand) ranking {
	depth := agent.DefaultSettings().Requests.AffinityBlocks
	return ranking{
		emulator: e,
		zone:     zone,
		table:    affinity.New(affinity.Options{Random: random, FirstDepth: depth}),
	}
}

// choose selects the affinity key of a prompt. Every prompt of the workloads has a whole block.
func (k *ranking) choose(now time.Duration, blocks []fleet.BlockHash) affinity.Choice {
	return k.table.Choose(now, blocks, 0)
}

// rank returns the routers in the order in which a request tries them.
func (k *ranking) rank(choice affinity.Choice) []*routerHost {
	switch k.emulator.options.Policy.Routing {
	case RouteByAffinity:
		return k.hosts(k.routers().Order(choice, k.pool()))
	case RouteByPrefix:
		members := membership.Rank(choice.Key(), k.zone, k.emulator.members)
		return k.hosts(choice.Order(members, len(members)))
	default:
		return k.roundRobin()
	}
}

func (k *ranking) hosts(members []membership.Member) []*routerHost {
	hosts := make([]*routerHost, 0, len(members))
	for _, member := range members {
		hosts = append(hosts, k.emulator.routerByNode[member.Node])
	}
	return hosts
}

func (k *ranking) roundRobin() []*routerHost {
	routers := k.emulator.routers
	ranked := make([]*routerHost, 0, len(routers))
	k.turn++
	for offset := range routers {
		ranked = append(ranked, routers[(k.turn+offset)%len(routers)])
	}
	return ranked
}

func (k *ranking) pool() fleet.PoolName { return k.emulator.options.Trace.Fleet.Pool }

func (k *ranking) routers() affinity.Routers {
	return affinity.Routers{
		Location: membership.Location{Zone: k.zone},
		Members:  k.emulator.members,
		Pools:    k.emulator.pools,
	}
}

// recordSpill records that a router was saturated and another one placed the request.
func (k *ranking) recordSpill(now time.Duration, choice affinity.Choice) {
	k.table.RecordSpill(now, choice, k.routers().Serving(choice, k.pool()))
}
