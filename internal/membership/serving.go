package membership

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// location returns where a member is.
func (m Member) location() Location { return Location{Region: m.Region, Zone: m.Zone} }

// minGroupServing is the number of serving members of a group at the least: a caller whose
// address fails takes another one of its answer at once, and must have one.
const minGroupServing = 2

// servingGroup is the serving members of one zone, of one region, or of all: callers
// of its places are sent to it first.
type servingGroup struct {
	// location is without zone if the group is a region's, and empty if it holds all.
	location Location
	members  []weightedMember
	// needed is how many of the members, the first ones, the demand asks for, and serving
	// how many serve.
	needed  int
	serving int
	// capacity is the requests a second that all members can carry together, demand
	// what its places' callers send.
	capacity float64
	demand   float64
}

// servingPlan says which members serve, and which part of each group's callers go to
// which other group.
type servingPlan struct {
	options RoleOptions
	groups  []servingGroup
	// flows[from][to] is the part of a group's callers that go to a group; the parts of
	// one group add up to 1.
	flows [][]float64
	// byLocation finds the group of a zone and, if groups are of zones, byRegion those of a
	// region.
	byLocation map[Location]int
	byRegion   map[fleet.RegionName][]int
}

// planServing divides the members into groups, spreads the demand over them and takes as
// many members of each as its part asks for.
func planServing(members []Member, demand float64, options RoleOptions) *servingPlan {
	plan := &servingPlan{options: options, byLocation: make(map[Location]int), byRegion: make(map[fleet.RegionName][]int)}
	ranked := rankServing(members)
	level := chooseGrouping(ranked, demand, options)
	for _, entry := range ranked {
		plan.addMember(level(entry.location()), entry)
	}
	plan.distributeDemand(demand, level)
	plan.flows = computeFlows(plan.groups)
	for to := range plan.groups {
		incoming := 0.0
		for from := range plan.groups {
			incoming += plan.groups[from].demand * plan.flows[from][to]
		}
		plan.sizeGroup(&plan.groups[to], incoming)
	}
	return plan
}

// rankServing orders members for serving: the largest first, those of equal size zone by
// zone in turn, so that a group's first ones aren't all in one zone. Pressure changes no
// rank: a busy member gets fewer callers beside others, and isn't replaced.
func rankServing(members []Member) []weightedMember {
	ranked := withWeights(servingKey, members)
	slices.SortFunc(ranked, func(a, b weightedMember) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.weight, a.weight))
	})
	type rank struct {
		place    Location
		capacity uint32
	}
	seen := make(map[rank]int)
	turn := make(map[fleet.NodeID]int, len(ranked))
	for _, entry := range ranked {
		key := rank{entry.location(), entry.Capacity}
		turn[entry.Node] = seen[key]
		seen[key]++
	}
	slices.SortStableFunc(ranked, func(a, b weightedMember) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(turn[a.Node], turn[b.Node]))
	})
	return ranked
}

// effectiveCapacity returns the thousandths of a core of a member that count when callers are spread.
func (o *RoleOptions) effectiveCapacity(member *Member) float64 {
	weight := float64(member.Capacity)
	if part, told := o.CapacityFactors[member.Node]; told {
		weight *= part
	}
	return weight
}

// sustainableRate returns the requests a second that a member can carry.
func (o *RoleOptions) sustainableRate(member *Member) float64 {
	return o.effectiveCapacity(member) * o.Utilization / o.RequestCost
}

// chooseGrouping returns how places are put together to groups: by zones, if the members that
// the demand asks for are enough to have two in each, else by regions, else all in one.
// Fewer than that aren't worth the bytes: each serving member tells each other one its loads.
func chooseGrouping(ranked []weightedMember, demand float64, options RoleOptions) func(Location) Location {
	zones := make(map[Location]bool)
	regions := make(map[fleet.RegionName]bool)
	needed, carried := 0, 0.0
	for index := range ranked {
		zones[ranked[index].location()] = true
		regions[ranked[index].Region] = true
		if carried < demand {
			carried += options.sustainableRate(ranked[index].Member)
			needed++
		}
	}
	needed = max(needed, options.MinServing)
	switch {
	case options.SingleGroup:
		return func(Location) Location { return Location{} }
	case minGroupServing*len(zones) <= needed:
		return func(place Location) Location { return place }
	case minGroupServing*len(regions) <= needed:
		return func(place Location) Location { return Location{Region: place.Region} }
	default:
		return func(Location) Location { return Location{} }
	}
}

// addMember adds a member to the group of a place.
func (p *servingPlan) addMember(place Location, entry weightedMember) {
	group, found := p.byLocation[place]
	if !found {
		group = p.addGroup(place)
	}
	p.groups[group].members = append(p.groups[group].members, entry)
	p.groups[group].capacity += p.options.sustainableRate(entry.Member)
}

func (p *servingPlan) addGroup(place Location) int {
	group := len(p.groups)
	p.groups = append(p.groups, servingGroup{location: place})
	p.byLocation[place] = group
	p.byRegion[place.Region] = append(p.byRegion[place.Region], group)
	return group
}

// distributeDemand divides the demand over the groups as it comes from their places; equally
// as long as that isn't known. A place without members keeps a group of its own, from
// which all callers go to others.
func (p *servingPlan) distributeDemand(demand float64, level func(Location) Location) {
	total := 0.0
	for place, rate := range p.options.DemandByLocation {
		group, found := p.byLocation[level(place)]
		if !found {
			group = p.addGroup(level(place))
		}
		p.groups[group].demand += rate
		total += rate
	}
	for index := range p.groups {
		group := &p.groups[index]
		if total > 0 {
			group.demand *= demand / total
		} else {
			group.demand = demand / float64(len(p.groups))
		}
	}
}

// sizeGroup takes as many members of a group as carry its demand, and its part of the least
// sizeGroup of the serving set.
func (p *servingPlan) sizeGroup(group *servingGroup, demand float64) {
	populated := 0
	for index := range p.groups {
		if len(p.groups[index].members) > 0 {
			populated++
		}
	}
	least := max(minGroupServing, (p.options.MinServing+populated-1)/max(populated, 1))
	carried := 0.0
	for group.needed < len(group.members) && (group.needed < least || carried < demand) {
		carried += p.options.sustainableRate(group.members[group.needed].Member)
		group.needed++
	}
	group.serving = min(max(group.needed, p.options.MinServingByLocation[group.location]), len(group.members))
}

// Needed returns how many members of each group the demand asks for.
func (r *Roles) Needed() map[Location]int {
	needed := make(map[Location]int)
	if r.plan == nil {
		return needed
	}
	for _, group := range r.plan.groups {
		needed[group.location] = group.needed
	}
	return needed
}

// DemandByOrigin returns from which places the requests come that members of places take, in
// requests a second: what a group takes is divided among the groups whose callers are sent
// to it. Without that, a place whose callers are partly sent elsewhere would seem to need
// less, and they would all be sent back.
func (r *Roles) DemandByOrigin(taken map[Location]float64) map[Location]float64 {
	if r.plan == nil {
		return taken
	}
	origins := make(map[Location]float64, len(taken))
	for place, rate := range taken {
		to, found := r.plan.findGroup(place)
		if !found {
			origins[place] += rate
			continue
		}
		incoming := 0.0
		for from := range r.plan.groups {
			incoming += r.plan.groups[from].demand * r.plan.flows[from][to]
		}
		for from, group := range r.plan.groups {
			part := group.demand * r.plan.flows[from][to]
			switch {
			case from == to && incoming <= 0:
				origins[place] += rate
			case from == to:
				origins[place] += rate * part / incoming
			case part > 0:
				origins[group.location] += rate * part / incoming
			}
		}
	}
	return origins
}

// findGroup returns the group of a place.
func (p *servingPlan) findGroup(place Location) (int, bool) {
	for _, key := range []Location{place, {Region: place.Region}, {}} {
		if group, found := p.byLocation[key]; found {
			return group, true
		}
	}
	return 0, false
}
