package membership

// computeFlows returns the fraction of each group's callers to send to each group. Callers stay in
// their group up to its capacity. The rest goes to the spare capacity of the same region's groups,
// then to that of all others, in proportion to it. Demand beyond all spare capacity is spread by
// capacity.
func computeFlows(groups []servingGroup) [][]float64 {
	flows := make([][]float64, len(groups))
	excess := make([]float64, len(groups))
	spare := make([]float64, len(groups))
	for index, group := range groups {
		flows[index] = make([]float64, len(groups))
		// A group without callers reserves capacity for the first one.
		demand := max(group.demand, minDemand)
		staying := min(1, group.capacity/demand)
		flows[index][index] = staying
		excess[index] = demand * (1 - staying)
		spare[index] = max(group.capacity-demand, 0)
	}
	moveOverflow(groups, flows, excess, spare, func(from, to Location) bool { return from.Region == to.Region })
	moveOverflow(groups, flows, excess, spare, func(Location, Location) bool { return true })
	capacity := 0.0
	for _, group := range groups {
		capacity += group.capacity
	}
	for from, group := range groups {
		remainder := excess[from] / max(group.demand, minDemand)
		for to := range groups {
			if capacity > 0 {
				flows[from][to] += remainder * groups[to].capacity / capacity
			} else {
				flows[from][to] += remainder / float64(len(groups))
			}
		}
	}
	return flows
}

// minDemand is the demand assumed of a group without callers, in requests per second.
const minDemand = 1e-6

// moveOverflow moves excess demand of groups to the spare capacity of those groups for which near
// returns true.
func moveOverflow(groups []servingGroup, flows [][]float64, excess, spare []float64, near func(from, to Location) bool) {
	type totals struct{ excess, spare float64 }
	nearby := make([]totals, len(groups))
	for from := range groups {
		for to := range groups {
			if near(groups[from].location, groups[to].location) {
				nearby[from].excess += excess[to]
				nearby[from].spare += spare[to]
			}
		}
	}
	used := make([]float64, len(groups))
	for from, total := range nearby {
		if excess[from] <= 0 || total.spare <= 0 {
			continue
		}
		moved := excess[from] * min(1, total.spare/total.excess)
		for to := range groups {
			if near(groups[from].location, groups[to].location) {
				received := moved * spare[to] / total.spare
				flows[from][to] += received / max(groups[from].demand, minDemand)
				used[to] += received
			}
		}
		excess[from] -= moved
	}
	for to := range spare {
		spare[to] = max(spare[to]-used[to], 0)
	}
}
