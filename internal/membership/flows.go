package membership

// computeFlows returns which part of each group's callers go to which group: as many as the
// own group can carry stay, what is left goes to groups of the same region as far as they have
// room, by that room, then to all others likewise. Where nobody has room left, the rest is
// spread by capacity.
func computeFlows(groups []servingGroup) [][]float64 {
	flows := make([][]float64, len(groups))
	left := make([]float64, len(groups))
	room := make([]float64, len(groups))
	for index, group := range groups {
		flows[index] = make([]float64, len(groups))
		// A group without callers keeps a place for the first one.
		demand := max(group.demand, minDemand)
		stays := min(1, group.capacity/demand)
		flows[index][index] = stays
		left[index] = demand * (1 - stays)
		room[index] = max(group.capacity-demand, 0)
	}
	moveOverflow(groups, flows, left, room, func(from, to Location) bool { return from.Region == to.Region })
	moveOverflow(groups, flows, left, room, func(Location, Location) bool { return true })
	capacity := 0.0
	for _, group := range groups {
		capacity += group.capacity
	}
	for from, group := range groups {
		rest := left[from] / max(group.demand, minDemand)
		for to := range groups {
			if capacity > 0 {
				flows[from][to] += rest * groups[to].capacity / capacity
			} else {
				flows[from][to] += rest / float64(len(groups))
			}
		}
	}
	return flows
}

// minDemand is what a group without callers counts as, in requests a second.
const minDemand = 1e-6

// moveOverflow moves what is left of groups' callers to the room of groups near enough.
func moveOverflow(groups []servingGroup, flows [][]float64, left, room []float64, near func(from, to Location) bool) {
	type wish struct{ left, room float64 }
	wishes := make([]wish, len(groups))
	for from := range groups {
		for to := range groups {
			if near(groups[from].location, groups[to].location) {
				wishes[from].left += left[to]
				wishes[from].room += room[to]
			}
		}
	}
	taken := make([]float64, len(groups))
	for from, wish := range wishes {
		if left[from] <= 0 || wish.room <= 0 {
			continue
		}
		moved := left[from] * min(1, wish.room/wish.left)
		for to := range groups {
			if near(groups[from].location, groups[to].location) {
				part := moved * room[to] / wish.room
				flows[from][to] += part / max(groups[from].demand, minDemand)
				taken[to] += part
			}
		}
		left[from] -= moved
	}
	for to := range room {
		room[to] = max(room[to]-taken[to], 0)
	}
}
