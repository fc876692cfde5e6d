package membership

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func (m Member) location() Location { return Location{Region: m.Region, Zone: m.Zone} }

// minGroupServing is the minimum number of serving members of a group, so that a caller has another
// router to fail over to.
const minGroupServing = 2

// servingGroup is the group of members of a zone, of a region, or of all, to which the callers of
// its locations are sent first.
type servingGroup struct {
	// location has no zone if the group is a region, and is empty if it contains all members.
	location Location
	members  []weightedMember
	// needed is the number of members that the demand requires, and serving the number that serve.
	// They are the first ones of members.
	needed  int
	serving int
	// capacity is the request rate that all members can sustain together, and demand the rate of
	// the callers of the group's locations, both in requests per second.
	capacity float64
	demand   float64
}

// servingPlan defines which members serve and which fraction of each group's callers goes to each
// group.
type servingPlan struct {
	options RoleOptions
	groups  []servingGroup
	// flows[from][to] is the fraction of group from's callers sent to group to. The fractions of
	// one group add up to 1.
	flows [][]float64
	// byLocation maps the location of a group to its index. byRegion maps a region to the indexes
	// of its groups.
	byLocation map[Location]int
	byRegion   map[fleet.RegionName][]int
}

// planServing divides the members into groups, distributes the demand over them and selects as many
// members of each as its part of the demand requires.
func planServing(members []Member, demand float64, options RoleOptions) *servingPlan {
	plan := &servingPlan{options: options, byLocation: make(map[Location]int), byRegion: make(map[fleet.RegionName][]int)}
	ranked := rankServing(members)
	groupLocation := chooseGrouping(ranked, demand, options)
	for _, entry := range ranked {
		plan.addMember(groupLocation(entry.location()), entry)
	}
	plan.distributeDemand(demand, groupLocation)
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

// rankServing sorts members by preference for serving: by falling capacity, alternating between
// zones among members of equal capacity, so that the first members of a group are spread over its
// zones. Pressure does not affect the rank: a member under pressure gets fewer callers, but is not
// replaced.
func rankServing(members []Member) []weightedMember {
	ranked := withWeights(servingKey, members)
	slices.SortFunc(ranked, func(a, b weightedMember) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.weight, a.weight))
	})
	type rank struct {
		location Location
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

// effectiveCapacity returns a member's capacity reduced by its capacity factor, in thousandths of a
// core.
func (o *RoleOptions) effectiveCapacity(member *Member) float64 {
	capacity := float64(member.Capacity)
	if factor, found := o.CapacityFactors[member.Node]; found {
		capacity *= factor
	}
	return capacity
}

// sustainableRate returns the requests per second that a member can sustain.
func (o *RoleOptions) sustainableRate(member *Member) float64 {
	return o.effectiveCapacity(member) * o.Utilization / o.RequestCost
}

// chooseGrouping returns the mapping of locations to groups: by zone if the members that the demand
// requires suffice for minGroupServing in each zone, else by region on the same condition, else a
// single group. It does not add serving members for smaller groups, because all serving members
// exchange load reports with each other.
func chooseGrouping(ranked []weightedMember, demand float64, options RoleOptions) func(Location) Location {
	zones := make(map[Location]bool)
	regions := make(map[fleet.RegionName]bool)
	needed, sustained := 0, 0.0
	for index := range ranked {
		zones[ranked[index].location()] = true
		regions[ranked[index].Region] = true
		if sustained < demand {
			sustained += options.sustainableRate(ranked[index].Member)
			needed++
		}
	}
	needed = max(needed, options.MinServing)
	switch {
	case options.SingleGroup:
		return func(Location) Location { return Location{} }
	case minGroupServing*len(zones) <= needed:
		return func(location Location) Location { return location }
	case minGroupServing*len(regions) <= needed:
		return func(location Location) Location { return Location{Region: location.Region} }
	default:
		return func(Location) Location { return Location{} }
	}
}

// addMember adds a member to the group of a location.
func (p *servingPlan) addMember(location Location, entry weightedMember) {
	group, found := p.byLocation[location]
	if !found {
		group = p.addGroup(location)
	}
	p.groups[group].members = append(p.groups[group].members, entry)
	p.groups[group].capacity += p.options.sustainableRate(entry.Member)
}

func (p *servingPlan) addGroup(location Location) int {
	group := len(p.groups)
	p.groups = append(p.groups, servingGroup{location: location})
	p.byLocation[location] = group
	p.byRegion[location.Region] = append(p.byRegion[location.Region], group)
	return group
}

// distributeDemand distributes the demand over the groups by its origin, or equally if the origin
// is unknown. A location without members gets a group of its own, whose callers all go to others.
func (p *servingPlan) distributeDemand(demand float64, groupLocation func(Location) Location) {
	total := 0.0
	for location, rate := range p.options.DemandByLocation {
		group, found := p.byLocation[groupLocation(location)]
		if !found {
			group = p.addGroup(groupLocation(location))
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

// sizeGroup sets how many members of a group serve: enough for its demand, and its part of
// MinServing.
func (p *servingPlan) sizeGroup(group *servingGroup, demand float64) {
	populated := 0
	for index := range p.groups {
		if len(p.groups[index].members) > 0 {
			populated++
		}
	}
	minimum := max(minGroupServing, (p.options.MinServing+populated-1)/max(populated, 1))
	sustained := 0.0
	for group.needed < len(group.members) && (group.needed < minimum || sustained < demand) {
		sustained += p.options.sustainableRate(group.members[group.needed].Member)
		group.needed++
	}
	group.serving = min(max(group.needed, p.options.MinServingByLocation[group.location]), len(group.members))
}

// Needed returns the number of members that the demand requires, by the location of the group.
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

// DemandByOrigin converts the request rates that members serve, by their location, to rates by the
// callers' location. The rate of a group is divided among the groups whose callers it serves.
// Otherwise a location that overflows to others would seem to need less, and its callers would be
// sent back.
func (r *Roles) DemandByOrigin(served map[Location]float64) map[Location]float64 {
	if r.plan == nil {
		return served
	}
	byOrigin := make(map[Location]float64, len(served))
	for location, rate := range served {
		to, found := r.plan.findGroup(location)
		if !found {
			byOrigin[location] += rate
			continue
		}
		incoming := 0.0
		for from := range r.plan.groups {
			incoming += r.plan.groups[from].demand * r.plan.flows[from][to]
		}
		for from, group := range r.plan.groups {
			inflow := group.demand * r.plan.flows[from][to]
			switch {
			case from == to && incoming <= 0:
				byOrigin[location] += rate
			case from == to:
				byOrigin[location] += rate * inflow / incoming
			case inflow > 0:
				byOrigin[group.location] += rate * inflow / incoming
			}
		}
	}
	return byOrigin
}

// findGroup returns the group of a location.
func (p *servingPlan) findGroup(location Location) (int, bool) {
	for _, key := range []Location{location, {Region: location.Region}, {}} {
		if group, found := p.byLocation[key]; found {
			return group, true
		}
	}
	return 0, false
}
