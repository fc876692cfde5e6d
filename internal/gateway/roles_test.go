package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/relay"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// newTestGateway returns a gateway that isn't started and has no dependencies.
func newTestGateway(t testing.TB) *Gateway { return newTestGatewayWith(t, testSettings()) }

func testSettings() Settings {
	settings := Settings{
		Node: "node-000", Zone: "z0", FrontAddress: "127.0.0.1:1", DirectoryAddress: "127.0.0.1:2",
		ReadyAddress: "127.0.0.1:3", PeerAddress: "127.0.0.1:4", StoreAddress: "127.0.0.1:5",
	}
	settings.ApplyDefaults()
	return settings
}

func newTestGatewayWith(t testing.TB, settings Settings) *Gateway {
	g, err := New(settings, Dependencies{}, zerolog.Nop(), prometheus.NewRegistry())
	require.NoError(t, err)
	return g
}

// largeFleet returns a view of a fleet whose small members aren't serving.
func largeFleet(members int) *membership.View {
	all := make([]membership.Member, members)
	for number := range all {
		all[number] = membership.Member{
			Node: fleet.NodeID(fmt.Sprintf("node-%03d", number)), Zone: fleet.ZoneName(fmt.Sprint("z", number%5)),
			Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:1", number/250, number%250)),
			State:   membership.Alive, Capacity: 200,
		}
		if number >= members-membership.DefaultMinServing {
			all[number].Capacity = 800
		}
	}
	return membership.NewView(1, all[0], all)
}

func TestRolesAreDerivedOnlyWhenMembersOrDemandChange(t *testing.T) {
	g := newTestGateway(t)
	derived := g.roles.Load()
	require.NotNil(t, derived)
	g.updateRoles(time.Second)
	assert.Same(t, derived, g.roles.Load(), "neither members nor demand changed")
	for range 1000 {
		g.demand.countRequest()
	}
	g.demand.measure(2 * time.Second)
	g.demand.setSharing(true)
	g.updateRoles(2 * time.Second)
	assert.NotSame(t, derived, g.roles.Load(), "demand changed")
}

func TestLoadsAreSharedAmongServingNodesAndCandidates(t *testing.T) {
	view := largeFleet(195)
	all := membership.AssignRoles(view, 100, membership.RoleOptions{})
	candidates := all.Candidates(rolloutLease)
	sharingCount := 0
	for _, member := range view.Members() {
		roles := deriveRoles(member.Node, member.Zone, view, 100, false)
		if !roles.sharesLoads {
			assert.Empty(t, roles.loadPeers)
			continue
		}
		sharingCount++
		assert.Len(t, roles.loadPeers, membership.DefaultMinServing+len(candidates)-1)
		for _, peer := range roles.loadPeers {
			assert.NotEqual(t, member.Node, peer.Node)
		}
	}
	assert.Equal(t, membership.DefaultMinServing+len(candidates), sharingCount)
}

func TestIdleNodeChecksRolloutLessOften(t *testing.T) {
	g := newTestGateway(t)
	assert.Equal(t, rolloutInterval, g.rolloutCheckInterval(), "a single node serves")
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.roles.Load().sharesLoads)
	assert.Equal(t, idleRolloutInterval, g.rolloutCheckInterval())
	g.inFlight.Store(1)
	assert.Equal(t, rolloutInterval, g.rolloutCheckInterval())
	assert.Less(t, idleRolloutInterval+staleVersionMargin, enforceReserve)
}

// TestRequestAtIdleNodeUsesDueVersions guards against placing a request on an outdated engine
// between two checks of the rollout.
func TestRequestAtIdleNodeUsesDueVersions(t *testing.T) {
	g := newTestGateway(t)
	g.workers.Observe(1, backends.Worker{
		ID: "engine", Service: "pool", Address: "127.0.0.1:9", Slots: 1,
		Versions: map[fleet.ModelName]backends.ModelVersion{"model": 1},
	})
	require.True(t, g.rollout.setDesired(0, true, DesiredVersion{Model: "model", Version: 2}))
	request := &backends.Request{Service: "pool", Engine: &backends.EngineRequest{Model: "model", PromptTokens: 10}}
	g.refreshDueVersions(rolloutInterval)
	placement, reason := g.workers.Choose(rolloutInterval, request)
	require.NotNil(t, placement, reason)
	placement.End(rolloutInterval, backends.Cancelled)
	due := g.settings().UpdateModelsWithin
	g.refreshDueVersions(due)
	_, reason = g.workers.Choose(due, request)
	assert.Equal(t, backends.ReasonVersion, reason.Reason)
}

func TestOnlyRowsCountAsChanges(t *testing.T) {
	assert.False(t, hasChangedRows(&rpc.WatchResponse{Updates: []*rpc.TableUpdate{{Table: "workers"}, {Table: "operator"}}}))
	assert.True(t, hasChangedRows(&rpc.WatchResponse{Updates: []*rpc.TableUpdate{{Rows: []*rpc.TableRow{{Key: "a"}}}}}))
	assert.True(t, hasChangedRows(&rpc.WatchResponse{Updates: []*rpc.TableUpdate{{CompressedRows: []byte{1}}}}))
}

// TestWatchBacksOffAfterFailures guards against a large fleet flooding its readers while no gateway
// can reach the store.
func TestWatchBacksOffAfterFailures(t *testing.T) {
	g := newTestGateway(t)
	failures := 0
	for range 20 {
		failures = watchFailed.countFailures(failures)
	}
	assert.Equal(t, watchRetry, g.watchPause(watchFailed, 1))
	assert.Equal(t, watchRetryMax, g.watchPause(watchFailed, failures))
	assert.Zero(t, watchUnchanged.countFailures(failures))
	assert.Zero(t, g.watchPause(watchChanged, 0), "node is serving")
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	assert.Equal(t, watchBatchDelay, g.watchPause(watchChanged, 0))
	assert.Zero(t, g.watchPause(watchUnchanged, 0))
}

// TestNodeWithoutSettledRoleFollowsFewCaches guards against a starting gateway that knows no other
// member following all caches and returning itself from the directory.
func TestNodeWithoutSettledRoleFollowsFewCaches(t *testing.T) {
	const engines = 2*cachesPerRequest + 1
	g := newTestGateway(t)
	compiled, err := routes.Compile(routes.Document{Version: 1, Services: []routes.Service{{Name: "pool"}}})
	require.NoError(t, err)
	require.True(t, g.configuration.InstallIfNewer(0, 1, compiled))
	for number := range engines {
		g.workers.Observe(1, backends.Worker{
			ID: fleet.EngineID(fmt.Sprint("engine-", number)), Service: "pool", Address: "127.0.0.1:9",
			Versions: map[fleet.ModelName]backends.ModelVersion{"model": 1},
		})
	}
	g.workersKnown.Store(true)
	g.roleSettled.Store(false)
	assert.Empty(t, followedCaches(g))
	assert.Empty(t, g.frontAddresses(ResolutionQuery{}))
	g.requestCount.Store(1)
	assert.Empty(t, followedCaches(g))
	g.requestCount.Store(2)
	assert.Len(t, followedCaches(g), engines, "node receives requests")
	g.requestCount.Store(0)
	g.roleSettled.Store(true)
	assert.Len(t, followedCaches(g), engines)
	assert.Len(t, g.frontAddresses(ResolutionQuery{}), 1)
}

// TestNodeWithTablesStopsReadingStore guards against a fleet without a configuration reading the
// store from every gateway.
func TestNodeWithTablesStopsReadingStore(t *testing.T) {
	g := newTestGateway(t)
	g.sources = newSourceSelector(0, relay.Options{Self: g.node, Random: rand.New(rand.NewPCG(1, 1))})
	g.sources.setRole(0, sourceRole{order: []fleet.NodeID{"other"}})
	reading, _ := g.sources.readsStore()
	require.True(t, reading)
	g.workersKnown.Store(true)
	g.freshness.Prove(0)
	g.updateReadiness()
	reading, _ = g.sources.readsStore()
	assert.False(t, reading)
	assert.False(t, g.isReady())
}

// BenchmarkDeriveRoles measures deriving the roles by the number of members.
func BenchmarkDeriveRoles(b *testing.B) {
	for _, members := range []int{8, 79, 195, 680} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			view := largeFleet(members)
			for b.Loop() {
				deriveRoles("node-000", "z0", view, 100, false)
			}
		})
	}
}

// TestStartingNodePlansWithoutOrigins guards against planning by the first reported rates, which
// come from a single location.
func TestStartingNodePlansWithoutOrigins(t *testing.T) {
	g := newTestGateway(t)
	g.demand.setSharing(true)
	first := func(now time.Duration) membership.RoleOptions {
		g.demand.setPeerRate(now, g.node, 100)
		return g.roleOptions(now, 100, g.roles.Load())
	}
	for now := time.Duration(0); now < planningDelay; now += rolesInterval {
		options := first(now)
		require.Empty(t, options.DemandByLocation)
		require.Empty(t, options.MinServingByLocation)
	}
	assert.NotEmpty(t, first(planningDelay).DemandByLocation)
}

// followedCaches returns the caches that a gateway follows itself.
func followedCaches(g *Gateway) map[followedCache]bool {
	caches, _ := g.selectCaches()
	return caches
}
