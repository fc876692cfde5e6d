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

// idleGateway returns a gateway that isn't started and has nothing outside.
func idleGateway(t testing.TB) *Gateway {
	settings := Settings{
		Node: "node-000", Zone: "z0", FrontAddress: "127.0.0.1:1", DirectoryAddress: "127.0.0.1:2",
		ReadyAddress: "127.0.0.1:3", PeerAddress: "127.0.0.1:4", StoreAddress: "127.0.0.1:5",
	}
	settings.ApplyDefaults()
	g, err := New(settings, Outside{}, zerolog.Nop(), prometheus.NewRegistry())
	require.NoError(t, err)
	return g
}

// largeFleet returns a view of a fleet in which small members are far from serving.
func largeFleet(members int) *membership.View {
	all := make([]membership.Member, members)
	for number := range all {
		all[number] = membership.Member{
			Node: fleet.NodeID(fmt.Sprintf("node-%03d", number)), Zone: fleet.ZoneName(fmt.Sprint("z", number%5)),
			State: membership.Alive, Capacity: 200,
		}
		if number >= members-membership.DefaultMinServing {
			all[number].Capacity = 800
		}
	}
	return membership.NewView(1, all[0], all)
}

func TestRolesAreDerivedOnlyWhenMembersOrDemandChange(t *testing.T) {
	g := idleGateway(t)
	derived := g.roles.Load()
	require.NotNil(t, derived)
	g.assign(time.Second)
	assert.Same(t, derived, g.roles.Load(), "nothing has changed")
	for range 1000 {
		g.demand.note()
	}
	g.demand.measure(2 * time.Second)
	g.demand.setSharing(true)
	g.assign(2 * time.Second)
	assert.NotSame(t, derived, g.roles.Load(), "the demand has changed")
}

func TestLoadsAreSharedAmongServingNodesAndCandidates(t *testing.T) {
	view := largeFleet(195)
	all := membership.Assign(view, 100, membership.RoleOptions{})
	candidates := all.Candidates(rolloutLease)
	sharing := 0
	for _, member := range view.Members() {
		roles := deriveRoles(member.Node, member.Zone, view, 100, false)
		if !roles.sharesLoads {
			assert.Empty(t, roles.loadPeers)
			continue
		}
		sharing++
		assert.Len(t, roles.loadPeers, membership.DefaultMinServing+len(candidates)-1)
		for _, peer := range roles.loadPeers {
			assert.NotEqual(t, member.Node, peer.Node)
		}
	}
	assert.Equal(t, membership.DefaultMinServing+len(candidates), sharing)
}

func TestNodeAtRestLooksSeldomAtTheRollout(t *testing.T) {
	g := idleGateway(t)
	assert.Equal(t, rolloutInterval, g.rolloutPause(), "alone it serves")
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.roles.Load().sharesLoads)
	assert.Equal(t, rolloutRest, g.rolloutPause())
	g.inFlight.Store(1)
	assert.Equal(t, rolloutInterval, g.rolloutPause())
	assert.Less(t, rolloutRest+beginReserve, requireReserve)
}

// TestRequestAtRestIsPlacedByTheVersionsThatAreDue places a request between two
// looks at the roll-out.
func TestRequestAtRestIsPlacedByTheVersionsThatAreDue(t *testing.T) {
	g := idleGateway(t)
	g.workers.Observe(1, backends.Worker{
		ID: "engine", Service: "pool", Address: "127.0.0.1:9", Slots: 1,
		Versions: map[fleet.ModelName]backends.WeightsVersion{"model": 1},
	})
	require.True(t, g.weights.name(0, true, NamedWeights{Model: "model", Version: 2}))
	request := &backends.Request{Service: "pool", Engine: &backends.EngineRequest{Model: "model", PromptTokens: 10}}
	g.requireDueSoon(rolloutInterval)
	placement, reason := g.workers.Choose(rolloutInterval, request)
	require.NotNil(t, placement, reason)
	placement.End(rolloutInterval, backends.Cancelled)
	due := g.settings().WeightsWithin
	g.requireDueSoon(due)
	_, reason = g.workers.Choose(due, request)
	assert.Equal(t, backends.ReasonVersion, reason.Reason)
}

func TestOnlyChangedRowsAreNews(t *testing.T) {
	assert.False(t, news(&rpc.WatchResponse{Updates: []*rpc.TableUpdate{{Table: "workers"}, {Table: "operator"}}}))
	assert.True(t, news(&rpc.WatchResponse{Updates: []*rpc.TableUpdate{{Rows: []*rpc.TableRow{{Key: "a"}}}}}))
	assert.True(t, news(&rpc.WatchResponse{Updates: []*rpc.TableUpdate{{CompressedRows: []byte{1}}}}))
}

// TestNodeAsksSeldomerWhileNobodyKnowsMore bounds what a large fleet asks its readers
// while the store is out of everybody's reach.
func TestNodeAsksSeldomerWhileNobodyKnowsMore(t *testing.T) {
	g := idleGateway(t)
	useless := 0
	for range 20 {
		useless = watchUseless.countUseless(useless)
	}
	assert.Equal(t, watchRetry, g.watchPause(watchUseless, 1))
	assert.Equal(t, watchRetryMax, g.watchPause(watchUseless, useless))
	assert.Zero(t, watchQuiet.countUseless(useless))
	assert.Zero(t, g.watchPause(watchNews, 0), "callers are sent here")
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	assert.Equal(t, watchGather, g.watchPause(watchNews, 0))
	assert.Zero(t, g.watchPause(watchQuiet, 0))
}

// TestNodeThatDoesNotKnowItsRoleClaimsLittle has a node that has just started, and knows
// itself alone, follow few caches and not name itself to callers.
func TestNodeThatDoesNotKnowItsRoleClaimsLittle(t *testing.T) {
	const engines = 2*cachesByRequest + 1
	g := idleGateway(t)
	compiled, err := routes.Compile(routes.Document{Version: 1, Services: []routes.Service{{Name: "pool"}}})
	require.NoError(t, err)
	require.True(t, g.holder.InstallIfNewer(0, 1, compiled))
	for number := range engines {
		g.workers.Observe(1, backends.Worker{
			ID: fleet.EngineID(fmt.Sprint("engine-", number)), Service: "pool", Address: "127.0.0.1:9",
			Versions: map[fleet.ModelName]backends.WeightsVersion{"model": 1},
		})
	}
	g.workersKnown.Store(true)
	g.settled.Store(false)
	assert.Empty(t, present(g))
	assert.Empty(t, g.frontAddresses(ResolutionQuery{}))
	g.taken.Store(1)
	assert.Empty(t, present(g))
	g.taken.Store(2)
	assert.Len(t, present(g), engines, "callers come all the same")
	g.taken.Store(0)
	g.settled.Store(true)
	assert.Len(t, present(g), engines)
	assert.Len(t, g.frontAddresses(ResolutionQuery{}), 1)
}

// TestNodeThatKnowsTheTablesAsksNoMoreOfTheStore has a fleet start before its operator
// has written a configuration.
func TestNodeThatKnowsTheTablesAsksNoMoreOfTheStore(t *testing.T) {
	g := idleGateway(t)
	g.sources = newSources(0, relay.Options{Self: g.node, Random: rand.New(rand.NewPCG(1, 1))})
	g.sources.setRole(0, sourceRole{order: []fleet.NodeID{"other"}})
	reading, _ := g.sources.reads()
	require.True(t, reading)
	g.workersKnown.Store(true)
	g.fresh.Prove(0)
	g.noteKnown()
	reading, _ = g.sources.reads()
	assert.False(t, reading)
	assert.False(t, g.ready())
}

// BenchmarkDeriveRoles measures deriving the roles anew, by the number of members.
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

// TestNodeThatHasJustStartedPlansByEqualParts has the first rates that it hears come from one
// place alone.
func TestNodeThatHasJustStartedPlansByEqualParts(t *testing.T) {
	g := idleGateway(t)
	g.demand.setSharing(true)
	first := func(now time.Duration) membership.RoleOptions {
		g.demand.peer(now, g.node, 100)
		return g.roleOptions(now, 100, g.roles.Load())
	}
	for now := time.Duration(0); now < planAfter; now += rolesInterval {
		options := first(now)
		require.Empty(t, options.Origins)
		require.Empty(t, options.Least)
	}
	assert.NotEmpty(t, first(planAfter).Origins)
}

// present returns the caches that a gateway follows itself.
func present(g *Gateway) map[cacheRun]bool {
	caches, _ := g.caches()
	return caches
}
