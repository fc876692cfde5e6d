package membership

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestSamplesIncludeCandidatesInProportionToShare guards against candidates that all responders
// together return more or less often than their share.
func TestSamplesIncludeCandidatesInProportionToShare(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	const responders = 2000
	for range 50 {
		candidates := make([]candidateShare, 4+random.IntN(100))
		total, largest := 0.0, 0.0
		for index := range candidates {
			candidates[index].share = 0.2 + random.Float64()*0.8
			candidates[index].member.Incarnation = fleet.Incarnation(index)
			total += candidates[index].share
			largest = max(largest, candidates[index].share)
		}
		if largest/total > 1.0/minGroupServing {
			continue
		}
		named := make([]float64, len(candidates))
		for number := range responders {
			sample := systematicSample(candidates, (float64(number)+0.5)/responders)
			require.LessOrEqual(t, len(sample), MaxRouters)
			require.GreaterOrEqual(t, len(sample), minGroupServing)
			for _, candidate := range sample {
				named[candidate.member.Incarnation] += 1 / float64(len(sample)) / responders
			}
		}
		for index, candidate := range candidates {
			require.InDelta(t, candidate.share/total, named[index], 0.001)
		}
	}
}

func TestSampleOfFewCandidatesIncludesAll(t *testing.T) {
	two := []candidateShare{{share: 0.9}, {share: 0.1}}
	assert.Len(t, systematicSample(two, 0.3), 2, "a caller needs a second router to fail over to")
	assert.Len(t, systematicSample(append(two, candidateShare{}), 0.3), 2)
	assert.Empty(t, systematicSample(nil, 0.3))
}

func TestRoutersForIsStable(t *testing.T) {
	view := fleetOf(zoneMembers{northA, append(equal(2, 800), equal(20, 200)...)}, zoneMembers{northB, equal(20, 200)}, zoneMembers{southC, equal(20, 200)})
	roles := AssignRoles(view, 1500, RoleOptions{})
	node := view.Members()[7].Node
	assert.Equal(t, roles.RoutersFor(northA, node, always), AssignRoles(view, 1500, RoleOptions{}).RoutersFor(northA, node, always))
}

// TestRoutersForLeavesOutUnreachableMembers guards against returning unreachable members, and
// against a responder that is itself partitioned leaving out all the others.
func TestRoutersForLeavesOutUnreachableMembers(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(5, 200)}, zoneMembers{northB, equal(5, 200)}, zoneMembers{southC, equal(5, 200)})
	roles := AssignRoles(view, 60, RoleOptions{})
	node := view.Members()[0].Node
	outsideA := func(member Member) bool { return member.Zone != "a" }
	response := roles.RoutersFor(northA, node, outsideA)
	require.Len(t, response, 4)
	for _, named := range response {
		assert.NotEqual(t, fleet.ZoneName("a"), named.Zone)
	}
	onlyA := func(member Member) bool { return member.Zone == "a" }
	for _, named := range roles.RoutersFor(northA, node, onlyA) {
		assert.Equal(t, fleet.ZoneName("a"), named.Zone, "a partitioned zone must use its own members")
	}
	assert.Len(t, roles.RoutersFor(northB, node, onlyA), 2, "the responder is partitioned and must ignore reachability")
	assert.Empty(t, (&Roles{}).RoutersFor(northA, node, always))
}

// TestSingleRouterGetsNearbyFallback guards against responses without a second router when one of a
// zone's two serving members fails.
func TestSingleRouterGetsNearbyFallback(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(5, 200)}, zoneMembers{northB, equal(5, 200)}, zoneMembers{southC, equal(5, 200)})
	roles := AssignRoles(view, 60, RoleOptions{})
	var failed fleet.NodeID
	for _, member := range roles.Serving {
		if member.Zone == "a" {
			failed = member.Node
		}
	}
	fallbacks := map[fleet.NodeID]bool{}
	for _, responder := range view.Members() {
		response := roles.RoutersFor(northA, responder.Node, func(member Member) bool { return member.Node != failed })
		require.Len(t, response, minGroupServing)
		assert.Equal(t, fleet.ZoneName("a"), response[0].Zone)
		assert.Equal(t, fleet.ZoneName("b"), response[1].Zone, "the fallback must be of the same region")
		fallbacks[response[1].Node] = true
	}
	assert.Len(t, fallbacks, 2, "responders must add different fallbacks")
}

// TestSmallFleetReturnsAllMembers guards against a small fleet directing callers to only some of
// its members.
func TestSmallFleetReturnsAllMembers(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(3, 200)}, zoneMembers{northB, equal(2, 200)}, zoneMembers{southC, equal(2, 200)})
	roles := AssignRoles(view, 60, RoleOptions{})
	assert.Len(t, roles.RoutersFor(northA, view.Members()[0].Node, always), 7)
	assert.Len(t, roles.RoutersFor(Location{}, "", always), 7)
}

func TestCallersOfUnknownLocationUseAllGroups(t *testing.T) {
	view := fleetOf(zoneMembers{northA, equal(5, 200)}, zoneMembers{northB, equal(5, 200)}, zoneMembers{southC, equal(5, 200)})
	roles := AssignRoles(view, 60, RoleOptions{})
	assert.Len(t, roles.RoutersFor(Location{}, view.Members()[0].Node, always), 6)
	named := roles.RoutersFor(Location{Region: "north"}, view.Members()[0].Node, always)
	assert.Len(t, named, 4, "callers of an unknown zone use the groups of their region")
}
