package capacity

import (
	"fmt"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// ownershipReplicas are the values of index_replicas that are weighed.
var ownershipReplicas = []int{1, 2, 3}

// measureOwnership shares the target's engines among the routers.
func measureOwnership(o Options) []Figure {
	routers := members(o.Sizes.FailureMembers)
	var figures []Figure
	for _, replicas := range ownershipReplicas {
		owned := make(map[fleet.NodeID]int)
		ofPool := make(map[fleet.NodeID]*[targetModels]int)
		for number := range o.Sizes.FleetEngines {
			for _, node := range membership.Owners(engineName(number), routers, replicas) {
				owned[node]++
				if ofPool[node] == nil {
					ofPool[node] = &[targetModels]int{}
				}
				ofPool[node][number%targetModels]++
			}
		}
		figures = append(figures, ownershipFigures(replicas, routers, owned, ofPool)...)
	}
	return figures
}

func ownershipFigures(replicas int, routers []membership.Member, owned map[fleet.NodeID]int, ofPool map[fleet.NodeID]*[targetModels]int) []Figure {
	counts := make([]int, 0, len(routers))
	empty := 0
	for _, router := range routers {
		counts = append(counts, owned[router.Node])
		pools := ofPool[router.Node]
		for pool := range targetModels {
			if pools == nil || pools[pool] == 0 {
				empty++
			}
		}
	}
	slices.Sort(counts)
	name := fmt.Sprintf("index_replicas %d: ", replicas)
	return []Figure{
		{Name: name + "engines of the median router", Unit: "1", Value: float64(counts[len(counts)/2])},
		{Name: name + "engines of the router with the most", Unit: "1", Value: float64(counts[len(counts)-1])},
		{Name: name + "routers without an engine of a given one of 13 pools", Unit: "part", Value: float64(empty) / float64(len(routers)*targetModels)},
	}
}

// measureOwnershipTime measures what a router spends to share the engines anew
// after a change of the membership.
func measureOwnershipTime(o Options) ([]Slope, error) {
	return sweepAll(quantity{
		name: "owners of one engine", size: "routers", unit: "core-µs", growth: GrowthLinearithmic, sizes: o.Sizes.Members,
		measure: func(count int) (float64, error) {
			routers := members(count)
			taken := processorTimeOf(o.Sizes.ProcessorTime, func(repetition int) {
				membership.Owners(engineName(repetition), routers, 1)
			})
			return microseconds(taken), nil
		},
	})
}
