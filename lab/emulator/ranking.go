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

// choose decides how a prompt is routed. Every prompt of the workloads has a
// whole block.
func (k *ranking) choose(now time.Duration, blocks []fleet.BlockHash) affinity.Choice {
	return k.table.Choose(now, blocks, 0)
}

// rank lists the routers in the order in which a request tries them.
func (k *ranking) rank(choice affinity.Choice) []*routerHost {
	routers := k.emulator.routers
	ranked := make([]*routerHost, 0, len(routers))
	if k.emulator.options.Policy.Routing != RouteByPrefix {
		k.turn++
		for offset := range routers {
			ranked = append(ranked, routers[(k.turn+offset)%len(routers)])
		}
		return ranked
	}
	for _, member := range choice.Order(k.byPrefix(choice)) {
		ranked = append(ranked, k.emulator.routerByNode[member.Node])
	}
	return ranked
}

// byPrefix returns the members in the order of the prefix's rank, and how many
// of them serve the fleet's pool.
func (k *ranking) byPrefix(choice affinity.Choice) ([]membership.Member, int) {
	if k.emulator.pools != nil {
		return k.emulator.pools.Rank(choice.Key(), k.emulator.options.Trace.Fleet.Pool, membership.Location{Zone: k.zone})
	}
	ranked := membership.Rank(choice.Key(), k.zone, k.emulator.members)
	return ranked, len(ranked)
}

// spilled notes that a router was saturated and another one had room.
func (k *ranking) spilled(now time.Duration, choice affinity.Choice) {
	_, serving := k.byPrefix(choice)
	k.table.Spilled(now, choice, serving)
}
