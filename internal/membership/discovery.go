package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// MaxRouters is the maximum number of routers returned to a caller.
const MaxRouters = 64

// candidateShare is a serving member and the fraction of callers to send to it.
type candidateShare struct {
	member Member
	share  float64
}

// RoutersFor returns the members that responder, the router that was asked, returns to a caller at
// the given location. A caller picks one of them at random for each connection, so a member with a
// smaller share is returned by fewer responders: the responders of a zone divide the shares evenly
// among themselves. A responder returns the same members while nothing changes, because callers
// close connections to members that are missing from a new response.
//
// alive reports whether a serving member is reachable. If fewer than half of all serving members
// are, and none of those selected for the caller, the responder assumes that it is partitioned
// itself and ignores alive.
func (r *Roles) RoutersFor(from Location, responder fleet.NodeID, alive func(Member) bool) []Member {
	shares := r.filterReachable(r.callerShares(from), alive)
	chosen := systematicSample(shares, r.sampleOffset(responder))
	response := make([]Member, len(chosen))
	for index, candidate := range chosen {
		response[index] = candidate.member
	}
	if len(response) < minGroupServing {
		response = r.withFallback(response, from, responder, alive)
	}
	return response
}

// withFallback adds the nearest other reachable serving member to a response that is too short for
// a caller to fail over. Different responders add different members, to spread the load.
func (r *Roles) withFallback(response []Member, from Location, responder fleet.NodeID, alive func(Member) bool) []Member {
	var fallback *Member
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
		if !alive(*member) || slices.ContainsFunc(response, func(named Member) bool { return named.Node == member.Node }) {
			continue
		}
		if fallback == nil || cmp.Or(
			cmp.Compare(distance(member), distance(fallback)),
			cmp.Compare(RendezvousWeight(string(responder), string(fallback.Node)), RendezvousWeight(string(responder), string(member.Node))),
		) < 0 {
			fallback = member
		}
	}
	if fallback == nil {
		return response
	}
	return append(response, *fallback)
}

// filterReachable returns the shares of reachable members. If there are none, it returns all
// reachable serving members or, if these are fewer than half of all, the shares unfiltered.
func (r *Roles) filterReachable(shares []candidateShare, alive func(Member) bool) []candidateShare {
	if kept := slices.DeleteFunc(slices.Clone(shares), func(c candidateShare) bool { return !alive(c.member) }); hasShare(kept) {
		return kept
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

// memberWeight returns a positive weight that is proportional to a member's effective capacity.
func (r *Roles) memberWeight(member Member) float64 {
	return max(r.options.effectiveCapacity(&member), math.SmallestNonzeroFloat32)
}

// callerShares returns the serving members with their shares of a location's callers, sorted by
// node.
func (r *Roles) callerShares(from Location) []candidateShare {
	shares := make([]candidateShare, 0, len(r.Serving))
	if r.plan == nil {
		for _, member := range r.Serving {
			shares = append(shares, candidateShare{member: member, share: 1})
		}
		return shares
	}
	fractions := r.plan.callerFractions(from)
	for index, group := range r.plan.groups {
		total := 0.0
		for _, entry := range group.members[:group.serving] {
			total += r.memberWeight(*entry.Member)
		}
		for _, entry := range group.members[:group.serving] {
			shares = append(shares, candidateShare{member: *entry.Member, share: fractions[index] * r.memberWeight(*entry.Member) / total})
		}
	}
	slices.SortFunc(shares, func(a, b candidateShare) int { return compareNodes(a.member, b.member) })
	return shares
}

// callerFractions returns the fraction of a location's callers to send to each group. Callers of an
// unknown location are spread by capacity over the groups of their region or, if there are none,
// over all groups.
func (p *servingPlan) callerFractions(from Location) []float64 {
	if group, found := p.findGroup(from); found {
		return p.flows[group]
	}
	fractions := make([]float64, len(p.groups))
	near := p.byRegion[from.Region]
	if len(near) == 0 {
		for group := range p.groups {
			near = append(near, group)
		}
	}
	for _, group := range near {
		fractions[group] = max(p.groups[group].capacity, math.SmallestNonzeroFloat32)
	}
	return fractions
}

// sampleOffset returns the sampling offset of a responder in [0, 1). The offsets of a zone's
// members are evenly spaced.
func (r *Roles) sampleOffset(responder fleet.NodeID) float64 {
	position, neighbours := 0, 0
	index, found := slices.BinarySearchFunc(r.routable, Member{Node: responder}, compareNodes)
	if !found {
		return 0.5
	}
	for _, member := range r.routable {
		if member.location() != r.routable[index].location() {
			continue
		}
		if member.Node < responder {
			position++
		}
		neighbours++
	}
	return (float64(position) + 0.5) / float64(neighbours)
}

// systematicSample returns a sample that includes each candidate with a probability proportional to
// its share, over a uniform offset in [0, 1). The sample is as large as that permits, but at least
// minGroupServing and at most MaxRouters. The excess of a share above 1/minGroupServing goes to the
// others.
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
	probabilities := inclusionProbabilities(candidates, length)
	chosen := make([]candidateShare, 0, length)
	sum := 0.0
	for index, probability := range probabilities {
		before := sum
		sum += probability
		if math.Floor(sum-offset+roundingTolerance) > math.Floor(before-offset+roundingTolerance) {
			chosen = append(chosen, candidates[index])
		}
	}
	return chosen
}

// roundingTolerance absorbs rounding errors in sums of shares.
const roundingTolerance = 1e-9

// inclusionProbabilities returns the probability with which a sample of the given length includes
// each candidate: proportional to its share, at most 1.
func inclusionProbabilities(candidates []candidateShare, length int) []float64 {
	probabilities := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	remainingShare := 0.0
	for index, candidate := range candidates {
		order[index] = index
		remainingShare += candidate.share
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(candidates[b].share, candidates[a].share) })
	remainingLength := float64(length)
	for _, index := range order {
		probabilities[index] = min(1, remainingLength*candidates[index].share/remainingShare)
		remainingLength -= probabilities[index]
		remainingShare -= candidates[index].share
	}
	return probabilities
}
