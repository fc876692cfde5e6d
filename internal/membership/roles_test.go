package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// mixedFleet returns large and small members in three zones.
func mixedFleet(large, small int) *View {
	var members []Member
	for number := range large + small {
		member := Member{
			Node: fleet.NodeID(fmt.Sprintf("node-%03d", number)), Zone: fleet.ZoneName(fmt.Sprint("z", number%3)),
			State: Alive, Capacity: 200,
		}
		if number < large {
			member.Capacity = 800
		}
		members = append(members, member)
	}
	return NewView(1, members[0], members)
}

func TestLargestMembersServeFirst(t *testing.T) {
	view := mixedFleet(6, 73)
	roles := AssignRoles(view, 1650, RoleOptions{})
	require.Len(t, roles.Serving, 6)
	for _, member := range roles.Serving {
		assert.EqualValues(t, 800, member.Capacity)
		assert.True(t, roles.IsServing(member.Node))
	}
	assert.Len(t, AssignRoles(view, 0, RoleOptions{}).Serving, 6, "the minimum serves without demand")
	more := AssignRoles(view, 1750, RoleOptions{})
	assert.Len(t, more.Serving, 9, "one more small member in each zone")
	for _, zone := range []fleet.ZoneName{"z0", "z1", "z2"} {
		shares := expectedShares(t, more, Location{Zone: zone})
		servingCapacity := 0.0
		for node, share := range shares {
			member, _ := view.Find(node)
			assert.Equal(t, zone, member.Zone)
			assert.InDelta(t, float64(member.Capacity)/1800, share, 0.07, "shares follow capacity as closely as two routers per response allow")
			servingCapacity += float64(member.Capacity)
		}
		assert.EqualValues(t, 1800, servingCapacity)
		assert.GreaterOrEqual(t, servingCapacity*DefaultUtilization/DefaultRequestCost, 1750.0/3)
	}
	assert.Len(t, AssignRoles(view, 1e6, RoleOptions{}).Serving, 79)
	assert.Len(t, AssignRoles(mixedFleet(0, 5), 1e6, RoleOptions{}).Serving, 5)
}

func TestCandidatesAndReadersAreNonServing(t *testing.T) {
	roles := AssignRoles(mixedFleet(6, 73), 300, RoleOptions{})
	candidates := roles.Candidates("duty")
	require.Len(t, candidates, DefaultCandidates)
	for _, node := range candidates {
		assert.False(t, roles.IsServing(node))
	}
	order := roles.ReaderOrder("z1", "self")
	require.Len(t, order, 9)
	readers := 0
	for _, node := range order {
		assert.False(t, roles.IsServing(node))
	}
	for number := range 79 {
		if roles.IsReader(fleet.NodeID(fmt.Sprintf("node-%03d", number))) {
			readers++
		}
	}
	assert.Equal(t, 3, readers, "one reader per zone")
	assert.True(t, roles.IsReader(order[0]))
	assert.ElementsMatch(t, order, roles.ReaderOrder("z2", "self"))
	assert.NotEqual(t, order[0], roles.ReaderOrder("z2", "self")[0], "the own zone's reader must come first")
}

func TestSmallFleetUsesAllMembers(t *testing.T) {
	roles := AssignRoles(mixedFleet(0, 7), 100, RoleOptions{})
	assert.True(t, roles.SmallFleet)
	assert.True(t, roles.IsReader("node-000"))
	assert.Len(t, roles.Serving, 7)
	assert.Len(t, roles.Candidates("duty"), DefaultCandidates)
}

func TestDemandRisesImmediatelyAndFallsDelayed(t *testing.T) {
	var demand DemandTracker
	assert.Equal(t, 125.0, demand.Observe(0, 100))
	assert.Equal(t, 125.0, demand.Observe(time.Second, 120))
	assert.Equal(t, 250.0, demand.Observe(2*time.Second, 200))
	assert.Equal(t, 250.0, demand.Observe(3*time.Second, 100))
	assert.Equal(t, 250.0, demand.Observe(12*time.Second, 100))
	assert.Equal(t, 125.0, demand.Observe(13*time.Second, 100))
}

// TestDifferenceOfTwoViews guards against missed members that joined, left or changed state between
// two views.
func TestDifferenceOfTwoViews(t *testing.T) {
	named := func(state State, nodes ...fleet.NodeID) []Member {
		var members []Member
		for _, node := range nodes {
			members = append(members, Member{Node: node, State: state})
		}
		return members
	}
	before := NewView(1, Member{}, named(Alive, "a", "b", "c", "e"))
	after := NewView(2, Member{}, append(named(Alive, "b", "d", "e", "f"), named(Suspect, "c")...))
	assert.Equal(t, append(append(append(named(Dead, "a"), named(Suspect, "c")...), named(Alive, "d")...), named(Alive, "f")...), Difference(before, after))
	assert.Empty(t, Difference(before, before))
}

// TestCandidatesAreLargestMembers guards against duties going to small members when larger ones do
// not serve.
func TestCandidatesAreLargestMembers(t *testing.T) {
	for _, large := range []int{12, 40} {
		roles := AssignRoles(mixedFleet(large, 300), 100, RoleOptions{})
		candidates := roles.Candidates("duty")
		require.Len(t, candidates, DefaultCandidates)
		for _, candidate := range candidates {
			assert.False(t, roles.IsServing(candidate))
			found := 0
			for _, member := range roles.routable {
				if member.Node == candidate {
					found = int(member.Capacity)
				}
			}
			assert.Greater(t, found, 200)
		}
	}
}

// TestFallbackReadersAreSpread guards against all nodes of a zone asking the same fallback when
// their reader fails, and against the order of a node changing between calls.
func TestFallbackReadersAreSpread(t *testing.T) {
	var members []Member
	for number := range 500 {
		members = append(members, Member{
			Node: fleet.NodeID(fmt.Sprintf("node-%03d", number)), Zone: fleet.ZoneName(fmt.Sprint("z", number%5)),
			State: Alive, Capacity: 200,
		})
	}
	roles := AssignRoles(NewView(1, members[0], members), 10, RoleOptions{})
	first := roles.ReaderOrder("z1", "node-001")[0]
	next := make(map[fleet.NodeID]int)
	for number := 1; number < 500; number += 5 {
		self := members[number].Node
		order := roles.ReaderOrder("z1", self)
		require.Equal(t, first, order[0], "the zone's own reader must come first")
		require.Equal(t, order, roles.ReaderOrder("z1", self))
		next[order[1]]++
	}
	assert.Len(t, next, 4)
	for _, count := range next {
		assert.Less(t, count, 60, "nodes of 100 with the same fallback")
	}
}
