package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

const (
	// loadExchangeInterval is the time between two exchanges with the same peer. Each side calls
	// the other, so reports pass twice as often.
	loadExchangeInterval = 600 * time.Millisecond
	loadExchangeTimeout  = 400 * time.Millisecond
	// loadExchangeFanout bounds the peers of one round of exchanges.
	loadExchangeFanout = 12
	// seedRetryInterval is the time between two reads of the node rows while no peer is known,
	// seedRefreshInterval the same otherwise.
	seedRetryInterval   = 700 * time.Millisecond
	seedRefreshInterval = 15 * time.Second
)

// seedList holds the addresses of other gateways to join through.
type seedList struct {
	mutex sync.Mutex
	list  []fleet.Address
}

func (s *seedList) addresses() []fleet.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.list
}

func (s *seedList) set(addresses []fleet.Address) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.list = addresses
}

// nodeRegistration is what is known of this gateway's node row in the store.
type nodeRegistration struct {
	written bool
	// epoch is the store's epoch in which the row was last written or seen.
	epoch fleet.StoreEpoch
}

// runRegistration writes this gateway's node row and reads those of others. In a large fleet only
// gateways whose role is to read the store do so, and those that find no others.
func (g *Gateway) runRegistration() error {
	registration := &nodeRegistration{}
	for {
		reading := g.roleSettled.Load() && g.roles.Load().isReader
		alone := g.memberCount() == 1
		if reading || (alone && g.now() >= joinGracePeriod) {
			g.registerAndReadSeeds(registration)
		}
		interval := seedRefreshInterval
		if alone || !g.roleSettled.Load() || (reading && !registration.written) {
			interval = seedRetryInterval
		}
		if !g.pause(interval) {
			return nil
		}
	}
}

// registerAndReadSeeds registers this gateway if it isn't registered yet, and reads the seeds. If the
// store was restored and lacks the row, the next call writes it again.
func (g *Gateway) registerAndReadSeeds(registration *nodeRegistration) {
	ctx, cancel := context.WithTimeout(g.context(), 2*time.Second)
	defer cancel()
	epoch := g.storeEpoch.current()
	if !registration.written {
		registration.written = g.registerNode(ctx)
		registration.epoch = epoch
	}
	listed, read := g.readSeeds(ctx)
	switch {
	case !read:
	case listed:
		registration.epoch = epoch
	case registration.epoch < epoch:
		registration.written = false
	}
}

// registerNode writes this gateway's node row and reports whether that succeeded.
func (g *Gateway) registerNode(ctx context.Context) bool {
	err := g.dependencies.Store.RegisterNode(ctx, Node{
		Name:    g.settings().Node,
		Address: fleet.Address(g.settings().PeerAddress),
		Zone:    g.settings().Zone,
		Region:  g.settings().Region,
	})
	if err != nil {
		g.events.line("node_unregistered").Err(err).Msg("node_unregistered")
	}
	return err == nil
}

// readSeeds reads the addresses of the other gateways. listed reports whether this gateway's own row
// is among those that were read.
func (g *Gateway) readSeeds(ctx context.Context) (listed, read bool) {
	nodes, invalid, err := g.dependencies.Store.ReadNodes(ctx)
	if err != nil {
		g.events.line("nodes_unread").Err(err).Msg("nodes_unread")
		return false, false
	}
	g.reportInvalidInput("", invalid)
	var addresses []fleet.Address
	for _, node := range nodes {
		if node.Address == fleet.Address(g.settings().PeerAddress) {
			listed = true
			continue
		}
		addresses = append(addresses, node.Address)
	}
	g.seeds.set(addresses)
	return listed, true
}

// exchangeLoads periodically exchanges reports with the other load-sharing gateways: with all of
// them in each round while they are few, otherwise with some in rotation.
func (g *Gateway) exchangeLoads() error {
	known := make(map[fleet.NodeID]bool)
	for round := 0; g.pauseInterval(loadExchangeInterval); round++ {
		g.refreshEngineSpeeds()
		peers := g.loadPeers()
		present := make(map[fleet.NodeID]bool, len(peers))
		for _, member := range peers {
			present[member.Node] = true
		}
		var group sync.WaitGroup
		for _, member := range g.addDirectors(rotatingSubset(peers, round, loadExchangeFanout)) {
			group.Go(func() { g.exchangeLoad(member) })
		}
		group.Wait()
		for node := range known {
			if !present[node] {
				g.workers.ForgetPeer(node)
				g.demand.forget(node)
				g.unresponsivePeers.forget(node)
				g.reportedVersions.forget(node)
			}
		}
		known = present
		g.workers.SetPeerCount(len(peers))
		g.metrics.overload.tenantsAtShare.Set(float64(g.workers.TenantsAtShare(g.now())))
		g.updateUsagePeers()
	}
	return nil
}

// rotatingSubset returns at most limit elements, a different subset in each round.
func rotatingSubset[Element any](all []Element, round, limit int) []Element {
	if len(all) <= limit {
		return all
	}
	start := round * limit % len(all)
	chosen := make([]Element, 0, limit)
	for offset := range limit {
		chosen = append(chosen, all[(start+offset)%len(all)])
	}
	return chosen
}

// exchangeLoad sends this gateway's report to a member and applies its response.
func (g *Gateway) exchangeLoad(member membership.Member) {
	ctx, cancel := context.WithTimeout(g.peerCallContext(traffic.LoadReports, member), loadExchangeTimeout)
	defer cancel()
	start := g.now()
	report, err := g.peers.ExchangeLoad(ctx, member.Address, g.loadReport(member.Node))
	g.recordExchange(member.Node, err == nil)
	if err != nil {
		g.metrics.peerFailures.Inc()
		return
	}
	g.applyPeerEpoch(start, report)
	g.applyLoadReport(report)
	g.applyProof(start, report)
	g.applyDirectives(start, report.GetDeliveries())
	g.mergeQuarantineRecords(report.GetQuarantineRecords())
	g.applyLimits(report, start)
}

// handleLoadReport applies another gateway's report and returns this one's.
func (g *Gateway) handleLoadReport(_ context.Context, report *rpc.LoadReport) *rpc.LoadReport {
	replies := g.mergeQuarantineRecords(report.GetQuarantineRecords())
	if report.GetQuarantineOnly() {
		return &rpc.LoadReport{Node: string(g.node), Partial: true, QuarantineOnly: true, QuarantineRecords: replies}
	}
	// The call may have taken up to its timeout.
	g.applyLimits(report, g.now()-limitCallTimeout)
	if report.GetLimitsOnly() {
		return &rpc.LoadReport{Node: string(g.node), Partial: true, LimitsOnly: true, Limits: g.limits.encodedLimits(g.now())}
	}
	g.handlePushedDeliveries(report)
	if report.GetDeliveriesOnly() {
		return g.deliveryReport(fleet.NodeID(report.GetNode()))
	}
	if report.GetPartial() {
		return g.handlePartialReport(report)
	}
	g.applyPeerEpoch(g.now()-loadExchangeTimeout, report)
	g.applyLoadReport(report)
	response := g.loadReport(fleet.NodeID(report.GetNode()))
	missing := g.quarantines.missingRecords(g.now(), report.GetQuarantineDigest())
	response.QuarantineRecords = append(response.QuarantineRecords, missing...)
	return response
}

// handlePartialReport applies the changes at another gateway. If the report includes quota usage,
// the response does too.
func (g *Gateway) handlePartialReport(report *rpc.LoadReport) *rpc.LoadReport {
	response := &rpc.LoadReport{Node: string(g.node), Partial: true}
	g.applyAnnouncedSuspects(report)
	if !report.GetUsesTold() {
		g.workers.UpdatePeerLoads(fleet.NodeID(report.GetNode()), g.decodeLoads(report.GetLoads()))
		return response
	}
	g.applyQuotaReport(g.now(), report)
	g.quotas.writeReport(g.now(), response, fleet.NodeID(report.GetNode()))
	return response
}

// loadReport returns this gateway's full report to another one.
func (g *Gateway) loadReport(to fleet.NodeID) *rpc.LoadReport {
	now := g.now()
	report := &rpc.LoadReport{
		Node:        string(g.node),
		RequestRate: encodeRate(g.demand.ownRate()),
		Pressure:    uint32(g.pressure.level()),
		Named:       g.encodeRecentVersions(now),
		Limits:      g.limits.encodedLimits(now),
	}
	report.Loads = g.encodeLoads(g.workers.OwnLoad())
	report.Speeds = g.encodeEngineSpeeds(now, to)
	report.Outcomes = g.encodeOutcomes(now)
	for service, work := range g.workers.OwnWork(now) {
		report.Work = append(report.Work, &rpc.ServiceWork{
			Service: string(service), LongMillis: uint32(work.Long.Milliseconds()), ShortMillis: uint32(work.Short.Milliseconds()),
		})
	}
	report.TenantWork = encodeTenantWork(g.workers.OwnTenantWork(now))
	for _, suspect := range g.workers.ReportedSuspects(now) {
		report.Suspects = append(report.Suspects, string(suspect))
	}
	for id, remaining := range g.rollout.cordonedEngines(now) {
		report.Orders = append(report.Orders, &rpc.WorkerOrder{
			Worker: string(id), RemainingMillis: uint32(remaining.Milliseconds()),
		})
	}
	for _, worker := range g.backoffs.workersInBackoff(now) {
		report.Deferring = append(report.Deferring, string(worker))
	}
	report.RejectionLimits = g.rejections.encoded(now)
	for _, run := range g.workers.UnpublishedDraining() {
		report.Draining = append(report.Draining, &rpc.DrainingRun{Worker: string(run.Worker), Born: uint64(run.StartTime)})
	}
	if _, isHolder := g.lease.Fence(); isHolder {
		report.Weights = g.versionsToReport(now, to)
	}
	g.quotas.writeReport(now, report, to)
	g.budgets.writeReport(now, report)
	g.deliveries.writeReport(now, report, to)
	g.quarantines.writeReport(now, report)
	g.writeStoreEpoch(now, report)
	if snapshot := g.configuration.Current(); snapshot != nil {
		if age, proven := g.freshness.Age(now); proven && age < g.settings().RevokeWithin {
			report.ProofAgeMillis = uint32(age.Milliseconds()) + 1
			report.ProofRevision = snapshot.Revision.Number()
		}
		report.ConfigurationVersion = uint64(snapshot.Table.Version())
	}
	return report
}

// encodeRecentVersions returns the latest desired model versions with the time since each was
// requested.
func (g *Gateway) encodeRecentVersions(now time.Duration) []*rpc.NamedVersion {
	var named []*rpc.NamedVersion
	for model, publications := range g.rollout.recentVersions() {
		for _, publication := range publications {
			named = append(named, &rpc.NamedVersion{
				Model: string(model), Version: publication.Version, AgeMillis: uint32(max(now-publication.At, 0).Milliseconds()),
			})
		}
	}
	return named
}

// applyPeerVersions records when, according to another gateway, model versions were requested.
func (g *Gateway) applyPeerVersions(named []*rpc.NamedVersion) {
	now := g.now()
	for _, version := range named {
		at := now - time.Duration(version.GetAgeMillis())*time.Millisecond
		g.rollout.recordPeerVersion(at, fleet.ModelName(version.GetModel()), version.GetVersion())
	}
}

// versionsToReport returns the engines' model versions to include in a report to a gateway. Only
// the lease holder reports them.
func (g *Gateway) versionsToReport(now time.Duration, to fleet.NodeID) []*rpc.WorkerWeights {
	var present []engineVersion
	for _, worker := range g.workers.WorkersInUse() {
		for model, version := range worker.Versions {
			present = append(present, engineVersion{engineModel{worker.ID, model}, uint64(version)})
		}
	}
	due := g.reportedVersions.due(now, to, present)
	encoded := make([]*rpc.WorkerWeights, 0, len(due))
	for _, version := range due {
		encoded = append(encoded, &rpc.WorkerWeights{
			Worker: string(version.engine), Model: string(version.model), Version: version.version,
		})
	}
	return encoded
}

// applyLoadReport applies another gateway's full report.
func (g *Gateway) applyLoadReport(report *rpc.LoadReport) {
	now := g.now()
	g.peerConfigurations.observe(now, fleet.Revision(report.GetConfigurationVersion()))
	suspects := make([]fleet.EngineID, 0, len(report.GetSuspects()))
	for _, suspect := range report.GetSuspects() {
		suspects = append(suspects, fleet.EngineID(suspect))
	}
	orders := make(map[fleet.EngineID]time.Duration, len(report.GetOrders()))
	for _, order := range report.GetOrders() {
		orders[fleet.EngineID(order.GetWorker())] = now + time.Duration(order.GetRemainingMillis())*time.Millisecond
	}
	work := make(map[fleet.PoolName]backends.Work, len(report.GetWork()))
	for _, entry := range report.GetWork() {
		work[fleet.PoolName(entry.GetService())] = backends.Work{
			Long:  time.Duration(entry.GetLongMillis()) * time.Millisecond,
			Short: time.Duration(entry.GetShortMillis()) * time.Millisecond,
		}
	}
	g.workers.ObservePeer(now, fleet.NodeID(report.GetNode()), backends.PeerReport{
		Loads: g.decodeLoads(report.GetLoads()), Suspects: suspects, Cordons: orders, Work: work, Deferring: g.deferringWorkers(report),
		TenantWork: g.decodeTenantWork(report.GetTenantWork()), Outcomes: g.decodeOutcomes(report.GetOutcomes()),
	})
	g.applyEngineSpeeds(now, report)
	for _, run := range report.GetDraining() {
		g.observeDraining(backends.DrainingRun{Worker: fleet.EngineID(run.GetWorker()), StartTime: backends.StartTime(run.GetBorn())}, noticeSourcePeer)
	}
	g.applyRejectionLimits(now, report.GetRejectionLimits())
	g.applyPeerVersions(report.GetNamed())
	g.applyQuotaReport(now, report)
	g.budgets.applyReport(now, report)
	g.demand.setPeerRate(now, fleet.NodeID(report.GetNode()), decodeRate(report.GetRequestRate()))
	g.deliveries.addEvidence(now, fleet.NodeID(report.GetNode()), report.GetDeliveryEvidence())
	g.origins.setPressure(now, fleet.NodeID(report.GetNode()), decodePressure(report.GetPressure()))
	for _, versions := range report.GetWeights() {
		g.workers.ObserveVersion(fleet.EngineID(versions.GetWorker()), fleet.ModelName(versions.GetModel()),
			backends.ModelVersion(versions.GetVersion()))
	}
}

// applyProof adopts another gateway's proof of freshness: if the proof had age a when the gateway
// answered a call that began at start, and its configuration is not newer than the one here, this
// configuration was current at start-a.
func (g *Gateway) applyProof(start time.Duration, report *rpc.LoadReport) {
	snapshot := g.configuration.Current()
	if snapshot == nil || report.GetProofRevision() == 0 || isNewerConfiguration(report, snapshot) {
		return
	}
	g.freshness.Prove(start - time.Duration(report.GetProofAgeMillis())*time.Millisecond)
	g.updateReadiness()
}

// isNewerConfiguration reports whether a peer's configuration is newer than a table. A peer that
// doesn't state the version states the store's revision, which orders configurations in one epoch
// only.
func isNewerConfiguration(report *rpc.LoadReport, active *routes.ActiveTable) bool {
	if version := report.GetConfigurationVersion(); version != 0 {
		return version > uint64(active.Table.Version())
	}
	return active.Revision.Epoch() != 0 || report.GetProofRevision() > active.Revision.Number()
}
