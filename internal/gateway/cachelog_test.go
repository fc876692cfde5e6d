package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// A gateway must answer requests about the caches that it follows, but not with an incomplete
// state.
func TestCachesRequestIsServedFromFollowedCaches(t *testing.T) {
	g := newTestGateway(t)
	ask := func(query cachefeed.Query) (cachefeed.Delta, error) {
		response, err := g.handleCaches(t.Context(), encodeCachesRequest(query, 20*time.Millisecond))
		return decodeCachesResponse(response), err
	}
	_, err := ask(cachefeed.Query{})
	require.ErrorIs(t, err, errNoCachesFollowed, "no caches followed")
	assert.True(t, g.cacheLog.isWanted(g.now()), "wanted after the first request")

	g.cacheLog.setFollowing(g.now(), 2)
	g.cacheLog.observe("one", true, []cachefeed.Change{{Block: 1, Stored: true}, {Block: 2, Stored: true}})
	_, err = ask(cachefeed.Query{})
	require.ErrorIs(t, err, errNoCachesFollowed, "incomplete state must not be served")
	g.cacheLog.observe("two", true, nil)
	delta, err := ask(cachefeed.Query{})
	require.NoError(t, err)
	assert.True(t, delta.Complete)
	assert.Len(t, delta.Updates, 2)

	unchanged, err := ask(cachefeed.Query{After: delta.Next})
	require.NoError(t, err)
	assert.Equal(t, cachefeed.Delta{Next: delta.Next}, unchanged)
	go func() {
		time.Sleep(5 * time.Millisecond)
		g.cacheLog.observe("one", false, []cachefeed.Change{{Block: 1}})
	}()
	response, err := g.handleCaches(t.Context(), encodeCachesRequest(cachefeed.Query{After: delta.Next}, time.Minute))
	require.NoError(t, err)
	assert.Equal(t, []cachefeed.Update{{Cache: "one", Stored: []fleet.BlockHash{}, Removed: []fleet.BlockHash{1}}}, decodeCachesResponse(response).Updates)
	delta, err = ask(cachefeed.Query{After: decodeCachesResponse(response).Next, Missing: []fleet.EngineID{"one", "three"}})
	require.NoError(t, err)
	assert.Equal(t, []cachefeed.Update{{Cache: "one", Reset: true, Stored: []fleet.BlockHash{2}, Removed: []fleet.BlockHash{}}}, delta.Updates)
}

// A serving gateway must follow another zone's caches directly only while no gateway there answers.
func TestOtherZonesAreFollowedThroughPeers(t *testing.T) {
	g := newTestGateway(t)
	compiled, err := routes.Compile(routes.Document{Version: 1, Services: []routes.Service{{Name: "pool", MaxFollowers: 4}}})
	require.NoError(t, err)
	require.True(t, g.configuration.InstallIfNewer(0, 1, compiled))
	for engine, zone := range map[fleet.EngineID]fleet.ZoneName{"near": "z0", "far": "z1", "somewhere": ""} {
		g.workers.Observe(1, backends.Worker{
			ID: engine, Service: "pool", Address: "127.0.0.1:9", Zone: zone,
			Versions: map[fleet.ModelName]backends.ModelVersion{"model": 1},
		})
	}
	g.roleSettled.Store(true)
	near := followedCache{run: fleet.EngineRun{Engine: "near"}, address: "127.0.0.1:9", zone: "z0"}
	far := followedCache{run: fleet.EngineRun{Engine: "far"}, address: "127.0.0.1:9", zone: "z1"}
	somewhere := followedCache{run: fleet.EngineRun{Engine: "somewhere"}, address: "127.0.0.1:9"}

	direct, requested := g.selectCaches()
	assert.Equal(t, map[followedCache]bool{near: true, somewhere: true}, direct)
	assert.Equal(t, map[fleet.ZoneName]map[fleet.EngineID]bool{"z1": {"far": true}}, requested)

	g.zoneFeeds.feeds["z1"] = &zoneFeed{unavailable: true, mirror: newCacheLog(1)}
	direct, requested = g.selectCaches()
	assert.Equal(t, map[followedCache]bool{near: true, far: true, somewhere: true}, direct)
	assert.Empty(t, requested)

	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.isServing())
	direct, requested = g.selectCaches()
	assert.Empty(t, direct, "gateway doesn't serve")
	assert.Empty(t, requested)
}

// A gateway that doesn't serve must follow its zone's caches while others request them.
func TestIdleNodeFollowsCachesOnDemand(t *testing.T) {
	g := newTestGateway(t)
	compiled, err := routes.Compile(routes.Document{Version: 1, Services: []routes.Service{{Name: "pool"}}})
	require.NoError(t, err)
	require.True(t, g.configuration.InstallIfNewer(0, 1, compiled))
	for engine, zone := range map[fleet.EngineID]fleet.ZoneName{"near": "z0", "far": "z1"} {
		g.workers.Observe(1, backends.Worker{
			ID: engine, Service: "pool", Address: "127.0.0.1:9", Zone: zone,
			Versions: map[fleet.ModelName]backends.ModelVersion{"model": 1},
		})
	}
	g.roleSettled.Store(true)
	// With four zones and six serving gateways, no zone is guaranteed a serving one.
	all := []membership.Member{
		{Node: g.node, Zone: "z0", State: membership.Alive, Capacity: 200},
		{Node: "y", Zone: "z2", State: membership.Alive, Capacity: 200},
		{Node: "z", Zone: "z3", State: membership.Alive, Capacity: 200},
	}
	for _, node := range []fleet.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		all = append(all, membership.Member{Node: node, Zone: "z1", State: membership.Alive, Capacity: 800})
	}
	g.roles.Store(deriveRoles(g.node, "z0", membership.NewView(1, all[0], all), 0, false))
	require.False(t, g.isServing())
	assert.Equal(t, []fleet.NodeID{g.node}, g.roles.Load().CacheSources("z0"))
	assert.Empty(t, followedCaches(g))
	_, err = g.handleCaches(t.Context(), &rpc.CachesRequest{})
	require.ErrorIs(t, err, errNoCachesFollowed)
	near := followedCache{run: fleet.EngineRun{Engine: "near"}, address: "127.0.0.1:9", zone: "z0"}
	direct, requested := g.selectCaches()
	assert.Equal(t, map[followedCache]bool{near: true}, direct)
	assert.Empty(t, requested)
	g.cacheLog.recordRequest(g.now() - cacheInterestTimeout - time.Millisecond)
	assert.Empty(t, followedCaches(g))
}

// A zone of another region must be requested by one gateway of this region, and only state received
// from the zone itself may be passed on.
func TestRemoteRegionIsFollowedByOneNode(t *testing.T) {
	g := newTestGateway(t)
	settings := *g.settings()
	settings.Region, settings.Zones = "north", map[fleet.ZoneName]fleet.RegionName{"z0": "north", "z1": "north", "far": "south"}
	g.currentSettings.Store(&settings)
	all := []membership.Member{{Node: g.node, Zone: "z0", Region: "north", State: membership.Alive}}
	for _, node := range []fleet.NodeID{"a", "b", "c"} {
		all = append(all, membership.Member{Node: node, Zone: "z1", Region: "north", State: membership.Alive})
	}
	for _, node := range []fleet.NodeID{"x", "y"} {
		all = append(all, membership.Member{Node: node, Zone: "far", Region: "south", State: membership.Alive})
	}
	view := membership.NewView(1, all[0], all)
	g.roles.Store(deriveRoles(g.node, "z0", view, 0, false))
	mirrors := g.roles.Load().CacheMirrors("far", "north")
	require.Len(t, mirrors, 2)
	far := g.roles.Load().CacheSources("far")
	require.ElementsMatch(t, []fleet.NodeID{"x", "y"}, far)
	assert.ElementsMatch(t, []fleet.NodeID{"a", "b", "c"}, g.cacheSources("z1"), "zone of the same region")
	node := g.node
	for _, self := range []fleet.NodeID{node, "a", "b", "c"} {
		g.node = self
		want := slices.Concat(mirrors, far)
		if own := slices.Index(mirrors, self); own >= 0 {
			want = slices.Concat(mirrors[:own], far)
		}
		assert.Equal(t, want, g.cacheSources("far"), self)
	}
	g.node = node

	ask := &rpc.CachesRequest{Zone: "far"}
	_, err := g.handleCaches(t.Context(), ask)
	require.ErrorIs(t, err, errNoCachesFollowed, "no state of that zone")
	feed := &zoneFeed{mirror: newCacheLog(5)}
	g.zoneFeeds.feeds["far"] = feed
	updates := []cachefeed.Update{{Cache: "engine", Reset: true, Stored: []fleet.BlockHash{3}}, {Cache: "gone", Lost: true}}
	feed.mirror.applyUpdates(g.now(), updates, 1)
	_, err = g.handleCaches(t.Context(), ask)
	require.ErrorIs(t, err, errNoCachesFollowed, "state received through another gateway")
	g.zoneFeeds.setSource(feed, false, true)
	response, err := g.handleCaches(t.Context(), ask)
	require.NoError(t, err)
	assert.Equal(t, []cachefeed.Update{{Cache: "engine", Reset: true, Stored: []fleet.BlockHash{3}, Removed: []fleet.BlockHash{}}}, decodeCachesResponse(response).Updates)
	assert.True(t, feed.mirror.isWanted(g.now()))
	feed.mirror.reset(6)
	_, err = g.handleCaches(t.Context(), ask)
	require.ErrorIs(t, err, errNoCachesFollowed, "log was reset")
}
