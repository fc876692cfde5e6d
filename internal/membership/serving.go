package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Place is a zone of a region, from where callers come or where nodes are.
type Place struct {
	Region fleet.RegionName
	Zone   fleet.ZoneName
}

// place returns where a member is.
func (m Member) place() Place { return Place{Region: m.Region, Zone: m.Zone} }

// leastNear is the number of serving members of a group at the least: a caller whose
// address fails takes another one of its answer at once, and must have one.
const leastNear = 2

// servingGroup is the serving members of one zone, of one region, or of all: callers
// of its places are sent to it first.
type servingGroup struct {
	// place is without zone if the group is a region's, and empty if it holds all.
	place   Place
	members []weighted
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
	// byPlace finds the group of a zone and, if groups are of zones, byRegion those of a
	// region.
	byPlace  map[Place]int
	byRegion map[fleet.RegionName][]int
}

// planServing divides the members into groups, spreads the demand over them and takes as
// many members of each as its part asks for.
func planServing(members []Member, demand float64, options RoleOptions) *servingPlan {
	plan := &servingPlan{options: options, byPlace: make(map[Place]int), byRegion: make(map[fleet.RegionName][]int)}
	ranked := rankServing(members)
	level := chooseLevel(ranked, demand, options)
	for _, entry := range ranked {
		plan.add(level(entry.place()), entry)
	}
	plan.spreadDemand(demand, level)
	plan.flows = spreadFlows(plan.groups)
	for to := range plan.groups {
		incoming := 0.0
		for from := range plan.groups {
			incoming += plan.groups[from].demand * plan.flows[from][to]
		}
		plan.size(&plan.groups[to], incoming)
	}
	return plan
}

// rankServing orders members for serving: the largest first, those of equal size zone by
// zone in turn, so that a group's first ones aren't all in one zone. Pressure changes no
// rank: a busy member gets fewer callers beside others, and isn't replaced.
func rankServing(members []Member) []weighted {
	ranked := weigh(servingKey, members)
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.weight, a.weight))
	})
	type rank struct {
		place    Place
		capacity uint32
	}
	seen := make(map[rank]int)
	turn := make(map[fleet.NodeID]int, len(ranked))
	for _, entry := range ranked {
		key := rank{entry.place(), entry.Capacity}
		turn[entry.Node] = seen[key]
		seen[key]++
	}
	slices.SortStableFunc(ranked, func(a, b weighted) int {
		return cmp.Or(
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(turn[a.Node], turn[b.Node]))
	})
	return ranked
}

// weight returns the thousandths of a core of a member that count when callers are spread.
func (o *RoleOptions) weight(member *Member) float64 {
	weight := float64(member.Capacity)
	if part, told := o.Weights[member.Node]; told {
		weight *= part
	}
	return weight
}

// carries returns the requests a second that a member can carry.
func (o *RoleOptions) carries(member *Member) float64 {
	return o.weight(member) * o.Utilization / o.RequestCost
}

// chooseLevel returns how places are put together to groups: by zones, if the members that
// the demand asks for are enough to have two in each, else by regions, else all in one.
// Fewer than that aren't worth the bytes: each serving member tells each other one its loads.
func chooseLevel(ranked []weighted, demand float64, options RoleOptions) func(Place) Place {
	zones := make(map[Place]bool)
	regions := make(map[fleet.RegionName]bool)
	needed, carried := 0, 0.0
	for index := range ranked {
		zones[ranked[index].place()] = true
		regions[ranked[index].Region] = true
		if carried < demand {
			carried += options.carries(ranked[index].Member)
			needed++
		}
	}
	needed = max(needed, options.MinServing)
	switch {
	case options.Together:
		return func(Place) Place { return Place{} }
	case leastNear*len(zones) <= needed:
		return func(place Place) Place { return place }
	case leastNear*len(regions) <= needed:
		return func(place Place) Place { return Place{Region: place.Region} }
	default:
		return func(Place) Place { return Place{} }
	}
}

// add adds a member to the group of a place.
func (p *servingPlan) add(place Place, entry weighted) {
	group, found := p.byPlace[place]
	if !found {
		group = p.addGroup(place)
	}
	p.groups[group].members = append(p.groups[group].members, entry)
	p.groups[group].capacity += p.options.carries(entry.Member)
}

func (p *servingPlan) addGroup(place Place) int {
	group := len(p.groups)
	p.groups = append(p.groups, servingGroup{place: place})
	p.byPlace[place] = group
	p.byRegion[place.Region] = append(p.byRegion[place.Region], group)
	return group
}

// spreadDemand divides the demand over the groups as it comes from their places; equally
// as long as that isn't known. A place without members keeps a group of its own, from
// which all callers go to others.
func (p *servingPlan) spreadDemand(demand float64, level func(Place) Place) {
	total := 0.0
	for place, rate := range p.options.Origins {
		group, found := p.byPlace[level(place)]
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

// size takes as many members of a group as carry its demand, and its part of the least
// size of the serving set.
func (p *servingPlan) size(group *servingGroup, demand float64) {
	populated := 0
	for index := range p.groups {
		if len(p.groups[index].members) > 0 {
			populated++
		}
	}
	least := max(leastNear, (p.options.MinServing+populated-1)/max(populated, 1))
	carried := 0.0
	for group.needed < len(group.members) && (group.needed < least || carried < demand) {
		carried += p.options.carries(group.members[group.needed].Member)
		group.needed++
	}
	group.serving = min(max(group.needed, p.options.Least[group.place]), len(group.members))
}

// Needed returns how many members of each group the demand asks for.
func (r *Roles) Needed() map[Place]int {
	needed := make(map[Place]int)
	if r.plan == nil {
		return needed
	}
	for _, group := range r.plan.groups {
		needed[group.place] = group.needed
	}
	return needed
}

// SizeHold keeps groups from shrinking soon: a member that begins to serve reads what all
// caches hold, and its callers leave it when it ends. Its zero value holds nothing. It isn't
// safe for concurrent use.
type SizeHold struct {
	sizes  map[Place]heldSize
	demand float64
}

// heldSize is a group's size, and the largest need since it was last as large.
type heldSize struct {
	size, lower int
	lowerSince  time.Duration
}

// sizeHold is how long a group's need must have been lower until it shrinks to the largest
// need of that time.
const sizeHold = 20 * time.Second

// Observe takes in at now what groups need at a planned demand, and returns the least sizes to
// keep. The map isn't written to again. A planned demand that falls has been lower for a while
// already: nothing is kept then.
func (h *SizeHold) Observe(now time.Duration, demand float64, needed map[Place]int) map[Place]int {
	if demand < h.demand {
		h.sizes = nil
	}
	h.demand = demand
	kept := make(map[Place]heldSize, len(needed))
	least := make(map[Place]int, len(needed))
	for place, need := range needed {
		held := h.sizes[place]
		switch {
		case need >= held.size:
			held = heldSize{size: need, lowerSince: now}
		case now >= held.lowerSince+sizeHold:
			held = heldSize{size: max(held.lower, need), lowerSince: now}
		default:
			held.lower = max(held.lower, need)
		}
		kept[place], least[place] = held, held.size
	}
	h.sizes = kept
	return least
}

// spreadFlows returns which part of each group's callers go to which group: as many as the
// own group can carry stay, what is left goes to groups of the same region as far as they have
// room, by that room, then to all others likewise. Where nobody has room left, the rest is
// spread by capacity.
func spreadFlows(groups []servingGroup) [][]float64 {
	flows := make([][]float64, len(groups))
	left := make([]float64, len(groups))
	room := make([]float64, len(groups))
	for index, group := range groups {
		flows[index] = make([]float64, len(groups))
		// A group without callers keeps a place for the first one.
		demand := max(group.demand, leastDemand)
		stays := min(1, group.capacity/demand)
		flows[index][index] = stays
		left[index] = demand * (1 - stays)
		room[index] = max(group.capacity-demand, 0)
	}
	overflow(groups, flows, left, room, func(from, to Place) bool { return from.Region == to.Region })
	overflow(groups, flows, left, room, func(Place, Place) bool { return true })
	capacity := 0.0
	for _, group := range groups {
		capacity += group.capacity
	}
	for from, group := range groups {
		rest := left[from] / max(group.demand, leastDemand)
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

// leastDemand is what a group without callers counts as, in requests a second.
const leastDemand = 1e-6

// overflow moves what is left of groups' callers to the room of groups near enough.
func overflow(groups []servingGroup, flows [][]float64, left, room []float64, near func(from, to Place) bool) {
	type wish struct{ left, room float64 }
	wishes := make([]wish, len(groups))
	for from := range groups {
		for to := range groups {
			if near(groups[from].place, groups[to].place) {
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
			if near(groups[from].place, groups[to].place) {
				part := moved * room[to] / wish.room
				flows[from][to] += part / max(groups[from].demand, leastDemand)
				taken[to] += part
			}
		}
		left[from] -= moved
	}
	for to := range room {
		room[to] = max(room[to]-taken[to], 0)
	}
}

// Origins returns from which places the requests come that members of places take, in
// requests a second: what a group takes is divided among the groups whose callers are sent
// to it. Without that, a place whose callers are partly sent elsewhere would seem to need
// less, and they would all be sent back.
func (r *Roles) Origins(taken map[Place]float64) map[Place]float64 {
	if r.plan == nil {
		return taken
	}
	origins := make(map[Place]float64, len(taken))
	for place, rate := range taken {
		to, found := r.plan.groupOf(place)
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
				origins[group.place] += rate * part / incoming
			}
		}
	}
	return origins
}

// groupOf returns the group of a place.
func (p *servingPlan) groupOf(place Place) (int, bool) {
	for _, key := range []Place{place, {Region: place.Region}, {}} {
		if group, found := p.byPlace[key]; found {
			return group, true
		}
	}
	return 0, false
}
