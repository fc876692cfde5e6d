package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// RoleOptions configures AssignRoles. Zero fields are replaced by the defaults where there is one.
type RoleOptions struct {
	// RequestCost is the processor time that a request takes on its node, in thousandths of a
	// core-second.
	RequestCost float64
	// Utilization is the fraction of a node's processor that requests may use.
	Utilization float64
	// MinServing is the minimum size of the serving set.
	MinServing int
	// SmallFleet is the size up to which every node serves and reads the store.
	SmallFleet int
	// Candidates is the number of nodes that compete for a duty's lease.
	Candidates int
	// ReadersPerZone is the number of store readers in each zone that others ask in turn.
	ReadersPerZone int
	// DemandByLocation is the demand by its origin, in requests per second, or empty if unknown.
	DemandByLocation map[Location]float64
	// CapacityFactors holds the fraction of their capacity to use for members under pressure. It is
	// 1 for all others.
	CapacityFactors map[fleet.NodeID]float64
	// MinServingByLocation holds minimum numbers of serving members, by the location of the group.
	MinServingByLocation map[Location]int
	// SingleGroup sends all callers to all serving members, regardless of location.
	SingleGroup bool
	// CacheSourcesPerZone is the number of nodes in each zone that subscribe to its caches on
	// behalf of others and are asked in turn.
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

// Hash keys by which nodes are ranked for a role.
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

// Roles is the assignment of roles to members. Nodes with the same members and demand compute the
// same roles; while they differ, every node can still perform any role. Roles is immutable apart
// from a cache and safe for concurrent use.
type Roles struct {
	// Serving are the members that callers are sent to, sorted by node.
	Serving []Member
	// SmallFleet is set in a small fleet, where all members serve and read the store.
	SmallFleet bool

	options  RoleOptions
	routable []Member
	// plan is nil in a small fleet.
	plan    *servingPlan
	serving map[fleet.NodeID]bool
	// readers holds the first ReadersPerZone readers of each zone, best first. zones holds its
	// keys, sorted.
	readers map[fleet.ZoneName][]fleet.NodeID
	zones   []fleet.ZoneName

	// cacheSources holds the nodes of each zone that subscribe to its caches on behalf of others,
	// best first.
	cacheSources map[fleet.ZoneName][]fleet.NodeID

	// candidates caches the results of Candidates by duty.
	candidatesMutex sync.Mutex
	candidates      map[string][]fleet.NodeID
}

// AssignRoles assigns roles to the members of a view. demand is the total rate of requests from
// callers, in requests per second.
func AssignRoles(view *View, demand float64, options RoleOptions) *Roles {
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

// weightedMember is a member with its rendezvous weight for a role, computed once for sorting.
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

// assignServing selects the serving members.
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

// IsServing reports whether callers are sent to a node.
func (r *Roles) IsServing(node fleet.NodeID) bool { return r.serving[node] }

// Candidates returns the nodes that compete for the lease of a duty: nodes outside the serving set,
// whose failure interrupts no request, if there are enough. Callers must not modify the slice.
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

// largestMembers returns the members of the highest capacities, at least the given number,
// including all with the same capacity as the last one. A duty's holder tracks all workers, which
// the smallest machines of a large fleet cannot handle.
func largestMembers(members []Member, minimum int) []Member {
	ranked := slices.SortedStableFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(b.Capacity, a.Capacity) })
	count := min(minimum, len(ranked))
	for count > 0 && count < len(ranked) && ranked[count].Capacity == ranked[count-1].Capacity {
		count++
	}
	return ranked[:count]
}

// preferNonServing returns the members outside the serving set if there are at least the given
// number, else all.
func (r *Roles) preferNonServing(minimum int) []Member {
	var nonServing []Member
	for _, member := range r.routable {
		if !r.serving[member.Node] {
			nonServing = append(nonServing, member)
		}
	}
	if len(nonServing) < minimum {
		return r.routable
	}
	return nonServing
}

// IsReader reports whether a node reads the store: every node of a small fleet, else the first
// reader of each zone.
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

// ReaderOrder returns the nodes that a node of a zone asks for the store's rows, best first: by
// rank within each zone, and the own zone first at each rank. The other zones follow in an order
// that starts at a different zone for each node, which spreads the nodes over them when a reader
// fails.
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

// rankReaders ranks the members of each zone as readers: those outside the serving set first, and
// the largest first among them, since a reader may send all rows to each node of its zone.
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

// CacheSources returns the nodes of a zone to ask, in turn, for changes in the zone's caches.
// Serving members come first, since they subscribe to the caches anyway. Callers must not modify
// the slice.
func (r *Roles) CacheSources(zone fleet.ZoneName) []fleet.NodeID { return r.cacheSources[zone] }

// mirrorsPerRegion is the number of nodes returned by CacheMirrors, which tell the others of their
// region, in turn, what changes in the caches of another region's zone.
const mirrorsPerRegion = 2

// CacheMirrors returns the nodes of a region to ask, in turn, for changes in the caches of a zone
// of another region. They are serving members, which need the changes themselves.
func (r *Roles) CacheMirrors(zone fleet.ZoneName, region fleet.RegionName) []fleet.NodeID {
	var near []Member
	for _, member := range r.Serving {
		if member.Region == region {
			near = append(near, member)
		}
	}
	return Owners(fleet.EngineID(zone), near, mirrorsPerRegion)
}

// rankCacheSources ranks the members of each zone as sources of cache changes.
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

// DemandTracker smooths a request rate with hysteresis to keep roles stable: the level rises
// immediately and falls only after the rate has been well below it for a while. The zero value is
// ready to use. It is not safe for concurrent use.
type DemandTracker struct {
	level      float64
	belowSince time.Duration
	below      bool
}

const (
	// demandLevelFactor is the ratio of the planned level to the observed rate.
	demandLevelFactor = 1.25
	// demandFallDelay is how long the rate must be lower before the level falls.
	demandFallDelay = 10 * time.Second
)

// Observe records the rate at now and returns the level to plan for.
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
