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

// TestNodeTellsOfCachesThatItFollows asks a node about the caches of its zone.
func TestNodeTellsOfCachesThatItFollows(t *testing.T) {
	g := idleGateway(t)
	ask := func(question cachefeed.Question) (cachefeed.News, error) {
		response, err := g.answerCaches(t.Context(), encodeQuestion(question, 20*time.Millisecond))
		return decodeNews(response), err
	}
	_, err := ask(cachefeed.Question{})
	require.ErrorIs(t, err, errFollowsNone, "it follows none")
	assert.True(t, g.cacheLog.wanted(g.now()), "but does from now on")

	g.cacheLog.follow(g.now(), 2)
	g.cacheLog.observe("one", true, []cachefeed.Change{{Part: 1, Held: true}, {Part: 2, Held: true}})
	_, err = ask(cachefeed.Question{})
	require.ErrorIs(t, err, errFollowsNone, "what it told of two caches would have the other forgotten")
	g.cacheLog.observe("two", true, nil)
	news, err := ask(cachefeed.Question{})
	require.NoError(t, err)
	assert.True(t, news.Whole)
	assert.Len(t, news.Updates, 2)

	quiet, err := ask(cachefeed.Question{After: news.Next})
	require.NoError(t, err)
	assert.Equal(t, cachefeed.News{Next: news.Next}, quiet)
	go func() {
		time.Sleep(5 * time.Millisecond)
		g.cacheLog.observe("one", false, []cachefeed.Change{{Part: 1}})
	}()
	response, err := g.answerCaches(t.Context(), encodeQuestion(cachefeed.Question{After: news.Next}, time.Minute))
	require.NoError(t, err)
	assert.Equal(t, []cachefeed.Update{{Cache: "one", Held: []fleet.BlockHash{}, Dropped: []fleet.BlockHash{1}}}, decodeNews(response).Updates)
	news, err = ask(cachefeed.Question{After: decodeNews(response).Next, Missing: []fleet.EngineID{"one", "three"}})
	require.NoError(t, err)
	assert.Equal(t, []cachefeed.Update{{Cache: "one", Anew: true, Held: []fleet.BlockHash{2}, Dropped: []fleet.BlockHash{}}}, news.Updates)
}

// TestCachesOfOtherZonesAreAskedAbout has a node that serves follow the caches of its own
// zone by itself, and those of another zone only while nobody there answers.
func TestCachesOfOtherZonesAreAskedAbout(t *testing.T) {
	g := idleGateway(t)
	compiled, err := routes.Compile(routes.Document{Version: 1, Services: []routes.Service{{Name: "pool", MaxFollowers: 4}}})
	require.NoError(t, err)
	require.True(t, g.holder.InstallIfNewer(0, 1, compiled))
	for engine, zone := range map[fleet.EngineID]fleet.ZoneName{"near": "z0", "far": "z1", "somewhere": ""} {
		g.workers.Observe(1, backends.Worker{
			ID: engine, Service: "pool", Address: "127.0.0.1:9", Zone: zone,
			Versions: map[fleet.ModelName]backends.WeightsVersion{"model": 1},
		})
	}
	g.settled.Store(true)
	near := cacheRun{run: fleet.EngineRun{Engine: "near"}, address: "127.0.0.1:9", zone: "z0"}
	far := cacheRun{run: fleet.EngineRun{Engine: "far"}, address: "127.0.0.1:9", zone: "z1"}
	somewhere := cacheRun{run: fleet.EngineRun{Engine: "somewhere"}, address: "127.0.0.1:9"}

	present, asked := g.caches()
	assert.Equal(t, map[cacheRun]bool{near: true, somewhere: true}, present)
	assert.Equal(t, map[fleet.ZoneName]map[fleet.EngineID]bool{"z1": {"far": true}}, asked)

	g.zoneFeeds.feeds["z1"] = &zoneFeed{silent: true, mirror: newCacheLog(1)}
	present, asked = g.caches()
	assert.Equal(t, map[cacheRun]bool{near: true, far: true, somewhere: true}, present)
	assert.Empty(t, asked)

	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.serves())
	present, asked = g.caches()
	assert.Empty(t, present, "callers aren't sent here")
	assert.Empty(t, asked)
}

// TestIdleNodeFollowsItsZonesCachesWhileAsked has a zone without a node that serves.
func TestIdleNodeFollowsItsZonesCachesWhileAsked(t *testing.T) {
	g := idleGateway(t)
	compiled, err := routes.Compile(routes.Document{Version: 1, Services: []routes.Service{{Name: "pool"}}})
	require.NoError(t, err)
	require.True(t, g.holder.InstallIfNewer(0, 1, compiled))
	for engine, zone := range map[fleet.EngineID]fleet.ZoneName{"near": "z0", "far": "z1"} {
		g.workers.Observe(1, backends.Worker{
			ID: engine, Service: "pool", Address: "127.0.0.1:9", Zone: zone,
			Versions: map[fleet.ModelName]backends.WeightsVersion{"model": 1},
		})
	}
	g.settled.Store(true)
	// With four zones and six nodes that serve, no zone has serving nodes of its own by rule.
	all := []membership.Member{
		{Node: g.node, Zone: "z0", State: membership.Alive, Capacity: 200},
		{Node: "y", Zone: "z2", State: membership.Alive, Capacity: 200},
		{Node: "z", Zone: "z3", State: membership.Alive, Capacity: 200},
	}
	for _, node := range []fleet.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"} {
		all = append(all, membership.Member{Node: node, Zone: "z1", State: membership.Alive, Capacity: 800})
	}
	g.roles.Store(deriveRoles(g.node, "z0", membership.NewView(1, all[0], all), 0, false))
	require.False(t, g.serves())
	assert.Equal(t, []fleet.NodeID{g.node}, g.roles.Load().CacheSources("z0"))
	assert.Empty(t, present(g))
	_, err = g.answerCaches(t.Context(), &rpc.CachesRequest{})
	require.ErrorIs(t, err, errFollowsNone)
	near := cacheRun{run: fleet.EngineRun{Engine: "near"}, address: "127.0.0.1:9", zone: "z0"}
	following, asked := g.caches()
	assert.Equal(t, map[cacheRun]bool{near: true}, following)
	assert.Empty(t, asked)
	g.cacheLog.ask(g.now() - cachesWanted - time.Millisecond)
	assert.Empty(t, present(g))
}

// TestFarRegionIsAskedByOneNodeOfTheOwn has a zone of another region asked by one node, the
// others ask that one, and a node tells only what it has from the zone itself.
func TestFarRegionIsAskedByOneNodeOfTheOwn(t *testing.T) {
	g := idleGateway(t)
	settings := *g.settings()
	settings.Region, settings.Zones = "north", map[fleet.ZoneName]fleet.RegionName{"z0": "north", "z1": "north", "far": "south"}
	g.inForce.Store(&settings)
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
	assert.ElementsMatch(t, []fleet.NodeID{"a", "b", "c"}, g.cacheSources("z1"), "the own region is asked by all")
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
	_, err := g.answerCaches(t.Context(), ask)
	require.ErrorIs(t, err, errFollowsNone, "it knows nothing of that zone")
	feed := &zoneFeed{mirror: newCacheLog(5)}
	g.zoneFeeds.feeds["far"] = feed
	updates := []cachefeed.Update{{Cache: "engine", Anew: true, Held: []fleet.BlockHash{3}}, {Cache: "gone", Lost: true}}
	feed.mirror.takeTold(g.now(), updates, 1)
	_, err = g.answerCaches(t.Context(), ask)
	require.ErrorIs(t, err, errFollowsNone, "what another node has told may come from here")
	g.zoneFeeds.setSource(feed, false, true)
	response, err := g.answerCaches(t.Context(), ask)
	require.NoError(t, err)
	assert.Equal(t, []cachefeed.Update{{Cache: "engine", Anew: true, Held: []fleet.BlockHash{3}, Dropped: []fleet.BlockHash{}}}, decodeNews(response).Updates)
	assert.True(t, feed.mirror.wanted(g.now()))
	feed.mirror.restart(6)
	_, err = g.answerCaches(t.Context(), ask)
	require.ErrorIs(t, err, errFollowsNone, "it begins anew")
}
