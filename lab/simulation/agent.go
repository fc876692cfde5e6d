package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/history"
)

// Timeouts, intervals and limits of an agent. Those of the product are longer, in proportion to its
// longer deadlines.
const (
	syncInterval      = time.Second
	syncTimeout       = 2 * time.Second
	routerBackoff     = 200 * time.Millisecond
	routerBackoffMax  = 5 * time.Second
	maxBackoffShift   = 10
	headerTimeout     = 700 * time.Millisecond
	streamIdleTimeout = 1500 * time.Millisecond
	cancelTimeout     = 500 * time.Millisecond
	reportTimeout     = time.Second
	stopGrace         = 30 * time.Second
	affinityBlocks    = 4
	maxPlacements     = 12
)

// routerState is what an agent has recorded about one router address.
type routerState struct {
	address       fleet.Address
	failures      int
	retryAt       time.Duration
	stopping      bool
	revision      fleet.Revision
	answered      bool
	needsMachines bool
	// placementCalls are the pending placement calls to the router, oldest first.
	placementCalls []*call
}

// agent is a simulated agent process.
type agent struct {
	process
	index  int
	node   fleet.NodeID
	holder *config.Holder
	// appliedRevision is the last revision that was recorded as applied.
	appliedRevision fleet.Revision
	machines        []platform.Machine
	budget          *attempt.Budget
	members         []membership.Member
	routerStates    map[fleet.Address]*routerState
	rotation        int
	contacted       bool
	stopping        bool
	// inFlight are the unfinished requests, oldest first.
	inFlight []*inFlightRequest
}

func newAgent(w *world, index int) *agent {
	return &agent{
		process: process{world: w, address: fleet.Address(fmt.Sprintf("10.2.0.%d:8200", index)), zone: w.zone(index)},
		index:   index,
	}
}

func (a *agent) start() {
	a.begin()
	a.node = fleet.NodeID(fmt.Sprintf("agent-%d-%d", a.index, a.generation))
	a.holder = config.NewHolder()
	a.appliedRevision = 0
	a.machines = nil
	a.budget = attempt.NewBudget(attempt.BudgetOptions{Burst: a.world.options.RetryBurst})
	a.members = nil
	a.routerStates = make(map[fleet.Address]*routerState)
	a.contacted = false
	a.stopping = false
	a.inFlight = nil
	a.world.record(history.NodeStarted{Node: a.node, Kind: history.AgentNode, ConfigurationAvailable: a.world.hasConfiguredNode()})
	a.syncLoop()
}

// kill ends the agent and the connections of its callers.
func (a *agent) kill() {
	a.world.record(history.NodeKilled{Node: a.node})
	a.abortRequests("agent was killed")
	a.end()
}

func (a *agent) abortRequests(reason string) {
	for _, c := range a.inFlight {
		if c.machine.Phase() != attempt.PhaseFinished {
			a.world.record(history.RequestAborted{Request: c.request.id, Reason: reason})
		}
	}
	a.inFlight = nil
}

// stop begins a planned stop: the agent accepts no new requests and lets running ones finish.
func (a *agent) stop() {
	a.stopping = true
	a.world.record(history.NodeStopping{Node: a.node})
	if a.world.options.Variant == StopWithoutDrain {
		a.finishStop()
		return
	}
	a.waitForIdle(a.now() + stopGrace)
}

func (a *agent) waitForIdle(graceEnd time.Duration) {
	const checkInterval = 50 * time.Millisecond
	a.after(checkInterval, func() {
		a.removeFinished()
		if len(a.inFlight) > 0 && a.now() < graceEnd {
			a.waitForIdle(graceEnd)
			return
		}
		for _, c := range slices.Clone(a.inFlight) {
			c.handle(attempt.Stopping{}, "")
		}
		a.finishStop()
	})
}

func (a *agent) finishStop() {
	a.abortRequests("agent stopped")
	a.world.record(history.NodeStopped{Node: a.node})
	a.end()
}

func (a *agent) removeFinished() {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(c *inFlightRequest) bool { return c.machine.Phase() == attempt.PhaseFinished })
}

func (a *agent) routerState(address fleet.Address) *routerState {
	if known, found := a.routerStates[address]; found {
		return known
	}
	created := &routerState{address: address}
	a.routerStates[address] = created
	return created
}

// chooseRouter returns the router to ask: the preferred ones, then the members by rank, then the
// seeds. Routers that were tried, failed or are stopping have lower priority.
func (a *agent) chooseRouter(key uint64, preferred []fleet.Address, tried map[fleet.Address]int) *routerState {
	const penaltyFailed, penaltyStopping = 1, 2
	addresses := slices.Clone(preferred)
	for _, member := range membership.Rank(key, a.zone, a.members) {
		addresses = append(addresses, member.Address)
	}
	addresses = append(addresses, a.rankedSeeds(key)...)
	var best *routerState
	bestPenalty := 0
	for _, address := range addresses {
		candidate := a.routerState(address)
		penalty := tried[address] * (penaltyStopping + 1)
		switch {
		case candidate.stopping:
			penalty += penaltyStopping
		case candidate.retryAt > a.now():
			penalty += penaltyFailed
		}
		if best == nil || penalty < bestPenalty {
			best, bestPenalty = candidate, penalty
		}
	}
	return best
}

func (a *agent) rankedSeeds(key uint64) []fleet.Address {
	var seeds []membership.Member
	for _, address := range a.world.seedAddresses() {
		seeds = append(seeds, membership.Member{Node: fleet.NodeID(address), Address: address, State: membership.Alive})
	}
	var addresses []fleet.Address
	for _, seed := range membership.Rank(key, "", seeds) {
		addresses = append(addresses, seed.Address)
	}
	return addresses
}

// observeAnswer records a router's answer and starts a sync if the revisions differ.
func (a *agent) observeAnswer(router *routerState, revision fleet.Revision) {
	a.recordAnswer(router, revision)
	if revision != a.holder.Revision() {
		a.sync(router)
	}
}

func (a *agent) recordAnswer(router *routerState, revision fleet.Revision) {
	router.failures = 0
	router.retryAt = 0
	router.answered = true
	router.revision = revision
	a.contacted = true
}

// recordFailure records that a router did not answer, and fails the placement calls that wait
// there.
func (a *agent) recordFailure(router *routerState) {
	router.answered = false
	waiting := router.placementCalls
	router.placementCalls = nil
	for _, pending := range waiting {
		if !pending.finished {
			pending.finished = true
			pending.done(nil, broken)
		}
	}
	if router.retryAt > a.now() {
		return
	}
	router.retryAt = a.now() + min(routerBackoff<<min(router.failures, maxBackoffShift), routerBackoffMax)
	router.failures++
}

// recordConfiguration records a configuration that is newly applied.
func (a *agent) recordConfiguration() {
	view := a.holder.Current()
	if view == nil || view.Revision() == a.appliedRevision {
		return
	}
	a.appliedRevision = view.Revision()
	a.world.record(history.ConfigurationApplied{Node: a.node, Revision: view.Revision(), Digest: a.world.digest(view.Document())})
}
