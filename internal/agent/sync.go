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

// syncJitter is the part of the interval by which rounds are spread, so that
// agents that started together don't ask together.
const syncJitter = 0.2

// syncLoop exchanges membership and configuration with the routers. It runs on
// while the agent drains, since running requests may need to be placed again.
func (a *Agent) syncLoop() error {
	for {
		a.syncRound()
		select {
		case <-time.After(a.syncPause()):
		case at := <-a.syncRequests:
			a.syncWith(at)
		case <-a.drained:
			return nil
		}
	}
}

// syncPause returns the time until the next round. It is short while the agent
// lacks what every request needs: a router, a configuration, or the engines. A
// router that knows none yet answers all the same, and may learn in the next
// moment what the agent alone would remember if the routers died then.
func (a *Agent) syncPause() time.Duration {
	interval := time.Duration(a.settings.Sync.Interval)
	if a.config.Current() == nil || !a.routers.hasEngines() || !a.routers.isReachable(interval*unreachableIntervals) {
		interval /= urgentRoundsPerInterval
	}
	return interval + time.Duration((rand.Float64()-0.5)*syncJitter*float64(interval))
}

// urgentRoundsPerInterval is the number of rounds in an interval while something is lacking.
const urgentRoundsPerInterval = 4

// unreachableIntervals is the number of rounds without any router's answer
// after which the agent isn't ready and asks more often.
const unreachableIntervals = 5

func (a *Agent) syncRound() {
	var group sync.WaitGroup
	for _, target := range a.routers.syncTargets() {
		group.Go(func() { a.syncWith(target) })
	}
	group.Wait()
}

// syncWith exchanges news with one router, and a second time at once if its
// answer shows that it lacks something.
func (a *Agent) syncWith(at *routerState) {
	if !a.exchange(at) {
		return
	}
	lacksMachines := a.routers.wantsMachines(at) && a.lists.Machines() != nil
	if lacksMachines || a.routers.isBehind(at, a.config.Revision()) {
		a.exchange(at)
	}
}

func (a *Agent) exchange(at *routerState) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.settings.Sync.Timeout))
	defer cancel()
	request := a.syncRequest(at)
	answer, err := at.client.Sync(ctx, request)
	if err != nil {
		a.handleRouterFailure(at, "sync", err)
		return false
	}
	a.routers.recordAnswer(at, answer.GetHeader())
	a.routers.recordSync(at, answer)
	a.lists.Apply(request, answer)
	a.routers.update(a.lists.Members(), a.lists.Machines(), int(answer.GetIndexReplicas()))
	a.applyConfig(at, answer)
	return true
}

// syncRequest asks for the lists only of the router that they are followed from.
func (a *Agent) syncRequest(at *routerState) *rpc.SyncRequest {
	request := &rpc.SyncRequest{
		Header:               a.header(),
		Config:               a.snapshotFor(at),
		ConfigSnapshotWanted: a.snapshotWanted.Load(),
		WithoutLists:         !a.routers.isFollowed(at),
	}
	if !request.GetWithoutLists() {
		a.lists.FillRequest(request)
	}
	if a.routers.wantsMachines(at) {
		request.Machines = a.lists.Machines()
	}
	return request
}

// snapshotFor returns the configuration for a router that is behind, else nil.
func (a *Agent) snapshotFor(at *routerState) *rpc.ConfigSnapshot {
	view := a.config.Current()
	if view == nil || !a.routers.isBehind(at, view.Revision()) {
		return nil
	}
	snapshot, err := config.SnapshotMessage(view.Document())
	if err != nil {
		a.logger.Error().Err(err).Msg("configuration_encode_failed")
		return nil
	}
	return snapshot
}

// applyConfig takes over what an answer brings of the configuration. If changes
// can't be applied, the next exchange asks for the whole document.
func (a *Agent) applyConfig(from *routerState, answer *rpc.SyncResponse) {
	if answer.GetConfig() == nil && len(answer.GetConfigChanges()) == 0 {
		return
	}
	accepted, err := a.offerConfig(answer)
	a.snapshotWanted.Store(err != nil)
	if err != nil {
		a.logger.Warn().Err(err).Str("router", string(from.address)).Msg("configuration_rejected")
		return
	}
	if accepted {
		a.metrics.revision.Set(float64(a.config.Revision()))
		a.logger.Info().Uint64("revision", uint64(a.config.Revision())).
			Str("router", string(from.address)).Msg("configuration_learned")
	}
}

func (a *Agent) offerConfig(answer *rpc.SyncResponse) (accepted bool, err error) {
	if snapshot := answer.GetConfig(); snapshot != nil {
		document, err := config.DocumentFromMessage(snapshot)
		if err != nil {
			return false, err
		}
		return a.config.OfferSnapshot(document)
	}
	changes, err := config.ChangesFromMessages(answer.GetConfigChanges())
	if err != nil {
		return false, err
	}
	accepted, _, err = a.config.OfferChanges(changes)
	return accepted, err
}

// handleAnswerHeader takes the header of a router's answer and starts an exchange if
// either side is behind.
func (a *Agent) handleAnswerHeader(by *routerState, header *rpc.Header) {
	a.routers.recordAnswer(by, header)
	if fleet.Revision(header.GetKnownRevision()) != a.config.Revision() {
		a.requestSync(by)
	}
}

func (a *Agent) requestSync(with *routerState) {
	select {
	case a.syncRequests <- with:
	default: // an exchange is due already
	}
}

func (a *Agent) handleRouterFailure(at *routerState, call string, err error) {
	a.routers.recordFailure(at)
	a.metrics.routerFailures.Inc()
	a.logger.Warn().Err(err).Str("router", string(at.address)).Str("call", call).Msg("router_failed")
}

func (a *Agent) header() *rpc.Header {
	return &rpc.Header{Sender: string(a.node), KnownRevision: uint64(a.config.Revision())}
}
