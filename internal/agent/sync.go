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
		case at := <-a.syncNow:
			a.syncWith(at)
		case <-a.drained:
			return nil
		}
	}
}

func (a *Agent) syncPause() time.Duration {
	interval := time.Duration(a.settings.Sync.Interval)
	if !a.routers.reachable(interval * unreachableIntervals) {
		interval /= 4
	}
	return interval + time.Duration((rand.Float64()-0.5)*syncJitter*float64(interval))
}

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
func (a *Agent) syncWith(at *link) {
	if !a.exchange(at) {
		return
	}
	lacksMachines := a.routers.wantsMachines(at) && a.machines.Load() != nil
	if lacksMachines || a.routers.behind(at, a.config.Revision()) {
		a.exchange(at)
	}
}

func (a *Agent) exchange(at *link) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.settings.Sync.Timeout))
	defer cancel()
	machines := a.machines.Load()
	request := &rpc.SyncRequest{
		Header:         a.header(),
		Config:         a.snapshotFor(at),
		MachinesDigest: machines.GetDigest(),
	}
	if a.routers.wantsMachines(at) {
		request.Machines = machines
	}
	answer, err := at.client.Sync(ctx, request)
	if err != nil {
		a.routerFailed(at, "sync", err)
		return false
	}
	a.routers.answered(at, answer.GetHeader())
	a.routers.synced(at, answer)
	a.routers.learn(answer)
	// An empty list would be of no help to a router that restarts.
	if list := answer.GetMachines(); len(list.GetMachines()) > 0 {
		a.machines.Store(list)
	}
	if snapshot := answer.GetConfig(); snapshot != nil {
		a.takeConfig(at, snapshot)
	}
	return true
}

// snapshotFor returns the configuration for a router that is behind, else nil.
func (a *Agent) snapshotFor(at *link) *rpc.ConfigSnapshot {
	view := a.config.Current()
	if view == nil || !a.routers.behind(at, view.Revision()) {
		return nil
	}
	snapshot, err := config.SnapshotMessage(view.Document())
	if err != nil {
		a.logger.Error().Err(err).Msg("config_encode_failed")
		return nil
	}
	return snapshot
}

func (a *Agent) takeConfig(from *link, snapshot *rpc.ConfigSnapshot) {
	document, err := config.DocumentFromMessage(snapshot)
	accepted := false
	if err == nil {
		accepted, err = a.config.OfferSnapshot(document)
	}
	if err != nil {
		a.logger.Warn().Err(err).Str("router", string(from.address)).Msg("config_rejected")
		return
	}
	if accepted {
		a.metrics.revision.Set(float64(a.config.Revision()))
		a.logger.Info().Uint64("revision", uint64(a.config.Revision())).
			Str("router", string(from.address)).Msg("config_accepted")
	}
}

// noteAnswer takes the header of a router's answer and starts an exchange if
// either side is behind.
func (a *Agent) noteAnswer(by *link, header *rpc.Header) {
	a.routers.answered(by, header)
	if fleet.Revision(header.GetKnownRevision()) != a.config.Revision() {
		a.requestSync(by)
	}
}

func (a *Agent) requestSync(with *link) {
	select {
	case a.syncNow <- with:
	default: // an exchange is due already
	}
}

func (a *Agent) routerFailed(at *link, call string, err error) {
	a.routers.fail(at)
	a.metrics.routerFailures.Inc()
	a.logger.Warn().Err(err).Str("router", string(at.address)).Str("call", call).Msg("router_failed")
}

func (a *Agent) header() *rpc.Header {
	return &rpc.Header{Sender: string(a.node), KnownRevision: uint64(a.config.Revision())}
}
