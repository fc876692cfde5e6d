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

// Times of an agent; those of the product are longer, in proportion to its
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

// link is what an agent knows of one router address.
type link struct {
	address        fleet.Address
	failures       int
	retryAt        time.Duration
	stopping       bool
	revision       fleet.Revision
	answered       bool
	machinesWanted bool
	// placing are the questions that wait there, in order.
	placing []*call
}

// agent is one agent process.
type agent struct {
	process
	index  int
	node   fleet.NodeID
	holder *config.Holder
	// inForce is the last revision that was recorded as in force.
	inForce  fleet.Revision
	machines []platform.Machine
	budget   *attempt.Budget
	members  []membership.Member
	links    map[fleet.Address]*link
	rotation int
	seen     bool
	stopping bool
	// carriers are the unfinished requests, in order.
	carriers []*carrier
}

func newAgent(w *world, index int) *agent {
	return &agent{
		process: process{world: w, address: fleet.Address(fmt.Sprintf("10.2.0.%d:8200", index)), zone: w.zone(index)},
		index:   index,
	}
}

func (a *agent) start() {
	a.begin()
	a.node = fleet.NodeID(fmt.Sprintf("agent-%d-%d", a.index, a.life))
	a.holder = config.NewHolder()
	a.inForce = 0
	a.machines = nil
	a.budget = attempt.NewBudget(attempt.BudgetOptions{Burst: a.world.options.RetryBurst})
	a.members = nil
	a.links = make(map[fleet.Address]*link)
	a.seen = false
	a.stopping = false
	a.carriers = nil
	a.world.record(history.NodeStarted{Node: a.node, Kind: history.AgentNode, Informed: a.world.informed()})
	a.syncLoop()
}

// kill ends the agent and, with it, its callers' connections.
func (a *agent) kill() {
	a.world.record(history.NodeKilled{Node: a.node})
	a.loseCallers("agent was killed")
	a.end()
}

func (a *agent) loseCallers(reason string) {
	for _, c := range a.carriers {
		if c.machine.Phase() != attempt.PhaseFinished {
			a.world.record(history.CallerLost{Request: c.request.id, Reason: reason})
		}
	}
	a.carriers = nil
}

// stop is a planned stop: new requests go elsewhere, running ones finish.
func (a *agent) stop() {
	a.stopping = true
	a.world.record(history.NodeStopping{Node: a.node})
	if a.world.options.Variant == StopWithoutDrain {
		a.finishStop()
		return
	}
	a.waitForIdle(a.now() + stopGrace)
}

func (a *agent) waitForIdle(graceOver time.Duration) {
	const look = 50 * time.Millisecond
	a.after(look, func() {
		a.forgetFinished()
		if len(a.carriers) > 0 && a.now() < graceOver {
			a.waitForIdle(graceOver)
			return
		}
		for _, c := range slices.Clone(a.carriers) {
			c.handle(attempt.Stopping{}, "")
		}
		a.finishStop()
	})
}

func (a *agent) finishStop() {
	a.loseCallers("agent stopped")
	a.world.record(history.NodeStopped{Node: a.node})
	a.end()
}

func (a *agent) forgetFinished() {
	a.carriers = slices.DeleteFunc(a.carriers, func(c *carrier) bool { return c.machine.Phase() == attempt.PhaseFinished })
}

func (a *agent) link(address fleet.Address) *link {
	if known, found := a.links[address]; found {
		return known
	}
	created := &link{address: address}
	a.links[address] = created
	return created
}

// choose returns the router to ask: preferred ones, then the members by rank,
// then the seeds; those tried, failed or stopping come last.
func (a *agent) choose(key uint64, preferred []fleet.Address, tried map[fleet.Address]int) *link {
	const penaltyFailed, penaltyStopping = 1, 2
	addresses := slices.Clone(preferred)
	for _, member := range membership.Rank(key, a.zone, a.members) {
		addresses = append(addresses, member.Address)
	}
	addresses = append(addresses, a.rankedSeeds(key)...)
	var best *link
	bestPenalty := 0
	for _, address := range addresses {
		candidate := a.link(address)
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
	for _, address := range a.world.seeds() {
		seeds = append(seeds, membership.Member{Node: fleet.NodeID(address), Address: address, State: membership.Alive})
	}
	var addresses []fleet.Address
	for _, seed := range membership.Rank(key, "", seeds) {
		addresses = append(addresses, seed.Address)
	}
	return addresses
}

// heard notes a router's answer and starts an exchange if either side is behind.
func (a *agent) heard(by *link, revision fleet.Revision) {
	a.noteAnswer(by, revision)
	if revision != a.holder.Revision() {
		a.sync(by)
	}
}

func (a *agent) noteAnswer(by *link, revision fleet.Revision) {
	by.failures = 0
	by.retryAt = 0
	by.answered = true
	by.revision = revision
	a.seen = true
}

// failed notes that a router gave no answer, and releases the requests that
// wait there.
func (a *agent) failed(at *link) {
	at.answered = false
	waiting := at.placing
	at.placing = nil
	for _, open := range waiting {
		if !open.over {
			open.over = true
			open.done(nil, broken)
		}
	}
	if at.retryAt > a.now() {
		return
	}
	at.retryAt = a.now() + min(routerBackoff<<min(at.failures, maxBackoffShift), routerBackoffMax)
	at.failures++
}

// noteConfiguration records a configuration that has come into force.
func (a *agent) noteConfiguration() {
	view := a.holder.Current()
	if view == nil || view.Revision() == a.inForce {
		return
	}
	a.inForce = view.Revision()
	a.world.record(history.InForce{Node: a.node, Revision: view.Revision(), Digest: a.world.digest(view.Document())})
}
