package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// syncJitter is the fraction of the interval by which rounds are spread, so that agents started
// together don't sync in lockstep.
const syncJitter = 0.2

// syncLoop exchanges lists and configuration with the routers. It continues while the agent drains,
// since running requests may need another placement.
func (a *Agent) syncLoop() error {
	for {
		a.syncRound()
		select {
		case <-time.After(a.syncPause()):
		case router := <-a.syncQueue:
			a.syncWith(router)
		case <-a.drained:
			return nil
		}
	}
}

// syncPause returns the time until the next round. It is shorter while no router, no configuration
// or no engine is known. A reachable router may itself know no engines yet; polling it often makes
// it likely that the agent learns of them before the router fails.
func (a *Agent) syncPause() time.Duration {
	interval := time.Duration(a.settings.Sync.Interval)
	if a.config.Current() == nil || !a.routers.hasEngines() || !a.routers.isReachable(interval*unreachableIntervals) {
		interval /= urgentRoundsPerInterval
	}
	return interval + time.Duration((rand.Float64()-0.5)*syncJitter*float64(interval))
}

// urgentRoundsPerInterval is the number of rounds per interval while required state is missing.
const urgentRoundsPerInterval = 4

// unreachableIntervals is the number of intervals without a response from any router after which
// the agent is not ready and syncs more often.
const unreachableIntervals = 5

func (a *Agent) syncRound() {
	var group sync.WaitGroup
	for _, target := range a.routers.syncTargets() {
		group.Go(func() { a.syncWith(target) })
	}
	group.Wait()
}

// syncWith syncs with a router, and immediately again if the response shows that the router is
// missing state.
func (a *Agent) syncWith(router *routerState) {
	if !a.exchange(router) {
		return
	}
	needsMachines := a.routers.wantsMachines(router) && a.lists.Machines() != nil
	if needsMachines || a.routers.isBehind(router, a.config.Revision()) {
		a.exchange(router)
	}
}

func (a *Agent) exchange(router *routerState) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.settings.Sync.Timeout))
	defer cancel()
	request := a.syncRequest(router)
	response, err := router.client.Sync(ctx, request)
	if err != nil {
		a.handleRouterFailure(router, "sync", err)
		return false
	}
	a.routers.recordResponse(router, response.GetHeader())
	a.routers.recordSync(router, response)
	a.lists.Apply(request, response)
	a.routers.update(a.lists.Members(), a.lists.Machines(), int(response.GetIndexReplicas()))
	a.applyConfig(router, response)
	return true
}

// syncRequest builds a sync request. Lists are only requested from the followed router.
func (a *Agent) syncRequest(router *routerState) *rpc.SyncRequest {
	request := &rpc.SyncRequest{
		Header:               a.header(),
		Config:               a.snapshotFor(router),
		ConfigSnapshotWanted: a.snapshotWanted.Load(),
		WithoutLists:         !a.routers.isFollowed(router),
	}
	if !request.GetWithoutLists() {
		a.lists.FillRequest(request)
	}
	if a.routers.wantsMachines(router) {
		request.Machines = a.lists.Machines()
	}
	return request
}

// snapshotFor returns the configuration to send to a router that is behind, or nil.
func (a *Agent) snapshotFor(router *routerState) *rpc.ConfigSnapshot {
	view := a.config.Current()
	if view == nil || !a.routers.isBehind(router, view.Revision()) {
		return nil
	}
	snapshot, err := config.SnapshotMessage(view.Document())
	if err != nil {
		a.logger.Error().Err(err).Msg("configuration_encode_failed")
		return nil
	}
	return snapshot
}

// applyConfig applies the configuration in a response. If changes can't be applied, the next sync
// requests the whole document.
func (a *Agent) applyConfig(router *routerState, response *rpc.SyncResponse) {
	if response.GetConfig() == nil && len(response.GetConfigChanges()) == 0 {
		return
	}
	accepted, err := a.offerConfig(response)
	a.snapshotWanted.Store(err != nil)
	if err != nil {
		a.logger.Warn().Err(err).Str("router", string(router.address)).Msg("configuration_rejected")
		return
	}
	if accepted {
		a.metrics.revision.Set(float64(a.config.Revision()))
		a.logger.Info().Uint64("revision", uint64(a.config.Revision())).
			Str("router", string(router.address)).Msg("configuration_learned")
	}
}

func (a *Agent) offerConfig(response *rpc.SyncResponse) (accepted bool, err error) {
	if snapshot := response.GetConfig(); snapshot != nil {
		document, err := config.DocumentFromMessage(snapshot)
		if err != nil {
			return false, err
		}
		return a.config.OfferSnapshot(document)
	}
	changes, err := config.ChangesFromMessages(response.GetConfigChanges())
	if err != nil {
		return false, err
	}
	accepted, _, err = a.config.OfferChanges(changes)
	return accepted, err
}

// handleResponseHeader records a router's response and requests a sync if the configuration
// revisions differ.
func (a *Agent) handleResponseHeader(router *routerState, header *rpc.Header) {
	a.routers.recordResponse(router, header)
	if fleet.Revision(header.GetKnownRevision()) != a.config.Revision() {
		a.requestSync(router)
	}
}

func (a *Agent) requestSync(router *routerState) {
	select {
	case a.syncQueue <- router:
	default: // a sync is already pending
	}
}

func (a *Agent) handleRouterFailure(router *routerState, call string, err error) {
	a.routers.recordFailure(router)
	a.metrics.routerFailures.Inc()
	a.logger.Warn().Err(err).Str("router", string(router.address)).Str("call", call).Msg("router_failed")
}

func (a *Agent) header() *rpc.Header {
	return &rpc.Header{Sender: string(a.node), KnownRevision: uint64(a.config.Revision())}
}
