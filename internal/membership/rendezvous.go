package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// localZoneWeight is the weight in Rank of a router in the caller's zone relative to one elsewhere.
// With a small weight, callers of different zones mostly agree on the router of a prefix even when
// the zone has few routers.
const localZoneWeight = 2.0

// Location is a zone of a region, such as that of a member or a caller.
type Location struct {
	Region fleet.RegionName
	Zone   fleet.ZoneName
}

// distanceLevels is the number of values of Location.distance.
const distanceLevels = 3

// distance returns the distance of a member: 0 for the same zone, 1 for the same region, 2 for
// elsewhere. A location without a region matches any region.
func (l Location) distance(member Member) int {
	sameRegion := l.Region == "" || member.Region == l.Region
	switch {
	case sameRegion && member.Zone == l.Zone:
		return 0
	case sameRegion:
		return 1
	default:
		return 2
	}
}

// Owners returns the routers that own the engine or task of the given name, such as a lease, best
// first, by rendezvous hashing (Thaler and Ravishankar 1998): when a member joins or leaves, only
// what it gains or loses changes owner. Members that are not routable own nothing. With 0 replicas
// every routable member is an owner.
func Owners[Name ~string](name Name, members []Member, replicas int) []fleet.NodeID {
	return firstOwners(rankEngine(fleet.EngineID(name), members, nil), replicas)
}

// OwnersNear is like Owners but prefers routers of the engine's zone, then of its region.
func OwnersNear(engine fleet.EngineID, location Location, members []Member, replicas int) []fleet.NodeID {
	return firstOwners(rankEngine(engine, members, &location), replicas)
}

// Rank returns the routable members in the order in which an agent in the given zone tries them for
// a prefix key. All agents of a zone agree on it. The weights follow Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables" (SPAA 2005).
func Rank(key uint64, zone fleet.ZoneName, members []Member) []Member {
	scored := make([]scoredMember, 0, len(members))
	for _, member := range members {
		if !member.IsRoutable() {
			continue
		}
		weight := 1.0
		if zone != "" && member.Zone == zone {
			weight = localZoneWeight
		}
		hash := mix(key ^ xxhash.Sum64String(string(member.Node)))
		scored = append(scored, scoredMember{member: member, score: weightedScore(hash, weight)})
	}
	return sortScored(scored)
}

// RankForPool returns the routable members in the order in which agents ask them for a pool whose
// engines every router owns: those of the agent's region first, then by rendezvous hashing of the
// pool's name. All agents of a region agree on it, and different pools have different first
// routers. A restarted router keeps its position, since the order depends on addresses.
func RankForPool(pool fleet.PoolName, near Location, members []Member) []Member {
	key := xxhash.Sum64String(string(pool))
	scored := make([]scoredMember, 0, len(members))
	for _, member := range members {
		if !member.IsRoutable() {
			continue
		}
		entry := share{member: member, weight: 1}.score(key, 1)
		if near.distance(member) == distanceLevels-1 {
			entry.distance = 1
		}
		scored = append(scored, entry)
	}
	return sortScored(scored)
}

type scoredMember struct {
	member   Member
	distance int
	score    float64
}

func rankEngine(engine fleet.EngineID, members []Member, near *Location) []Member {
	key := xxhash.Sum64String(string(engine))
	scored := make([]scoredMember, 0, len(members))
	for _, member := range members {
		if !member.IsRoutable() {
			continue
		}
		entry := scoredMember{member: member}
		entry.score = weightedScore(mix(key^xxhash.Sum64String(string(member.Node))), 1)
		if near != nil {
			entry.distance = near.distance(member)
		}
		scored = append(scored, entry)
	}
	return sortScored(scored)
}

// sortScored sorts by ascending distance, then descending score, then node.
func sortScored(scored []scoredMember) []Member {
	slices.SortFunc(scored, func(a, b scoredMember) int {
		if order := cmp.Compare(a.distance, b.distance); order != 0 {
			return order
		}
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return compareNodes(a.member, b.member)
	})
	members := make([]Member, len(scored))
	for i, entry := range scored {
		members[i] = entry.member
	}
	return members
}

func firstOwners(ranked []Member, replicas int) []fleet.NodeID {
	if replicas <= 0 || replicas > len(ranked) {
		replicas = len(ranked)
	}
	owners := make([]fleet.NodeID, replicas)
	for i := range owners {
		owners[i] = ranked[i].Node
	}
	return owners
}

// RendezvousWeight returns the weight of a candidate for a key. Processes that choose the candidate
// with the highest weight agree, and when a candidate joins or leaves only its own keys move.
func RendezvousWeight(key, candidate string) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(candidate))
}

// RendezvousMix distributes a hash over all bits. RendezvousWeight of two names equals
// RendezvousMix of the exclusive or of their hashes.
func RendezvousMix(hash uint64) uint64 { return mix(hash) }

// weightedScore maps a uniform hash to -weight/ln(u) with u in (0, 1).
func weightedScore(hash uint64, weight float64) float64 {
	const mantissaBits = 53
	uniform := (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -weight / math.Log(uniform)
}

// mix distributes a hash over all bits (the finalizer of SplitMix64).
func mix(hash uint64) uint64 {
	hash += 0x9e3779b97f4a7c15
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	return hash ^ (hash >> 31)
}

// TopMembers returns the routable members other than self with the highest rendezvous weights for a key,
// at most count, best first. The order is that of Rank without a zone, but only the top is sorted.
func TopMembers(key uint64, members []Member, self fleet.NodeID, count int) []Member {
	top := make([]Member, 0, count+1)
	weights := make([]uint64, 0, count+1)
	for index := range members {
		member := &members[index]
		if member.Node == self || !member.IsRoutable() {
			continue
		}
		weight := mix(key ^ xxhash.Sum64String(string(member.Node)))
		if len(top) == count && weight <= weights[count-1] {
			continue
		}
		at := slices.IndexFunc(weights, func(other uint64) bool { return weight > other })
		if at < 0 {
			at = len(weights)
		}
		top, weights = slices.Insert(top, at, *member), slices.Insert(weights, at, weight)
		top, weights = top[:min(len(top), count)], weights[:min(len(weights), count)]
	}
	return top
}
