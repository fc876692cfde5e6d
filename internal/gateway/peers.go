package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// Times of the talk between gateways.
const (
	// shareInterval is the time between two exchanges with the same peer. Each
	// of the two calls the other, so that news travel twice as often.
	shareInterval = 600 * time.Millisecond
	shareTimeout  = 400 * time.Millisecond
	// shareFanout bounds the peers of one round of exchanges.
	shareFanout = 12
	// seedInterval is the time between two reads of the nodes' rows while no peer
	// is known, and seedIntervalKnown otherwise.
	seedInterval      = 700 * time.Millisecond
	seedIntervalKnown = 15 * time.Second
)

// seedList is the addresses at which other gateways may be found.
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

// register writes this node's row, so that others find it, and reads those of
// others. In a larger fleet only nodes whose role is to read the store do so, and
// nodes that find nobody else.
func (g *Gateway) register() error {
	registered := false
	for {
		reading := g.settled.Load() && g.roles.Load().reader
		alone := g.memberCount() == 1
		if reading || (alone && g.now() >= joinGrace) {
			registered = g.meet(registered)
		}
		interval := seedIntervalKnown
		if alone || !g.settled.Load() || (reading && !registered) {
			interval = seedInterval
		}
		if !g.pause(interval) {
			return nil
		}
	}
}

// meet makes the calls of register and tells whether this node's row is written.
func (g *Gateway) meet(registered bool) bool {
	ctx, cancel := context.WithTimeout(g.context(), 2*time.Second)
	defer cancel()
	if !registered {
		err := g.outside.Platform.RegisterNode(ctx, Node{
			Name:    g.settings().Node,
			Address: fleet.Address(g.settings().PeerAddress),
			Zone:    g.settings().Zone,
			Region:  g.settings().Region,
		})
		if err != nil {
			g.events.line("node_unregistered").Err(err).Msg("node_unregistered")
		}
		registered = err == nil
	}
	g.readSeeds(ctx)
	return registered
}

func (g *Gateway) readSeeds(ctx context.Context) {
	nodes, unreadable, err := g.outside.Platform.ReadNodes(ctx)
	if err != nil {
		g.events.line("nodes_unread").Err(err).Msg("nodes_unread")
		return
	}
	g.noteUnreadable("", unreadable)
	var addresses []fleet.Address
	for _, node := range nodes {
		if node.Address != fleet.Address(g.settings().PeerAddress) {
			addresses = append(addresses, node.Address)
		}
	}
	g.seeds.set(addresses)
}

// shareLoads exchanges reports with the other gateways that share loads: with
// all of them in each round while they are few, else with some, taking turns.
func (g *Gateway) shareLoads() error {
	known := make(map[fleet.NodeID]bool)
	for round := 0; g.pauseOrRest(shareInterval); round++ {
		peers := g.loadPeers()
		present := make(map[fleet.NodeID]bool, len(peers))
		for _, member := range peers {
			present[member.Node] = true
		}
		var group sync.WaitGroup
		for _, member := range g.withDirectors(turn(peers, round, shareFanout)) {
			group.Go(func() { g.exchange(member) })
		}
		group.Wait()
		for node := range known {
			if !present[node] {
				g.workers.ForgetPeer(node)
				g.demand.forget(node)
				g.silences.forget(node)
				g.toldVersions.forget(node)
			}
		}
		known = present
		g.workers.SetPeerCount(len(peers))
		g.followUsers()
	}
	return nil
}

// turn returns at most limit elements, others in each round.
func turn[Element any](all []Element, round, limit int) []Element {
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

// exchange gives one member this node's report and takes its answer in.
func (g *Gateway) exchange(member membership.Member) {
	ctx, cancel := context.WithTimeout(g.peerCall(traffic.Loads, member), shareTimeout)
	defer cancel()
	begun := g.now()
	report, err := g.peers.ExchangeLoad(ctx, member.Address, g.loadReport(member.Node))
	g.noteExchange(member.Node, err == nil)
	if err != nil {
		g.metrics.shareFailures.Inc()
		return
	}
	g.takeLoad(report)
	g.takeProof(begun, report)
	g.takeDirectives(begun, report.GetDeliveries())
	g.takeQuarantineRecords(report.GetQuarantineRecords())
	g.takeLimits(report, begun)
}

// answerLoad answers another gateway's report with this one's.
func (g *Gateway) answerLoad(_ context.Context, report *rpc.LoadReport) *rpc.LoadReport {
	g.takeQuarantineRecords(report.GetQuarantineRecords())
	if report.GetQuarantineOnly() {
		return &rpc.LoadReport{Node: string(g.node), Partial: true, QuarantineOnly: true}
	}
	// The report may have taken as long as a call may.
	g.takeLimits(report, g.now()-limitTimeout)
	if report.GetLimitsOnly() {
		return &rpc.LoadReport{Node: string(g.node), Partial: true, LimitsOnly: true, Limits: g.limits.encodedLimits(g.now())}
	}
	g.heedPushed(report)
	if report.GetDeliveriesOnly() {
		return g.deliveryReport(fleet.NodeID(report.GetNode()))
	}
	if report.GetPartial() {
		return g.answerPartial(report)
	}
	g.takeLoad(report)
	answer := g.loadReport(fleet.NodeID(report.GetNode()))
	lacking := g.quarantines.beyond(g.now(), report.GetQuarantineDigest())
	answer.QuarantineRecords = append(answer.QuarantineRecords, lacking...)
	return answer
}

// answerPartial takes in what has changed at another gateway, and tells what tenants
// have used here if the other does.
func (g *Gateway) answerPartial(report *rpc.LoadReport) *rpc.LoadReport {
	answer := &rpc.LoadReport{Node: string(g.node), Partial: true}
	if !report.GetUsesTold() {
		g.workers.UpdatePeerLoads(fleet.NodeID(report.GetNode()), g.decodeLoads(report.GetLoads()))
		return answer
	}
	g.quotas.take(g.now(), report)
	g.quotas.write(g.now(), answer, fleet.NodeID(report.GetNode()))
	return answer
}

// loadReport returns what this node tells another one.
func (g *Gateway) loadReport(to fleet.NodeID) *rpc.LoadReport {
	now := g.now()
	report := &rpc.LoadReport{
		Node:        string(g.node),
		RequestRate: encodeRate(g.demand.own()),
		Pressure:    uint32(g.pressure.level()),
		Named:       g.namedVersions(now),
		Limits:      g.limits.encodedLimits(now),
	}
	report.Loads = g.encodeLoads(g.workers.OwnLoad())
	for service, work := range g.workers.OwnWork(now) {
		report.Work = append(report.Work, &rpc.ServiceWork{
			Service: string(service), LongMillis: uint32(work.Long.Milliseconds()), ShortMillis: uint32(work.Short.Milliseconds()),
		})
	}
	for _, suspect := range g.workers.Suspects(now) {
		report.Suspects = append(report.Suspects, string(suspect))
	}
	for id, remaining := range g.weights.underOrder(now) {
		report.Orders = append(report.Orders, &rpc.WorkerOrder{
			Worker: string(id), RemainingMillis: uint32(remaining.Milliseconds()),
		})
	}
	for _, worker := range g.backoffs.closing(now) {
		report.Deferring = append(report.Deferring, string(worker))
	}
	for _, run := range g.workers.UnpublishedDraining() {
		report.Draining = append(report.Draining, &rpc.DrainingRun{Worker: string(run.Worker), Born: uint64(run.StartTime)})
	}
	if _, holds := g.keeper.Fence(); holds {
		report.Weights = g.versionsFor(now, to)
	}
	g.quotas.write(now, report, to)
	g.deliveries.write(now, report, to)
	g.quarantines.write(now, report)
	if held := g.holder.Current(); held != nil {
		if age, proven := g.fresh.Age(now); proven && age < g.settings().RevokeWithin {
			report.ProofAgeMillis = uint32(age.Milliseconds()) + 1
			report.ProofRevision = uint64(held.Revision)
		}
	}
	return report
}

// namedVersions returns when the newest versions of weights were named.
func (g *Gateway) namedVersions(now time.Duration) []*rpc.NamedVersion {
	var named []*rpc.NamedVersion
	for model, namings := range g.weights.heard() {
		for _, naming := range namings {
			named = append(named, &rpc.NamedVersion{
				Model: string(model), Version: naming.Version, AgeMillis: uint32(max(now-naming.At, 0).Milliseconds()),
			})
		}
	}
	return named
}

// learnNamed takes in when another node heard of versions.
func (g *Gateway) learnNamed(named []*rpc.NamedVersion) {
	now := g.now()
	for _, version := range named {
		at := now - time.Duration(version.GetAgeMillis())*time.Millisecond
		g.weights.learn(at, fleet.ModelName(version.GetModel()), version.GetVersion())
	}
}

// versionsFor returns the engines' versions, by the word of the lease's holder, as far as
// a node is to be told of them.
func (g *Gateway) versionsFor(now time.Duration, to fleet.NodeID) []*rpc.WorkerWeights {
	var present []engineVersion
	for _, worker := range g.workers.WorkersInUse() {
		for model, version := range worker.Versions {
			present = append(present, engineVersion{engineModel{worker.ID, model}, uint64(version)})
		}
	}
	due := g.toldVersions.due(now, to, present)
	told := make([]*rpc.WorkerWeights, 0, len(due))
	for _, version := range due {
		told = append(told, &rpc.WorkerWeights{
			Worker: string(version.engine), Model: string(version.model), Version: version.version,
		})
	}
	return told
}

// takeLoad takes in another gateway's report.
func (g *Gateway) takeLoad(report *rpc.LoadReport) {
	now := g.now()
	suspects := make([]fleet.EngineID, 0, len(report.GetSuspects()))
	for _, suspect := range report.GetSuspects() {
		suspects = append(suspects, fleet.EngineID(suspect))
	}
	orders := make(map[fleet.EngineID]time.Duration, len(report.GetOrders()))
	for _, order := range report.GetOrders() {
		orders[fleet.EngineID(order.GetWorker())] = now + time.Duration(order.GetRemainingMillis())*time.Millisecond
	}
	work := make(map[fleet.PoolName]backends.Work, len(report.GetWork()))
	for _, told := range report.GetWork() {
		work[fleet.PoolName(told.GetService())] = backends.Work{
			Long:  time.Duration(told.GetLongMillis()) * time.Millisecond,
			Short: time.Duration(told.GetShortMillis()) * time.Millisecond,
		}
	}
	g.workers.ObservePeer(now, fleet.NodeID(report.GetNode()), backends.PeerReport{
		Loads: g.decodeLoads(report.GetLoads()), Suspects: suspects, Orders: orders, Work: work, Deferring: g.deferringOf(report),
	})
	for _, run := range report.GetDraining() {
		g.observeDraining(backends.DrainingRun{Worker: fleet.EngineID(run.GetWorker()), StartTime: backends.StartTime(run.GetBorn())}, noticeByPeer)
	}
	g.learnNamed(report.GetNamed())
	g.quotas.take(now, report)
	g.demand.peer(now, fleet.NodeID(report.GetNode()), decodeRate(report.GetRequestRate()))
	g.deliveries.observe(now, fleet.NodeID(report.GetNode()), report.GetDeliveryEvidence())
	g.origins.press(now, fleet.NodeID(report.GetNode()), decodePressure(report.GetPressure()))
	for _, versions := range report.GetWeights() {
		g.workers.ObserveVersion(fleet.EngineID(versions.GetWorker()), fleet.ModelName(versions.GetModel()),
			backends.ModelVersion(versions.GetVersion()))
	}
}

// takeProof takes another gateway's proof as this one's: if it had proof of age a
// when it answered a call begun at a time, and holds the same configuration,
// then nothing newer was acknowledged up to that time less a.
func (g *Gateway) takeProof(begun time.Duration, report *rpc.LoadReport) {
	held := g.holder.Current()
	if held == nil || report.GetProofRevision() == 0 || report.GetProofRevision() > uint64(held.Revision) {
		return
	}
	g.fresh.Prove(begun - time.Duration(report.GetProofAgeMillis())*time.Millisecond)
	g.noteKnown()
}
