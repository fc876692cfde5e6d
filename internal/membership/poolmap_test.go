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

// sitesAt returns engines in every zone of the members, the same number for each pool.
func sitesAt(list []Member, pools, engines int) map[fleet.EngineID]EngineSite {
	sites := make(map[fleet.EngineID]EngineSite)
	for _, member := range list {
		location := Location{Region: member.Region, Zone: member.Zone}
		for pool := range pools {
			for number := range engines {
				id := fleet.EngineID(fmt.Sprintf("%s-%d-%d", location.Zone, pool, number))
				sites[id] = EngineSite{Pool: fleet.PoolName(fmt.Sprintf("pool-%02d", pool)), Location: location}
			}
		}
	}
	return sites
}

func mapOf(sites map[fleet.EngineID]EngineSite, list []Member, replicas int) *PoolMap {
	var engines []EngineSite
	for _, site := range sites {
		engines = append(engines, site)
	}
	return NewPoolMap(engines, list, replicas)
}

// TestEngineOwnersAreDistinctAndLocal guards against owners that are not routable, not distinct, or
// outside the engine's zone although the zone has enough routers, for fleets of any shape.
func TestEngineOwnersAreDistinctAndLocal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := members(rapid.IntRange(1, 24).Draw(t, "routers"), rapid.IntRange(1, 4).Draw(t, "zones"))
		replicas := rapid.IntRange(1, 3).Draw(t, "replicas")
		sites := sitesAt(list, rapid.IntRange(1, 5).Draw(t, "pools"), rapid.IntRange(1, 9).Draw(t, "engines"))
		dead := list[0]
		for i := range list {
			if rapid.Bool().Draw(t, "zone dies") && list[i].Zone == dead.Zone {
				list[i].State = Dead
			}
		}
		routable := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return !m.IsRoutable() })
		shared := mapOf(sites, list, replicas)
		for id, site := range sites {
			owners := shared.Owners(id, site)
			require.Len(t, owners, min(replicas, len(routable)))
			local := slices.DeleteFunc(slices.Clone(routable), func(m Member) bool { return site.Location.distance(m) != 0 })
			for position, owner := range owners {
				require.NotContains(t, owners[:position], owner)
				isLocal := slices.ContainsFunc(local, func(m Member) bool { return m.Node == owner })
				require.True(t, isLocal || len(local) < replicas, "%s has an owner outside its zone", id)
			}
		}
		ranked, serving := shared.Rank(7, "pool-00", Location{Zone: dead.Zone})
		require.ElementsMatch(t, routable, ranked)
		require.LessOrEqual(t, serving, len(routable))
	})
}

// TestPoolMapRanksOwnersOfThePoolFirst guards against agents asking routers that own no engines of
// the pool before those that do.
func TestPoolMapRanksOwnersOfThePoolFirst(t *testing.T) {
	list := members(24, 2)
	sites := sitesAt(list, 4, 30)
	shared := mapOf(sites, list, 1)
	owned := make(map[fleet.NodeID]int)
	for id, site := range sites {
		if site.Pool == "pool-02" {
			owned[shared.Owners(id, site)[0]]++
		}
	}
	require.LessOrEqual(t, len(owned), 8, "only a few routers must own a pool's engines")
	near := Location{Region: list[0].Region, Zone: list[0].Zone}
	first := make(map[fleet.NodeID]int)
	for key := range uint64(2000) {
		ranked, serving := shared.Rank(key, "pool-02", near)
		require.Len(t, ranked, len(list))
		for position, member := range ranked {
			local := member.Region == near.Region && owned[member.Node] > 0
			require.Equal(t, local, position < serving)
		}
		require.Positive(t, owned[ranked[0].Node])
		first[ranked[0].Node]++
	}
	assert.Greater(t, len(first), 1)
}

// TestRouterRestartKeepsEngineOwnership guards against a restarted router, which has a new node
// identifier at its old address, losing its engines.
func TestRouterRestartKeepsEngineOwnership(t *testing.T) {
	list := members(12, 3)
	sites := sitesAt(list, 3, 20)
	before := mapOf(sites, list, 2)
	restarted := slices.Clone(list)
	restarted[5].Node = "restarted"
	after := mapOf(sites, restarted, 2)
	renamed := func(nodes []fleet.NodeID) []fleet.NodeID {
		if position := slices.Index(nodes, list[5].Node); position >= 0 {
			nodes[position] = "restarted"
		}
		return nodes
	}
	for id, site := range sites {
		require.Equal(t, renamed(before.Owners(id, site)), after.Owners(id, site))
	}
}
