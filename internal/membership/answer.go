package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// MaxRouters bounds the addresses of one answer to a caller.
const MaxRouters = 64

// candidateShare is a serving member and the part of the callers that are to go to it.
type candidateShare struct {
	member Member
	share  float64
}

// RoutersFor returns the members that a caller of a place is told by the member answerer.
// Callers take one of them by chance for each connection. So a member with a smaller share
// is in the answers of fewer answerers: those of a place divide the shares among themselves
// evenly, and each gives the same answer as long as nothing changes, since a caller leaves
// connections to a member that a new answer lacks. alive tells whether a serving member can
// be reached; where fewer than half of all can, and none of those that the caller is sent to,
// the answerer itself is taken to be cut off, and its word on others doesn't count.
func (r *Roles) RoutersFor(from Location, answerer fleet.NodeID, alive func(Member) bool) []Member {
	shares := r.filterReachable(r.callerShares(from), alive)
	chosen := systematicSample(shares, r.sampleOffset(answerer))
	answer := make([]Member, len(chosen))
	for index, candidate := range chosen {
		answer[index] = candidate.member
	}
	if len(answer) < minGroupServing {
		answer = r.withFallback(answer, from, answerer, alive)
	}
	return answer
}

// withFallback adds the nearest other serving member to an answer that is too short: a caller
// whose only address fails would have none until it asks again. Answerers differ in whom they
// add, so that nobody is flooded.
func (r *Roles) withFallback(answer []Member, from Location, answerer fleet.NodeID, alive func(Member) bool) []Member {
	var reserve *Member
	distance := func(member *Member) int {
		switch {
		case member.location() == from:
			return 0
		case member.Region == from.Region:
			return 1
		default:
			return 2
		}
	}
	for index := range r.Serving {
		member := &r.Serving[index]
		if !alive(*member) || slices.ContainsFunc(answer, func(named Member) bool { return named.Node == member.Node }) {
			continue
		}
		if reserve == nil || cmp.Or(
			cmp.Compare(distance(member), distance(reserve)),
			cmp.Compare(RendezvousWeight(string(answerer), string(reserve.Node)), RendezvousWeight(string(answerer), string(member.Node))),
		) < 0 {
			reserve = member
		}
	}
	if reserve == nil {
		return answer
	}
	return append(answer, *reserve)
}

// filterReachable leaves out the members that can't be reached.
func (r *Roles) filterReachable(shares []candidateShare, alive func(Member) bool) []candidateShare {
	if near := slices.DeleteFunc(slices.Clone(shares), func(c candidateShare) bool { return !alive(c.member) }); hasShare(near) {
		return near
	}
	var others []candidateShare
	for _, member := range r.Serving {
		if alive(member) {
			others = append(others, candidateShare{member: member, share: r.memberWeight(member)})
		}
	}
	if 2*len(others) < len(r.Serving) {
		return shares
	}
	return others
}

func hasShare(shares []candidateShare) bool {
	return slices.ContainsFunc(shares, func(c candidateShare) bool { return c.share > 0 })
}

// memberWeight returns a member's weight among all; equal ones as long as no capacity is known.
func (r *Roles) memberWeight(member Member) float64 {
	return max(r.options.effectiveCapacity(&member), math.SmallestNonzeroFloat32)
}

// callerShares returns the serving members with the parts of a place's callers that go to them,
// sorted by node.
func (r *Roles) callerShares(from Location) []candidateShare {
	shares := make([]candidateShare, 0, len(r.Serving))
	if r.plan == nil {
		for _, member := range r.Serving {
			shares = append(shares, candidateShare{member: member, share: 1})
		}
		return shares
	}
	parts := r.plan.callerFractions(from)
	for index, group := range r.plan.groups {
		total := 0.0
		for _, entry := range group.members[:group.serving] {
			total += r.memberWeight(*entry.Member)
		}
		for _, entry := range group.members[:group.serving] {
			shares = append(shares, candidateShare{member: *entry.Member, share: parts[index] * r.memberWeight(*entry.Member) / total})
		}
	}
	slices.SortFunc(shares, func(a, b candidateShare) int { return compareNodes(a.member, b.member) })
	return shares
}

// callerFractions returns which part of a place's callers go to each group. Callers of a place that
// nobody knows go to their region's groups, or to all, by capacity.
func (p *servingPlan) callerFractions(from Location) []float64 {
	if group, found := p.findGroup(from); found {
		return p.flows[group]
	}
	parts := make([]float64, len(p.groups))
	near := p.byRegion[from.Region]
	if len(near) == 0 {
		for group := range p.groups {
			near = append(near, group)
		}
	}
	for _, group := range near {
		parts[group] = max(p.groups[group].capacity, math.SmallestNonzeroFloat32)
	}
	return parts
}

// sampleOffset returns where in [0, 1) an answerer begins to sample: those of one zone lie evenly.
func (r *Roles) sampleOffset(answerer fleet.NodeID) float64 {
	position, neighbours := 0, 0
	index, found := slices.BinarySearchFunc(r.routable, Member{Node: answerer}, compareNodes)
	if !found {
		return 0.5
	}
	for _, member := range r.routable {
		if member.location() != r.routable[index].location() {
			continue
		}
		if member.Node < answerer {
			position++
		}
		neighbours++
	}
	return (float64(position) + 0.5) / float64(neighbours)
}

// systematicSample returns candidates of which each is in a part of all samples, by offset
// in [0, 1), in proportion to its share: as many as allow that, at least leastNear and at
// most MaxAnswer. A share of over 1/leastNear can't be kept: the rest goes to the others.
func systematicSample(candidates []candidateShare, offset float64) []candidateShare {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c candidateShare) bool { return c.share <= 0 })
	if len(candidates) <= minGroupServing {
		return candidates
	}
	total, largest := 0.0, 0.0
	for _, candidate := range candidates {
		total += candidate.share
		largest = max(largest, candidate.share)
	}
	length := int(total/largest + roundingTolerance)
	length = min(max(length, minGroupServing), MaxRouters, len(candidates))
	chances := inclusionProbabilities(candidates, length)
	chosen := make([]candidateShare, 0, length)
	sum := 0.0
	for index, chance := range chances {
		before := sum
		sum += chance
		if math.Floor(sum-offset+roundingTolerance) > math.Floor(before-offset+roundingTolerance) {
			chosen = append(chosen, candidates[index])
		}
	}
	return chosen
}

// roundingTolerance takes up rounding errors of sums of shares.
const roundingTolerance = 1e-9

// inclusionProbabilities returns in which part of all samples of a length each candidate is: in
// proportion to its share, at most 1.
func inclusionProbabilities(candidates []candidateShare, length int) []float64 {
	chances := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	rest := 0.0
	for index, candidate := range candidates {
		order[index] = index
		rest += candidate.share
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(candidates[b].share, candidates[a].share) })
	places := float64(length)
	for _, index := range order {
		chances[index] = min(1, places*candidates[index].share/rest)
		places -= chances[index]
		rest -= candidates[index].share
	}
	return chances
}
