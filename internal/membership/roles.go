package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// RoleOptions sets up Assign. Zero fields take the defaults.
type RoleOptions struct {
	// RequestCost is the processor time that a request takes of the node that
	// carries it, in thousandths of a core and second.
	RequestCost float64
	// Utilization is the part of a node's processor that requests may take.
	Utilization float64
	// MinServing is the least size of the serving set.
	MinServing int
	// SmallFleet is the size up to which every node serves and reads the store.
	SmallFleet int
	// Candidates is the number of nodes that take a duty's lease.
	Candidates int
	// ReadersPerZone is the number of readers of each zone that others ask in turn.
	ReadersPerZone int
	// DemandByLocation is from which places the demand comes, in requests a second; empty if
	// that isn't known.
	DemandByLocation map[Location]float64
	// CapacityFactors is by which part of their capacity members under pressure count; all others
	// count whole.
	CapacityFactors map[fleet.NodeID]float64
	// MinServingByLocation is the least number of serving members of groups, by the group's place.
	MinServingByLocation map[Location]int
	// SingleGroup has all callers sent to all serving members, wherever they are.
	SingleGroup bool
	// CacheSourcesPerZone is the number of nodes of each zone that follow its caches for others,
	// in turn.
	CacheSourcesPerZone int
}

// Defaults of RoleOptions.
const (
	DefaultRequestCost         = 2
	DefaultUtilization         = 0.7
	DefaultMinServing          = 6
	DefaultSmallFleet          = 8
	DefaultCandidates          = 3
	DefaultReadersPerZone      = 3
	DefaultCacheSourcesPerZone = 3
)

// Names by which nodes are ordered for a role.
const (
	servingKey = "serving"
	readerKey  = "reader"
	cacheKey   = "cache source"
)

func (o *RoleOptions) setDefaults() {
	setDefault(&o.RequestCost, DefaultRequestCost)
	setDefault(&o.Utilization, DefaultUtilization)
	setDefault(&o.MinServing, DefaultMinServing)
	setDefault(&o.SmallFleet, DefaultSmallFleet)
	setDefault(&o.Candidates, DefaultCandidates)
	setDefault(&o.ReadersPerZone, DefaultReadersPerZone)
	setDefault(&o.CacheSourcesPerZone, DefaultCacheSourcesPerZone)
}

// Roles says which members do what. All nodes with the same members and demand
// agree; while they differ, each can still do everything. Roles is immutable and
// safe for concurrent use: everything is worked out when the members or the demand
// change, and only looked up in between.
type Roles struct {
	// Serving are the members that callers are sent to, sorted by node.
	Serving []Member
	// SmallFleet is set in a small fleet, in which all members serve and read the store.
	SmallFleet bool

	options  RoleOptions
	routable []Member
	// plan is nil in a small fleet.
	plan    *servingPlan
	serving map[fleet.NodeID]bool
	// readers holds, by zone, the first ReaderDepth readers, best first; zones are
	// its keys in order.
	readers map[fleet.ZoneName][]fleet.NodeID
	zones   []fleet.ZoneName

	// cacheSources holds, by zone, the nodes that follow the zone's caches for others, best
	// first.
	cacheSources map[fleet.ZoneName][]fleet.NodeID

	// candidates keeps what Candidates has worked out, by duty.
	candidatesMutex sync.Mutex
	candidates      map[string][]fleet.NodeID
}

// Assign divides the roles among the members of a view. demand is the requests
// per second that callers send to all members together.
func Assign(view *View, demand float64, options RoleOptions) *Roles {
	options.setDefaults()
	roles := &Roles{
		options:    options,
		routable:   view.Routable(),
		SmallFleet: len(view.Routable()) <= options.SmallFleet,
		serving:    make(map[fleet.NodeID]bool),
		candidates: make(map[string][]fleet.NodeID),
	}
	roles.assignServing(demand)
	for _, member := range roles.Serving {
		roles.serving[member.Node] = true
	}
	roles.rankReaders()
	roles.rankCacheSources()
	return roles
}

// weightedMember is a member with its rendezvous weight for a role, so that ranking
// hashes each name once instead of twice a comparison.
type weightedMember struct {
	*Member
	weight uint64
}

// withWeights returns the members with their weights for a role.
func withWeights(role string, members []Member) []weightedMember {
	key := xxhash.Sum64String(role)
	all := make([]weightedMember, len(members))
	for index := range members {
		member := &members[index]
		all[index] = weightedMember{Member: member, weight: mix(key ^ xxhash.Sum64String(string(member.Node)))}
	}
	return all
}

// assignServing chooses the serving members.
func (r *Roles) assignServing(demand float64) {
	if r.SmallFleet {
		r.Serving = r.routable
		return
	}
	r.plan = planServing(r.routable, demand, r.options)
	for _, group := range r.plan.groups {
		for _, entry := range group.members[:group.serving] {
			r.Serving = append(r.Serving, *entry.Member)
		}
	}
	slices.SortFunc(r.Serving, compareNodes)
}

// IsServing tells whether callers are sent to a node.
func (r *Roles) IsServing(node fleet.NodeID) bool { return r.serving[node] }

// Candidates returns the nodes that take the lease of a duty: nodes outside of
// the serving set if there are enough, so that their loss cuts no request.
// Callers must not write to the slice.
func (r *Roles) Candidates(duty string) []fleet.NodeID {
	r.candidatesMutex.Lock()
	defer r.candidatesMutex.Unlock()
	candidates, known := r.candidates[duty]
	if !known {
		candidates = Owners(duty, largestMembers(r.preferNonServing(r.options.Candidates), r.options.Candidates), r.options.Candidates)
		r.candidates[duty] = candidates
	}
	return candidates
}

// largestMembers returns the members of the greatest capacity, and of the next ones until there are
// so many: a holder of a duty knows all workers and gives orders to them, of which the smallest
// machines of a large fleet can carry neither.
func largestMembers(members []Member, least int) []Member {
	ranked := slices.SortedStableFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(b.Capacity, a.Capacity) })
	count := min(least, len(ranked))
	for count > 0 && count < len(ranked) && ranked[count].Capacity == ranked[count-1].Capacity {
		count++
	}
	return ranked[:count]
}

// preferNonServing returns the members outside of the serving set if there are least
// of them, else all.
func (r *Roles) preferNonServing(least int) []Member {
	var idle []Member
	for _, member := range r.routable {
		if !r.serving[member.Node] {
			idle = append(idle, member)
		}
	}
	if len(idle) < least {
		return r.routable
	}
	return idle
}

// IsReader tells whether it is a node's role to read the store: every node of a
// small fleet, else the first of each zone.
func (r *Roles) IsReader(node fleet.NodeID) bool {
	if r.SmallFleet {
		return true
	}
	for _, ranked := range r.readers {
		if ranked[0] == node {
			return true
		}
	}
	return false
}

// ReaderOrder returns the nodes that a node of a zone asks for the store's rows,
// best first: by rank within each zone, and of each rank the own zone first. The others follow
// in an order that starts elsewhere for each node, so that those who asked a reader that fails
// don't all ask the same next one.
func (r *Roles) ReaderOrder(zone fleet.ZoneName, self fleet.NodeID) []fleet.NodeID {
	var order []fleet.NodeID
	start := int(xxhash.Sum64String(string(self)) % uint64(max(len(r.zones), 1)))
	zones := slices.Concat(r.zones[start:], r.zones[:start])
	for rank := range r.options.ReadersPerZone {
		if own := r.readers[zone]; rank < len(own) {
			order = append(order, own[rank])
		}
		for _, name := range zones {
			if ranked := r.readers[name]; name != zone && rank < len(ranked) {
				order = append(order, ranked[rank])
			}
		}
	}
	return order
}

// rankReaders ranks the members of each zone as readers, those outside of the
// serving set first, the largest of them first: after a start of all, a reader tells all rows to
// each node of its zone, and the smallest machines have a twentieth of the largest's link.
func (r *Roles) rankReaders() {
	byZone := make(map[fleet.ZoneName][]weightedMember)
	for _, entry := range withWeights(readerKey, r.routable) {
		byZone[entry.Zone] = append(byZone[entry.Zone], entry)
	}
	r.readers = make(map[fleet.ZoneName][]fleet.NodeID, len(byZone))
	for zone, members := range byZone {
		slices.SortFunc(members, func(a, b weightedMember) int {
			if r.serving[a.Node] != r.serving[b.Node] {
				if r.serving[b.Node] {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.weight, a.weight))
		})
		for _, entry := range members[:min(len(members), r.options.ReadersPerZone)] {
			r.readers[zone] = append(r.readers[zone], entry.Node)
		}
		r.zones = append(r.zones, zone)
	}
	slices.Sort(r.zones)
}

// CacheSources returns the nodes of a zone that are asked, in turn, what changes in the
// zone's caches: those that serve first, since they follow them for themselves. Callers must
// not write to the slice.
func (r *Roles) CacheSources(zone fleet.ZoneName) []fleet.NodeID { return r.cacheSources[zone] }

// mirrorsPerRegion is the number of nodes of a region that tell the others of it, in turn, what
// changes in the caches of another region's zone.
const mirrorsPerRegion = 2

// CacheMirrors returns the nodes of a region that tell the others of it, in turn, what changes
// in the caches of a zone of another region: of those that serve, since they need it themselves.
func (r *Roles) CacheMirrors(zone fleet.ZoneName, region fleet.RegionName) []fleet.NodeID {
	var near []Member
	for _, member := range r.Serving {
		if member.Region == region {
			near = append(near, member)
		}
	}
	return Owners(fleet.EngineID(zone), near, mirrorsPerRegion)
}

// rankCacheSources ranks the members of each zone as sources of what its caches hold.
func (r *Roles) rankCacheSources() {
	byZone := make(map[fleet.ZoneName][]weightedMember)
	for _, entry := range withWeights(cacheKey, r.routable) {
		byZone[entry.Zone] = append(byZone[entry.Zone], entry)
	}
	r.cacheSources = make(map[fleet.ZoneName][]fleet.NodeID, len(byZone))
	for zone, members := range byZone {
		slices.SortFunc(members, func(a, b weightedMember) int {
			if r.serving[a.Node] != r.serving[b.Node] {
				if r.serving[a.Node] {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(b.weight, a.weight))
		})
		for _, entry := range members[:min(len(members), r.options.CacheSourcesPerZone)] {
			r.cacheSources[zone] = append(r.cacheSources[zone], entry.Node)
		}
	}
}

// DemandTracker follows a rate so that the roles change seldom: up at once, down only
// after the rate has been well below for a while.
type DemandTracker struct {
	level      float64
	belowSince time.Duration
	below      bool
}

// Parts of Demand's hysteresis.
const (
	// demandLevelFactor is the factor between two levels.
	demandLevelFactor = 1.25
	// demandFallDelay is how long the rate must be below before the level falls.
	demandFallDelay = 10 * time.Second
)

// Observe takes in the rate at now and returns the level to plan for.
func (d *DemandTracker) Observe(now time.Duration, rate float64) float64 {
	switch {
	case rate > d.level:
		d.level, d.below = rate*demandLevelFactor, false
	case rate*demandLevelFactor*demandLevelFactor >= d.level:
		d.below = false
	case !d.below:
		d.below, d.belowSince = true, now
	case now >= d.belowSince+demandFallDelay:
		d.level, d.below = rate*demandLevelFactor, false
	}
	return d.level
}
