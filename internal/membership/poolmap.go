package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// minRelativeShare is the smallest share of a pool that a router may have, relative to the pool's
// largest share. A router with a smaller one would own too few of its engines to be worth asking.
const minRelativeShare = 0.125

// EngineSite is the location of an engine and the pool that it serves.
type EngineSite struct {
	Pool     fleet.PoolName
	Location Location
}

// share is a router's share of a pool: the mean number of the pool's engines that it owns.
type share struct {
	member Member
	weight float64
}

// PoolMap assigns engines to routers so that each router owns engines of few pools. In each zone
// the pools form adjacent intervals of a line, with lengths in proportion to their numbers of
// engines, and the zone's routers are placed on the line at equal distances in the order of their
// hashes. A router covers the line up to the next router or, with several owners per engine, up to
// as many routers further. It shares the pools that it covers in proportion to the overlap. A zone
// with too few routers uses those of its region, then all.
//
// Routers and agents that know the same engines and routers build the same map, so it need not be
// transmitted. It is immutable.
type PoolMap struct {
	replicas int
	members  []Member
	sites    map[EngineSite][]share
	pools    map[fleet.PoolName][]share
}

// NewPoolMap builds the map from the sites of all live engines, one entry per engine. Each engine
// gets the given number of owners, at least 1, or as many as there are routers.
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

// assignZone assigns the engines of one zone, given their number in each pool.
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
	for distance := range distanceLevels {
		for _, member := range m.members {
			if location.distance(member) == distance {
				chosen = append(chosen, member)
			}
		}
		if len(chosen) >= m.replicas {
			break
		}
	}
	return chosen
}

// coveringRouters returns the routers that cover the interval from start to end.
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

// Owners returns the routers that index an engine, best first, by weighted rendezvous hashing among
// those that share its pool in its zone.
func (m *PoolMap) Owners(engine fleet.EngineID, site EngineSite) []fleet.NodeID {
	key := xxhash.Sum64String(string(engine))
	scored := make([]scoredMember, 0, len(m.sites[site]))
	for _, poolShare := range m.sites[site] {
		scored = append(scored, poolShare.score(key, 1))
	}
	ranked := sortScored(scored)
	return firstOwners(ranked, min(m.replicas, len(ranked)))
}

// Rank returns the routers in the order in which an agent tries them for a prefix key of a pool.
// First come those of the agent's region that own engines of the pool, ranked by weighted
// rendezvous hashing with more weight for more engines and for the agent's zone; then owners in
// other regions; then routers that own none. The number is the size of the first group, or of the
// second if the first is empty.
func (m *PoolMap) Rank(key uint64, pool fleet.PoolName, near Location) ([]Member, int) {
	scored := make([]scoredMember, 0, len(m.members))
	serving := make(map[fleet.NodeID]bool)
	local := 0
	for _, poolShare := range m.mergedShares(pool) {
		serving[poolShare.member.Node] = true
		entry := scoreRouter(key, poolShare, near)
		if entry.distance == 0 {
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
			entry.distance += distanceLevels
			scored = append(scored, entry)
		}
	}
	return sortScored(scored), local
}

// mergedShares returns one share of the pool for each router, over all zones.
func (m *PoolMap) mergedShares(pool fleet.PoolName) []share {
	total := make(map[fleet.NodeID]float64)
	for _, poolShare := range m.pools[pool] {
		total[poolShare.member.Node] += poolShare.weight
	}
	var merged []share
	for _, member := range m.members {
		if weight := total[member.Node]; weight > 0 {
			merged = append(merged, share{member: member, weight: weight})
		}
	}
	return merged
}

// scoreRouter scores a router for a prefix key. Routers of other regions come last, and the agent's
// zone is preferred by localZoneWeight.
func scoreRouter(key uint64, poolShare share, near Location) scoredMember {
	distance := near.distance(poolShare.member)
	preference := 1.0
	if distance == 0 {
		preference = localZoneWeight
	}
	entry := poolShare.score(key, preference)
	if distance == distanceLevels-1 {
		entry.distance = 1
	}
	return entry
}

func (s share) score(key uint64, preference float64) scoredMember {
	hash := mix(key ^ xxhash.Sum64String(s.member.placementKey()))
	return scoredMember{member: s.member, score: weightedScore(hash, s.weight*preference)}
}

// placementKey returns the string that determines a router's place in the map. It is the address,
// which survives a restart, whereas the node identifier does not.
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
