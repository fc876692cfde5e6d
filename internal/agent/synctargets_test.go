package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

func newTestRouterSet(count int) *routerSet {
	r := newRouterSet(fleet.NewClock(), newRouterRanking(membership.Location{}, 1), []fleet.Address{"127.0.0.1:1"}, time.Minute)
	var members []membership.Member
	for number := range count {
		members = append(members, membership.Member{
			Node:    fleet.NodeID(fmt.Sprintf("r%03d", number)),
			Address: fleet.Address(fmt.Sprintf("10.0.0.%d:7400", number+1)), State: membership.Alive,
		})
	}
	r.update(members, nil, 0)
	r.recordResponse(r.getOrCreate(members[0].Address), &rpc.Header{})
	return r
}

func TestRoundsFollowOneRouterAndProbeAllInTurn(t *testing.T) {
	const count = 20
	r := newTestRouterSet(count)
	asked := make(map[fleet.Address]bool)
	exchanges := 0
	for range count * probeRounds {
		targets := r.syncTargets()
		exchanges += len(targets)
		assert.True(t, r.isFollowed(targets[0]))
		for _, target := range targets {
			asked[target.address] = true
		}
	}
	// The followed router isn't added a second time when it is its turn.
	assert.Len(t, asked, count)
	assert.LessOrEqual(t, exchanges, count*probeRounds+count)
}

func TestFailedOrStoppingRouterIsNotFollowed(t *testing.T) {
	r := newTestRouterSet(3)
	first := r.syncTargets()[0]
	r.recordFailure(first)
	second := r.syncTargets()[0]
	require.NotSame(t, first, second)
	r.recordSync(second, &rpc.SyncResponse{Stopping: true})
	third := r.syncTargets()[0]
	assert.NotSame(t, first, third)
	assert.NotSame(t, second, third)
}

func TestSeedsAreSyncTargetsWhenAllMembersFail(t *testing.T) {
	r := newTestRouterSet(1)
	r.recordFailure(r.syncTargets()[0])
	assert.EqualValues(t, "127.0.0.1:1", r.syncTargets()[0].address)
}

func TestRouterWithWaitingRequestsIsSyncTarget(t *testing.T) {
	r := newTestRouterSet(20)
	withRequests := r.getOrCreate("10.0.0.7:7400")
	r.beginWait(withRequests)
	for range probeRounds {
		assert.Contains(t, r.syncTargets(), withRequests)
	}
}

func TestAgentsSpreadOverTheRouters(t *testing.T) {
	const routerCount, agents = 20, 400
	followers := make(map[fleet.Address]int)
	for range agents {
		followers[newTestRouterSet(routerCount).syncTargets()[0].address]++
	}
	for address, count := range followers {
		assert.Less(t, count, 4*agents/routerCount, address)
	}
	assert.Len(t, followers, routerCount)
}

// TestIncompleteAgentSyncsMoreOften guards against an agent that waits a whole interval although
// its router has no configuration or engines yet.
func TestIncompleteAgentSyncsMoreOften(t *testing.T) {
	settings := DefaultSettings()
	a, err := New(settings, Dependencies{})
	require.NoError(t, err)
	a.routers = newTestRouterSet(1)
	longest := time.Duration(float64(settings.Sync.Interval) * (1 + syncJitter))
	assert.Less(t, a.syncPause(), longest/urgentRoundsPerInterval)

	_, err = a.config.OfferSnapshot(config.Document{
		Revision: 1,
		Tenants: []config.Tenant{{
			Name: "t", KeyHashes: []string{config.HashKey("k")}, Weight: 1,
			Classes: []fleet.ClassName{"c"}, MaxConcurrent: 1, MaxWaiting: 1,
		}},
		Classes: []config.Class{{Name: "c", MaxWait: config.Duration(time.Second)}},
		Models: []config.Model{{
			Name: "m", Pool: "p", Versions: []config.Version{{Name: "v", State: config.VersionServing}},
			MaxPromptTokens: 1, MaxOutputTokens: 1, BlockTokens: 1,
		}},
		Pools: []config.Pool{{Name: "p", MaxStreams: 1, MaxLoads: 1}},
	})
	require.NoError(t, err)
	assert.Less(t, a.syncPause(), longest/urgentRoundsPerInterval, "no engines are known yet")

	a.routers.update(nil, &rpc.MachineList{Digest: 1, Machines: []*rpc.Machine{{Id: "engine-1"}}}, 0)
	assert.Greater(t, a.syncPause(), longest/urgentRoundsPerInterval)
}
