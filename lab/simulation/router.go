package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rollout"
	"github.com/tillerfall/tillerfall/lab/history"
)

// leaseSettings are shorter than the product's, so that freezes can outlast the lease.
var leaseSettings = lease.Settings{Key: "lease/rollout", Duration: 2 * time.Second, Margin: 400 * time.Millisecond}

// router is a simulated router process.
type router struct {
	process
	index int
	node  fleet.NodeID

	core *placement.Core
	// pendingPlacements are the reply functions of the open placement calls.
	pendingPlacements map[placement.Key]func(answer any) time.Duration
	nextTickAt        time.Duration
	served            bool

	members          *membership.Core
	dissemination    *membership.Dissemination
	membershipTickAt time.Duration
	routable         []membership.Member

	holder          *config.Holder
	appliedRevision fleet.Revision
	store           *config.Store
	follower        *config.Follower
	followScheduled bool

	machines             []platform.Machine
	machinesFromPlatform bool
	statuses             map[fleet.EngineID]observedStatus
	// earlierSnapshots holds the cache contents of engines; it is filled only with MixRunsOfEngine.
	earlierSnapshots map[fleet.EngineID]engine.CacheSnapshot
	polled           map[fleet.EngineID]bool

	election *lease.Election
	// electing is set while a call of the election is in flight.
	electing bool
	planner  *rollout.Planner
	stopping bool
}

func newRouter(w *world, index int) *router {
	return &router{
		process: process{world: w, address: fleet.Address(fmt.Sprintf("10.3.0.%d:8300", index)), zone: w.zone(index)},
		index:   index,
	}
}

func (r *router) start() {
	configurationAvailable := r.world.hasConfiguredNode()
	r.begin()
	r.node = fleet.NodeID(fmt.Sprintf("router-%d-%d", r.index, r.generation))
	r.core = placement.New(placement.Options{Node: r.node, Zone: r.zone, Random: r.world.newRandom()})
	r.pendingPlacements = make(map[placement.Key]func(any) time.Duration)
	r.nextTickAt, r.membershipTickAt = 0, 0
	r.served, r.stopping, r.followScheduled, r.electing = false, false, false, false
	r.election = nil
	r.appliedRevision = 0
	r.machines, r.machinesFromPlatform = nil, false
	r.statuses = make(map[fleet.EngineID]observedStatus)
	r.polled = make(map[fleet.EngineID]bool)
	r.earlierSnapshots = make(map[fleet.EngineID]engine.CacheSnapshot)
	r.holder = config.NewHolder()
	r.world.record(history.NodeStarted{Node: r.node, Kind: history.RouterNode, ConfigurationAvailable: configurationAvailable})
	r.joinMembership()
	r.startConfiguration()
	r.startEngines()
	r.startRollout()
	r.probe()
}

// kill ends the router without warning.
func (r *router) kill() {
	r.world.record(history.NodeKilled{Node: r.node})
	r.end()
}

// stop begins a planned stop: waiting requests are handed back, the peers are informed and the
// lease is given up.
func (r *router) stop() {
	const linger = 200 * time.Millisecond
	r.stopping = true
	r.world.record(history.NodeStopping{Node: r.node})
	r.updateCore(func(now time.Duration) { r.core.Drain(now) })
	r.sendPeers(r.members.Leave(r.now()))
	r.election.Resign()
	r.stepElection()
	r.after(linger, func() {
		r.world.record(history.NodeStopped{Node: r.node})
		r.end()
	})
}

// updateCore applies an action to the placement core, delivers the outcomes and schedules the next
// tick.
func (r *router) updateCore(action func(now time.Duration)) {
	action(r.now())
	for _, outcome := range r.core.TakeOutcomes() {
		r.deliver(outcome)
	}
	r.scheduleTick()
}

// scheduleTick schedules the core's next tick.
func (r *router) scheduleTick() {
	at, due := r.core.NextWake()
	if !due || (r.nextTickAt > r.now() && r.nextTickAt <= at) {
		return
	}
	at = max(at, r.now()+time.Millisecond)
	r.nextTickAt = at
	r.after(at-r.now(), func() {
		if r.nextTickAt == at {
			r.nextTickAt = 0
			r.updateCore(r.core.Tick)
		}
	})
}

// placementAnswer is a router's answer to a placement call.
type placementAnswer struct {
	router            fleet.NodeID
	revision          fleet.Revision
	outcome           placement.Outcome
	otherRouters      []fleet.Address
	neverCachedBlocks int
}

// place serves a placement call.
func (r *router) place(request placement.Request, reply func(any) time.Duration) {
	r.observeRevision(request.KnownRevision)
	if request.KnownRevision > 0 && r.holder.Current() == nil {
		reply(r.newPlacementAnswer(placement.HandBack{Key: request.Key, Reason: placement.HandBackStaleConfiguration}, 0))
		return
	}
	blocks := request.Blocks
	r.pendingPlacements[request.Key] = func(outcome any) time.Duration {
		grant, granted := outcome.(placement.Grant)
		neverCached := 0
		if granted {
			neverCached = r.world.countNeverCached(grant, blocks)
		}
		return reply(r.newPlacementAnswer(outcome.(placement.Outcome), neverCached))
	}
	r.updateCore(func(now time.Duration) { r.core.Submit(now, request) })
}

func (r *router) newPlacementAnswer(outcome placement.Outcome, neverCached int) placementAnswer {
	answer := placementAnswer{router: r.node, revision: r.holder.Revision(), outcome: outcome, neverCachedBlocks: neverCached}
	if _, handedBack := outcome.(placement.HandBack); handedBack {
		for _, member := range r.members.View().Routable() {
			if member.Node != r.node {
				answer.otherRouters = append(answer.otherRouters, member.Address)
			}
		}
	}
	return answer
}

func (r *router) deliver(outcome placement.Outcome) {
	key := outcome.OutcomeKey()
	grant, granted := outcome.(placement.Grant)
	if granted && !r.served {
		r.served = true
		r.world.record(history.RouterServed{Node: r.node})
	}
	reply := r.pendingPlacements[key]
	delete(r.pendingPlacements, key)
	switch {
	case reply != nil:
		reply(outcome)
	case granted:
		r.releaseGrant(grant)
	}
}

// releaseGrant abandons a grant whose caller no longer waits for it.
func (r *router) releaseGrant(grant placement.Grant) {
	r.core.Report(r.now(), placement.AttemptReport{Key: grant.Key, Run: grant.Run, Phase: placement.PhaseAbandoned})
}

// withdraw serves the withdrawal of a placement call.
func (r *router) withdraw(key placement.Key) {
	delete(r.pendingPlacements, key)
	r.updateCore(func(now time.Duration) { r.core.Withdraw(now, key) })
}

// report serves an agent's report.
func (r *router) report(report placement.AttemptReport) fleet.Revision {
	r.updateCore(func(now time.Duration) { r.core.Report(now, report) })
	return r.holder.Revision()
}

// sync serves a sync from an agent.
func (r *router) sync(request syncRequest) syncAnswer {
	if request.document != nil {
		r.offerSnapshot(*request.document)
	}
	r.observeRevision(request.revision)
	r.offerMachines(request.machines)
	answer := syncAnswer{
		revision: r.holder.Revision(), members: slices.Clone(r.members.View().Routable()), stopping: r.stopping,
		machines: r.machines, needsMachines: len(r.machines) == 0,
	}
	behind := request.revision < answer.revision
	if view := r.holder.Current(); view != nil && (behind || r.world.options.Variant == TakeAnyRevision) {
		document := view.Document()
		answer.document = &document
	}
	return answer
}

// probe submits placement requests to the router's core until one is granted, as if an agent had
// this router as its only one.
func (r *router) probe() {
	const interval = 200 * time.Millisecond
	r.after(interval, func() {
		if r.served || r.stopping {
			return
		}
		if view := r.holder.Current(); view != nil {
			version, _, _ := view.ResolveModel(string(model))
			r.updateCore(func(now time.Duration) {
				key := placement.Key{Request: fleet.RequestID("probe-" + string(r.node)), Attempt: 1}
				r.core.Submit(now, placement.Request{
					Key: key, Tenant: tenants[0], Class: classes[0], ModelVersion: version, PromptTokens: 1, MaxTokens: 1,
				})
			})
		}
		r.probe()
	})
}

// newRandom returns a separate random generator, seeded from that of the run.
func (w *world) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64()))
}
