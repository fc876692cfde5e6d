package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// minRelativeShare is the least part of a pool's largest share of one router that
// another router's share may be. A smaller one would own an engine too seldom
// to be asked for the pool.
const minRelativeShare = 0.125

// EngineSite is where an engine stands and what it serves.
type EngineSite struct {
	Pool     fleet.PoolName
	Location Location
}

// share is a router's part in a pool: the number of engines that it owns of it,
// on average.
type share struct {
	member Member
	weight float64
}

// PoolMap shares the engines among routers so that each router owns engines of
// few pools. In each zone the pools lie side by side on a line, each as long as
// its part of the zone's engines, and the zone's routers stand on the line at
// equal distances in the order of their hashes. A router covers the stretch to
// the next one, or to the one after more of them if engines have several owners;
// it takes part in the pools that it covers, in proportion. A zone with too few
// routers is shared by those of its region, then by all.
//
// Routers and agents that know the same engines and routers build the same map,
// so that nothing about it is sent. It is immutable.
type PoolMap struct {
	replicas int
	members  []Member
	sites    map[EngineSite][]share
	pools    map[fleet.PoolName][]share
}

// NewPoolMap builds the map from the sites of all live engines, one entry for
// each engine. Each engine gets the given number of owners, at least 1, as far
// as there are routers.
func NewPoolMap(engines []EngineSite, members []Member, replicas int) *PoolMap {
	m := &PoolMap{
		replicas: max(replicas, 1),
		sites:    make(map[EngineSite][]share),
		pools:    make(map[fleet.PoolName][]share),
	}
	for _, member := range members {
		if member.IsRoutable() {
			m.members = append(m.members, member)
		}
	}
	slices.SortFunc(m.members, comparePlacementKeys)
	counts := make(map[Location]map[fleet.PoolName]int)
	for _, engine := range engines {
		if counts[engine.Location] == nil {
			counts[engine.Location] = make(map[fleet.PoolName]int)
		}
		counts[engine.Location][engine.Pool]++
	}
	for _, location := range slices.SortedFunc(maps.Keys(counts), compareLocations) {
		m.assignZone(location, counts[location])
	}
	return m
}

// assignZone lays out one zone's line.
func (m *PoolMap) assignZone(location Location, counts map[fleet.PoolName]int) {
	routers := m.routersFor(location)
	if len(routers) == 0 {
		return
	}
	engines := 0
	for _, count := range counts {
		engines += count
	}
	unit := float64(engines) / float64(len(routers))
	start := 0.0
	for _, pool := range slices.Sorted(maps.Keys(counts)) {
		end := start + float64(counts[pool])/unit
		shares := m.coveringRouters(routers, start, end, unit)
		m.sites[EngineSite{Pool: pool, Location: location}] = shares
		m.pools[pool] = append(m.pools[pool], shares...)
		start = end
	}
}

// routersFor returns the routers that share the engines of a zone.
func (m *PoolMap) routersFor(location Location) []Member {
	var chosen []Member
	for distance := range proximityLevels {
		for _, member := range m.members {
			if location.proximity(member) == distance {
				chosen = append(chosen, member)
			}
		}
		if len(chosen) >= m.replicas {
			break
		}
	}
	return chosen
}

// coveringRouters returns the routers that coveringRouters a stretch of the line.
func (m *PoolMap) coveringRouters(routers []Member, start, end, unit float64) []share {
	count := float64(len(routers))
	replicas := min(float64(m.replicas), count)
	var shares []share
	largest := 0.0
	for position, member := range routers {
		from := float64(position)
		overlap := overlapLength(start, end, from, from+replicas) + overlapLength(start, end, from-count, from-count+replicas)
		if overlap <= 0 {
			continue
		}
		shares = append(shares, share{member: member, weight: overlap * unit})
		largest = max(largest, overlap*unit)
	}
	kept := slices.DeleteFunc(slices.Clone(shares), func(s share) bool { return s.weight < minRelativeShare*largest })
	if len(kept) < int(replicas) {
		return shares
	}
	return kept
}

func overlapLength(start, end, from, to float64) float64 {
	return max(min(end, to)-max(start, from), 0)
}

// Owners returns the routers that index an engine, best first, by weighted
// rendezvous among those that take part in its pool in its zone.
func (m *PoolMap) Owners(engine fleet.EngineID, site EngineSite) []fleet.NodeID {
	key := xxhash.Sum64String(string(engine))
	scored := make([]scoredMember, 0, len(m.sites[site]))
	for _, part := range m.sites[site] {
		scored = append(scored, part.score(key, 1))
	}
	ranked := sortScored(scored)
	return firstOwners(ranked, min(m.replicas, len(ranked)))
}

// Rank returns the routers in the order in which an agent tries them for a
// prefix key of a pool. Those of the agent's region that own engines of the
// pool come first, the likelier the more they own, and likelier in the agent's
// zone; then those of other regions; then the routers that own none. The number
// is that of the first group, or of the second if the first is empty.
func (m *PoolMap) Rank(key uint64, pool fleet.PoolName, near Location) ([]Member, int) {
	scored := make([]scoredMember, 0, len(m.members))
	serving := make(map[fleet.NodeID]bool)
	local := 0
	for _, part := range m.mergedShares(pool) {
		serving[part.member.Node] = true
		entry := scoreRouter(key, part, near)
		if entry.proximity == 0 {
			local++
		}
		scored = append(scored, entry)
	}
	if local == 0 {
		local = len(serving)
	}
	for _, member := range m.members {
		if !serving[member.Node] {
			entry := scoreRouter(key, share{member: member, weight: 1}, near)
			entry.proximity += proximityLevels
			scored = append(scored, entry)
		}
	}
	return sortScored(scored), local
}

// mergedShares returns one share of the pool for each router.
func (m *PoolMap) mergedShares(pool fleet.PoolName) []share {
	total := make(map[fleet.NodeID]float64)
	for _, part := range m.pools[pool] {
		total[part.member.Node] += part.weight
	}
	var merged []share
	for _, member := range m.members {
		if weight := total[member.Node]; weight > 0 {
			merged = append(merged, share{member: member, weight: weight})
		}
	}
	return merged
}

// scoreRouter scores a router for a prefix key. Routers of other regions come
// last; the agent's zone is preferred within bounds, see Rank.
func scoreRouter(key uint64, part share, near Location) scoredMember {
	distance := near.proximity(part.member)
	preference := 1.0
	if distance == 0 {
		preference = localZoneWeight
	}
	entry := part.score(key, preference)
	if distance == proximityLevels-1 {
		entry.proximity = 1
	}
	return entry
}

func (s share) score(key uint64, preference float64) scoredMember {
	hash := mix(key ^ xxhash.Sum64String(s.member.placementKey()))
	return scoredMember{member: s.member, score: weightedScore(hash, s.weight*preference)}
}

// placementKey is what a router's place in the map follows from. An address
// outlives a restart, which a node identifier doesn't.
func (m Member) placementKey() string {
	if m.Address != "" {
		return string(m.Address)
	}
	return string(m.Node)
}

func comparePlacementKeys(a, b Member) int {
	if order := cmp.Compare(xxhash.Sum64String(a.placementKey()), xxhash.Sum64String(b.placementKey())); order != 0 {
		return order
	}
	return compareNodes(a, b)
}

func compareLocations(a, b Location) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
}
