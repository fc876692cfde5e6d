package spill

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// agentHost is a simulated agent's state across requests.
type agentHost struct {
	world    *world
	location membership.Location
	table    *affinity.Table
	failed   map[fleet.NodeID]time.Duration
}

// rank orders the routers in the same way as the agent process.
func (a *agentHost) rank(choice affinity.Choice, pool fleet.PoolName) []membership.Member {
	if a.world.options.Policy.ByPool {
		ranked, serving := a.world.pools.Rank(choice.Key(), pool, a.location)
		return choice.Order(ranked, serving)
	}
	return membership.Rank(choice.Key(), a.location.Zone, a.world.members)
}

// call is a request in flight.
type call struct {
	agent          *agentHost
	request        *workload.Request
	blocks         []fleet.BlockHash
	pool           fleet.PoolName
	choice         affinity.Choice
	tried          map[fleet.NodeID]int
	attempt        fleet.Attempt
	placementCalls int
	hops           int
	spills         int
	// unservedHandBacks counts the hand-backs by routers without an engine of the pool.
	unservedHandBacks  int
	saturatedHandBacks int
	router             *routerHost
	grant              placement.Grant
	ended              bool
}

func (a *agentHost) serve(request *workload.Request) {
	c := &call{
		agent: a, request: request, blocks: request.Blocks(blockTokens), tried: make(map[fleet.NodeID]int),
	}
	model, _ := a.world.view.Model(request.ModelVersion.Model)
	c.pool = model.Pool
	c.choice = a.table.Choose(a.world.queue.Now(), c.blocks, 0)
	c.requestPlacement()
}

// requestPlacement asks the highest-ranked of the least-tried routers for an engine.
func (c *call) requestPlacement() {
	w := c.agent.world
	c.placementCalls++
	remaining := c.request.At + requestTimeout - w.queue.Now()
	if c.placementCalls > maxPlacementCalls || remaining <= 0 {
		c.end(resultFailed)
		return
	}
	c.router = c.chooseRouter()
	c.attempt++
	c.tried[c.router.member.Node]++
	request := placement.Request{
		Key:    placement.Key{Request: c.request.ID, Attempt: c.attempt},
		Tenant: c.request.Tenant, ModelVersion: c.request.ModelVersion, Class: c.request.Class,
		PromptTokens: c.request.PromptTokens(), MaxTokens: c.request.OutputTokens,
		Blocks: c.blocks, Deadline: remaining, AgentZone: c.agent.location.Zone, Hops: c.hops, Spills: c.spills, KnownRevision: 1,
	}
	router := c.router
	w.queue.After(latency, func() { router.submit(c, request) })
}

func (c *call) chooseRouter() *routerHost {
	now := c.agent.world.queue.Now()
	var best membership.Member
	lowestPenalty := -1
	for _, member := range c.agent.rank(c.choice, c.pool) {
		penalty := 2 * c.tried[member.Node]
		if c.agent.failed[member.Node] > now {
			penalty++
		}
		if lowestPenalty < 0 || penalty < lowestPenalty {
			best, lowestPenalty = member, penalty
		}
	}
	return c.agent.world.routerByNode[best.Node]
}

func (c *call) handleRouterFailure() {
	c.agent.failed[c.router.member.Node] = c.agent.world.queue.Now() + routerBackoff
	c.requestPlacement()
}

// handleOutcome handles a router's outcome in the same way as the agent process.
func (c *call) handleOutcome(outcome placement.Outcome) {
	switch outcome := outcome.(type) {
	case placement.Grant:
		if c.spills > 0 && c.spills < affinity.MaxSpills {
			_, serving := c.agent.world.pools.Rank(c.choice.Key(), c.pool, c.agent.location)
			c.agent.table.RecordSpill(c.agent.world.queue.Now(), c.choice, serving)
		}
		c.spills = 0
		c.grant = outcome
		host := c.agent.world.engineByID[outcome.Run.Engine]
		c.agent.world.queue.After(latency, func() { host.dispatch(c, outcome) })
	case placement.Refusal:
		c.end(resultRefused)
	case placement.HandBack:
		c.handleHandBack(outcome.Reason)
	}
}

func (c *call) handleHandBack(reason placement.HandBackReason) {
	c.hops++
	if reason != placement.HandBackSaturated {
		c.unservedHandBacks++
		c.requestPlacement()
		return
	}
	c.saturatedHandBacks++
	c.spills++
	if c.spills >= affinity.MaxSpills {
		clear(c.tried)
	}
	c.requestPlacement()
}

func (c *call) report(phase placement.Phase) {
	router := c.router
	report := placement.AttemptReport{Key: c.grant.Key, Run: c.grant.Run, Phase: phase}
	c.agent.world.queue.After(latency, func() { router.report(report) })
}

func (c *call) handleFirstToken(event enginemodel.StreamEvent) {
	c.report(placement.PhaseFirstToken)
	c.agent.world.result.recordFirstToken(c, event, c.agent.world.queue.Now()+latency)
}

func (c *call) end(result requestResult) {
	if !c.ended {
		c.ended = true
		c.agent.world.result.recordEnd(c, result)
	}
}

func sortedCalls(waiting map[placement.Key]*call) []*call {
	calls := slices.Collect(maps.Values(waiting))
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return calls
}
