package affinity

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

func routersOf(zones ...fleet.ZoneName) []membership.Member {
	var members []membership.Member
	for index, zone := range zones {
		members = append(members, membership.Member{
			Node: fleet.NodeID(fmt.Sprintf("router-%d", index)), Address: fleet.Address(fmt.Sprintf("10.0.0.%d:1", index)),
			Zone: zone, State: membership.Alive,
		})
	}
	return members
}

func TestAgentsAgreeOnOneRouterForAPool(t *testing.T) {
	members := routersOf("a", "b", "c")
	var first []membership.Member
	for prompt := range 100 {
		for _, zone := range []fleet.ZoneName{"a", "b", "c"} {
			table := New(Options{Random: rand.New(rand.NewPCG(uint64(prompt), 1))})
			choice := table.Choose(0, []fleet.BlockHash{fleet.BlockHash(prompt + 1)}, 0)
			view := Routers{Location: membership.Location{Zone: zone}, Members: members}
			order := view.Order(choice, "pool")
			if first == nil {
				first = order
			}
			require.Equal(t, first, order)
			require.Equal(t, 1, view.Serving(choice, "pool"))
		}
	}
	assert.ElementsMatch(t, members, first, "the others are standbys")
}

func TestPoolsHaveDifferentRouters(t *testing.T) {
	members := routersOf("a", "a", "a")
	count := make(map[fleet.NodeID]int)
	for pool := range 300 {
		order := Routers{Members: members}.Order(New(Options{Random: rand.New(rand.NewPCG(1, 1))}).Choose(0, nil, 1),
			fleet.PoolName(fmt.Sprint("pool-", pool)))
		count[order[0].Node]++
	}
	for _, member := range members {
		assert.Greater(t, count[member.Node], 60)
	}
}

func TestPoolFailsOverAndBack(t *testing.T) {
	members := routersOf("a", "b", "c")
	choice := New(Options{Random: rand.New(rand.NewPCG(1, 1))}).Choose(0, nil, 1)
	before := Routers{Members: members}.Order(choice, "pool")
	var remaining, restarted []membership.Member
	for _, member := range members {
		if member.Node != before[0].Node {
			remaining = append(remaining, member)
			restarted = append(restarted, member)
			continue
		}
		member.Node += "-restarted"
		restarted = append(restarted, member)
	}
	assert.Equal(t, before[1:], Routers{Members: remaining}.Order(choice, "pool"))
	after := Routers{Members: restarted}.Order(choice, "pool")
	assert.Equal(t, before[0].Address, after[0].Address, "a new run at the same address keeps its rank")
}

func TestRoutersInTheSameRegionComeFirst(t *testing.T) {
	members := routersOf("a", "a", "b", "b")
	members[0].Region, members[1].Region = "north", "north"
	members[2].Region, members[3].Region = "south", "south"
	choice := New(Options{Random: rand.New(rand.NewPCG(1, 1))}).Choose(0, nil, 1)
	for pool := range 20 {
		near := membership.Location{Region: "south", Zone: "a"}
		order := Routers{Location: near, Members: members}.Order(choice, fleet.PoolName(fmt.Sprint(pool)))
		assert.Equal(t, fleet.RegionName("south"), order[0].Region)
		assert.Equal(t, fleet.RegionName("south"), order[1].Region)
	}
}
