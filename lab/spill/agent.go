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

// agentHost is what an agent remembers from one request to the next.
type agentHost struct {
	world  *world
	near   membership.Location
	table  *affinity.Table
	failed map[fleet.NodeID]time.Duration
}

// rank orders the routers as the agent process does.
func (a *agentHost) rank(choice affinity.Choice, pool fleet.PoolName) []membership.Member {
	if a.world.options.Policy.ByPool {
		ranked, serving := a.world.pools.Rank(choice.Key(), pool, a.near)
		return choice.Order(ranked, serving)
	}
	return membership.Rank(choice.Key(), a.near.Zone, a.world.members)
}

// call is one request under way.
type call struct {
	agent   *agentHost
	request *workload.Request
	blocks  []fleet.BlockHash
	pool    fleet.PoolName
	choice  affinity.Choice
	tried   map[fleet.NodeID]int
	attempt fleet.Attempt
	asks    int
	hops    int
	spills  int
	// useless counts hand-backs by routers without an engine of the pool.
	useless   int
	saturated int
	at        *routerHost
	grant     placement.Grant
	ended     bool
}

func (a *agentHost) serve(request *workload.Request) {
	c := &call{
		agent: a, request: request, blocks: request.Blocks(blockTokens), tried: make(map[fleet.NodeID]int),
	}
	model, _ := a.world.view.Model(request.ModelVersion.Model)
	c.pool = model.Pool
	c.choice = a.table.Choose(a.world.queue.Now(), c.blocks, 0)
	c.ask()
}

// ask sends the question to the best router that was tried least.
func (c *call) ask() {
	w := c.agent.world
	c.asks++
	left := c.request.At + deadline - w.queue.Now()
	if c.asks > maxAsks || left <= 0 {
		c.end(endedFailed)
		return
	}
	c.at = c.choose()
	c.attempt++
	c.tried[c.at.member.Node]++
	question := placement.Request{
		Key:    placement.Key{Request: c.request.ID, Attempt: c.attempt},
		Tenant: c.request.Tenant, ModelVersion: c.request.ModelVersion, Class: c.request.Class,
		PromptTokens: c.request.PromptTokens(), MaxTokens: c.request.OutputTokens,
		Blocks: c.blocks, Deadline: left, AgentZone: c.agent.near.Zone, Hops: c.hops, Spills: c.spills, KnownRevision: 1,
	}
	at := c.at
	w.queue.After(latency, func() { at.submit(c, question) })
}

func (c *call) choose() *routerHost {
	now := c.agent.world.queue.Now()
	var best membership.Member
	least := -1
	for _, member := range c.agent.rank(c.choice, c.pool) {
		penalty := 2 * c.tried[member.Node]
		if c.agent.failed[member.Node] > now {
			penalty++
		}
		if least < 0 || penalty < least {
			best, least = member, penalty
		}
	}
	return c.agent.world.routerByNode[best.Node]
}

func (c *call) routerFailed() {
	c.agent.failed[c.at.member.Node] = c.agent.world.queue.Now() + routerBackoff
	c.ask()
}

// answered takes a router's outcome, as the agent process does.
func (c *call) answered(outcome placement.Outcome) {
	switch outcome := outcome.(type) {
	case placement.Grant:
		if c.spills > 0 && c.spills < affinity.MaxSpills {
			_, serving := c.agent.world.pools.Rank(c.choice.Key(), c.pool, c.agent.near)
			c.agent.table.RecordSpill(c.agent.world.queue.Now(), c.choice, serving)
		}
		c.spills = 0
		c.grant = outcome
		host := c.agent.world.engineByID[outcome.Run.Engine]
		c.agent.world.queue.After(latency, func() { host.dispatch(c, outcome) })
	case placement.Refusal:
		c.end(endedRefused)
	case placement.HandBack:
		c.handedBack(outcome.Reason)
	}
}

func (c *call) handedBack(reason placement.HandBackReason) {
	c.hops++
	if reason != placement.HandBackSaturated {
		c.useless++
		c.ask()
		return
	}
	c.saturated++
	c.spills++
	if c.spills >= affinity.MaxSpills {
		clear(c.tried)
	}
	c.ask()
}

func (c *call) report(phase placement.Phase) {
	at := c.at
	report := placement.AttemptReport{Key: c.grant.Key, Run: c.grant.Run, Phase: phase}
	c.agent.world.queue.After(latency, func() { at.report(report) })
}

func (c *call) sawFirstToken(event enginemodel.StreamEvent) {
	c.report(placement.PhaseFirstToken)
	c.agent.world.result.firstToken(c, event, c.agent.world.queue.Now()+latency)
}

func (c *call) end(how ending) {
	if !c.ended {
		c.ended = true
		c.agent.world.result.ended(c, how)
	}
}

func sortedCalls(waiting map[placement.Key]*call) []*call {
	calls := slices.Collect(maps.Values(waiting))
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return calls
}
