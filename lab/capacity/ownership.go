package capacity

import (
	"fmt"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// ownershipReplicas lists the compared values of index_replicas.
var ownershipReplicas = []int{1, 2, 3}

// engineSite returns the site of an engine. Engines are spread over zones and pools independently.
func engineSite(number int) membership.EngineSite {
	return membership.EngineSite{
		Pool:     poolName(number / zones % targetModels),
		Location: membership.Location{Region: regionName(number), Zone: zoneName(number)},
	}
}

func engineSites(count int) []membership.EngineSite {
	sites := make([]membership.EngineSite, count)
	for number := range sites {
		sites[number] = engineSite(number)
	}
	return sites
}

// routerShare counts the engines that one router owns, in total and by pool.
type routerShare struct {
	engines int
	pools   map[fleet.PoolName]int
}

// assignEngines assigns engines to routers as routers and agents do.
func assignEngines(engines int, routers []membership.Member, replicas int) map[fleet.NodeID]*routerShare {
	shares := make(map[fleet.NodeID]*routerShare, len(routers))
	for _, router := range routers {
		shares[router.Node] = &routerShare{pools: make(map[fleet.PoolName]int)}
	}
	pools := membership.NewPoolMap(engineSites(engines), routers, replicas)
	for number := range engines {
		site := engineSite(number)
		for _, node := range pools.Owners(engineName(number), site) {
			shares[node].engines++
			shares[node].pools[site.Pool]++
		}
	}
	return shares
}

// measureOwnership measures how evenly engines are assigned to the routers of the target fleet.
func measureOwnership(o Options) []Figure {
	routers := members(o.Sizes.FailureMembers)
	var figures []Figure
	for _, replicas := range ownershipReplicas {
		shares := assignEngines(o.Sizes.FleetEngines, routers, replicas)
		name := fmt.Sprintf("index_replicas %d: ", replicas)
		var engines, enginesPerPool []int
		for _, router := range routers {
			share := shares[router.Node]
			engines = append(engines, share.engines)
			for _, count := range share.pools {
				enginesPerPool = append(enginesPerPool, count)
			}
		}
		slices.Sort(engines)
		slices.Sort(enginesPerPool)
		figures = append(figures,
			Figure{Name: name + "engines of the median router", Unit: "1", Value: float64(engines[len(engines)/2])},
			Figure{Name: name + "engines of the router with the most", Unit: "1", Value: float64(engines[len(engines)-1])},
			Figure{Name: name + "pools of a router, mean", Unit: "1", Value: float64(len(enginesPerPool)) / float64(len(routers))},
			Figure{Name: name + "engines of one pool at a router that has any, median", Unit: "1", Value: float64(enginesPerPool[len(enginesPerPool)/2])},
		)
	}
	return figures
}

// measureOwnershipTime measures the processor time in which a router reassigns the engines after a
// membership change: it builds the pool map and looks up the owners of each engine.
func measureOwnershipTime(o Options) ([]Slope, error) {
	assignmentTime := func(engines, routers int) (float64, error) {
		routerList := members(routers)
		sites := engineSites(engines)
		used := processorTimeOf(o.Sizes.ProcessorTime, func(int) {
			pools := membership.NewPoolMap(sites, routerList, 1)
			for number := range engines {
				pools.Owners(engineName(number), sites[number])
			}
		})
		return microseconds(used), nil
	}
	return sweepAll(
		quantity{
			name: "engines shared among all routers", size: "engines", unit: "core-µs", growth: GrowthLinear, sizes: o.Sizes.Engines,
			measure: func(size int) (float64, error) { return assignmentTime(size, o.Sizes.FailureMembers) },
		},
		quantity{
			name: "all engines shared", size: "routers", unit: "core-µs", growth: GrowthLinear, sizes: o.Sizes.Members,
			measure: func(size int) (float64, error) { return assignmentTime(o.Sizes.FleetEngines, size) },
		},
	)
}
