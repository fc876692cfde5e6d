package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func members(count, regions int) []Member {
	network := newNetwork(nil, 1, regions)
	list := make([]Member, count)
	for i := range list {
		list[i] = network.member(i)
		list[i].State = Alive
	}
	return list
}

func TestOwnersMoveMinimally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := members(rapid.IntRange(4, 60).Draw(t, "members"), 2)
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		gone := rapid.IntRange(0, len(before)-1).Draw(t, "gone")
		after := slices.Delete(slices.Clone(before), gone, gone+1)
		for i := range 50 {
			engine := fleet.EngineID(fmt.Sprintf("engine-%d", i))
			kept := slices.DeleteFunc(Owners(engine, before, replicas), func(node fleet.NodeID) bool {
				return node == before[gone].Node
			})
			assert.Equal(t, kept, Owners(engine, after, replicas)[:len(kept)])
		}
	})
}

func TestOwnersAreEvenAndRoutable(t *testing.T) {
	list := members(20, 2)
	list[3].State = Dead
	list[4].State = Leaving
	counts := make(map[fleet.NodeID]int)
	const engines = 9000
	for i := range engines {
		for _, node := range Owners(fleet.EngineID(fmt.Sprintf("engine-%d", i)), list, 2) {
			counts[node]++
		}
	}
	require.Len(t, counts, 18)
	for node, count := range counts {
		assert.InDelta(t, 2*engines/18, count, 150, node)
	}
	assert.Len(t, Owners("engine-1", list, 0), 18)
}

func TestOwnersNearPrefersZoneThenRegion(t *testing.T) {
	list := members(8, 2)
	near := Location{Region: list[0].Region, Zone: list[0].Zone}
	owners := OwnersNear("engine-1", near, list, 8)
	distances := make([]int, len(owners))
	view := NewView(1, list[0], list)
	for i, node := range owners {
		member, found := view.Find(node)
		require.True(t, found)
		distances[i] = near.distance(member)
	}
	assert.Equal(t, []int{0, 0, 1, 1, 2, 2, 2, 2}, distances)
}

func TestRankPrefersLocalZoneByWeight(t *testing.T) {
	list := members(12, 3)
	const keys = 6000
	own, moved := 0, 0
	for key := range uint64(keys) {
		ranked := Rank(key, list[0].Zone, list)
		require.Len(t, ranked, 12)
		if ranked[0].Zone == list[0].Zone {
			own++
		}
		rest := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Node == list[5].Node })
		if ranked[0].Node != list[5].Node && Rank(key, list[0].Zone, rest)[0].Node != ranked[0].Node {
			moved++
		}
	}
	// Two routers of weight 2 among ten of weight 1 own 4/14 of the keys.
	assert.InDelta(t, keys*4/14, own, 150)
	assert.Zero(t, moved, "keys of the remaining routers moved")
}

// TestTopMembersAgreeWithTheirRank guards against nodes that look for a record elsewhere than others put
// it: the same members at any order of the list, and most of the same after one joins.
func TestTopMembersAgreeWithTheirRank(t *testing.T) {
	var members []Member
	for number := range 40 {
		members = append(members, Member{Node: fleet.NodeID(fmt.Sprint("n", number)), State: Alive})
	}
	for key := range uint64(200) {
		top := TopMembers(key, members, "n0", 4)
		require.Len(t, top, 4)
		ranked := Rank(key, "", members)
		ranked = slices.DeleteFunc(ranked, func(member Member) bool { return member.Node == "n0" })
		assert.Equal(t, ranked[:4], top)
	}
	assert.Len(t, TopMembers(1, members[:2], "n0", 4), 1)
	assert.Empty(t, TopMembers(1, members[:1], "n0", 4))
}

// BenchmarkTopMembers measures the choice of the holders of a record among 985 members.
func BenchmarkTopMembers(b *testing.B) {
	var members []Member
	for number := range 985 {
		members = append(members, Member{Node: fleet.NodeID(fmt.Sprint("n", number)), State: Alive})
	}
	key := uint64(0)
	for b.Loop() {
		_ = TopMembers(key, members, "n0", 2)
		key++
	}
}
