package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/settings"
)

func awaitRoutable(t *testing.T, count int, routers ...*Router) {
	for _, r := range routers {
		require.Eventually(t, func() bool { return len(r.peers.View().Routable()) == count }, waitTimeout, pollInterval)
	}
}

func TestRouterWithoutPlatformSyncsFromPeers(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	second := f.startReadyRouter("r2", joinThrough(first), withoutPlatform)
	assert.NotNil(t, place(t, second, "q").GetGrant())
	require.Zero(t, execute(t, first, "drain e0").GetCode())
	require.Eventually(t, func() bool { return second.holder.Revision() == 2 }, waitTimeout, pollInterval)
	assert.Len(t, execute(t, second, "show routers").GetRows(), 2)
}

func TestStoppingRouterHandsBackAndLeavesMembership(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	second := f.startReadyRouter("r2", joinThrough(first))
	awaitRoutable(t, 2, first, second)
	f.fillStreams(first)
	waiting := placeAsync(context.Background(), first, "waits")
	require.Eventually(t, func() bool { return first.placer.openCallCount() == 1 }, waitTimeout, pollInterval)
	require.NoError(t, first.Stop())
	assert.Equal(t, []string{string(second.Address())}, (<-waiting).GetHandBack().GetRouters())
	awaitRoutable(t, 1, second)
	member, known := second.peers.View().Find(first.Node())
	assert.True(t, !known || member.State == membership.Leaving, "the stopping router must announce its departure")
}

func TestDeadPeersDoNotDelayStop(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	second := f.startReadyRouter("r2", joinThrough(first), func(options *Settings) {
		options.StopTimeout = settings.Duration(time.Hour)
	})
	awaitRoutable(t, 2, first, second)
	require.NoError(t, first.server.Close())
	require.NoError(t, second.Stop())
	<-second.Dead()
}

func TestEngineOwnershipIsDividedAmongRouters(t *testing.T) {
	f := newTestFleet(t, 4)
	f.commitConfiguration()
	oneOwner := func(options *Settings) { options.IndexReplicas = 1 }
	first := f.startRouter("r1", oneOwner)
	second := f.startRouter("r2", oneOwner, joinThrough(first))
	awaitRoutable(t, 2, first, second)
	owned := func(r *Router) map[fleet.EngineID]bool {
		engines := make(map[fleet.EngineID]bool)
		for _, described := range r.placer.snapshot().Engines {
			if described.Owned {
				engines[described.Run.Engine] = true
			}
		}
		return engines
	}
	require.Eventually(t, func() bool {
		ownedByFirst, ownedBySecond := owned(first), owned(second)
		for id := range ownedByFirst {
			if ownedBySecond[id] {
				return false
			}
		}
		return len(ownedByFirst)+len(ownedBySecond) == 4
	}, waitTimeout, pollInterval)
	assert.Len(t, first.engines.freshStatuses(context.Background()), 4, "rollouts must see all engines")
	require.NoError(t, first.Stop())
	require.Eventually(t, func() bool { return len(owned(second)) == 4 }, waitTimeout, pollInterval)
}

func TestListedRoutersAreSeeds(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	f.platform.SetMachines(append(f.machines(), platform.Machine{
		ID: "r1", Kind: platform.MachineRouter, Address: first.Address(), Zone: "z", Incarnation: 1, State: platform.MachineLive,
	}))
	second := f.startReadyRouter("r2")
	awaitRoutable(t, 2, first, second)
}

func TestPeerCountIncludesUnseenRouters(t *testing.T) {
	f := newTestFleet(t, 1)
	f.platform.SetMachines(append(f.machines(),
		platform.Machine{ID: "r1", Kind: platform.MachineRouter, Address: "127.0.0.1:1", Incarnation: 1, State: platform.MachineLive},
		platform.Machine{ID: "r2", Kind: platform.MachineRouter, Address: "127.0.0.1:2", Incarnation: 1, State: platform.MachineLive},
	))
	seeds := []fleet.Address{"127.0.0.1:2", "127.0.0.1:3"}
	router := f.startRouter("r3", func(options *Settings) { options.Peers = seeds })
	assert.GreaterOrEqual(t, router.fetcher.Count(), 1+len(seeds))
	require.Eventually(t, func() bool { return router.fetcher.Count() == 4 }, waitTimeout, pollInterval)
}

func TestUnspecifiedAddressNeedsAnAdvertisedOne(t *testing.T) {
	options := DefaultSettings()
	options.Node.Address = "0.0.0.0:7700"
	var fields []string
	options.ValidateCrossField(func(field, _ string) { fields = append(fields, field) })
	assert.Equal(t, []string{"advertise"}, fields)
}
