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
func (r *ranking) choose(now time.Duration, blocks []fleet.BlockHash) affinity.Choice {
	return r.table.Choose(now, blocks, 0)
}

// rank returns the routers in the order in which a request tries them.
func (r *ranking) rank(choice affinity.Choice) []*routerHost {
	switch r.emulator.options.Policy.Routing {
	case RouteByAffinity:
		return r.hosts(r.routers().Order(choice, r.pool()))
	case RouteByPrefix:
		members := membership.Rank(choice.Key(), r.zone, r.emulator.members)
		return r.hosts(choice.Order(members, len(members)))
	default:
		return r.roundRobin()
	}
}

func (r *ranking) hosts(members []membership.Member) []*routerHost {
	hosts := make([]*routerHost, 0, len(members))
	for _, member := range members {
		hosts = append(hosts, r.emulator.routerByNode[member.Node])
	}
	return hosts
}

func (r *ranking) roundRobin() []*routerHost {
	routers := r.emulator.routers
	ranked := make([]*routerHost, 0, len(routers))
	r.turn++
	for offset := range routers {
		ranked = append(ranked, routers[(r.turn+offset)%len(routers)])
	}
	return ranked
}

func (r *ranking) pool() fleet.PoolName { return r.emulator.options.Trace.Fleet.Pool }

func (r *ranking) routers() affinity.Routers {
	return affinity.Routers{
		Location: membership.Location{Zone: r.zone},
		Members:  r.emulator.members,
		Pools:    r.emulator.pools,
	}
}

// recordSpill records that a router was saturated and another one placed the request.
func (r *ranking) recordSpill(now time.Duration, choice affinity.Choice) {
	r.table.RecordSpill(now, choice, r.routers().Serving(choice, r.pool()))
}
