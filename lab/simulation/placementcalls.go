package simulation

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/history"
)

// requestPlacement asks a router for an engine.
func (c *inFlightRequest) requestPlacement(ask attempt.RequestPlacement) {
	if c.isFinished() {
		return
	}
	a := c.agent
	at := a.chooseRouter(c.prefixKey(), ask.Preferred, c.tried)
	c.tried[at.address]++
	c.askedRouters[ask.Attempt] = at
	target := a.world.routerAt(at.address)
	question := placement.Request{
		Key: placement.Key{Request: c.request.id, Attempt: ask.Attempt}, Tenant: c.request.tenant, ModelVersion: c.version,
		Class: c.request.class, PromptTokens: prompt.CountTokens(c.request.prompt), MaxTokens: c.request.maxTokens,
		Blocks: slices.Clone(c.blockHashes), Deadline: max(c.deadline-a.now(), time.Millisecond), Excluded: ask.Excluded,
		ContinuationTokens: ask.ContinuationTokens, AgentZone: a.zone, Hops: c.handBacks, KnownRevision: a.holder.Revision(),
	}
	serve := func(reply func(any) time.Duration) { target.place(question, reply) }
	c.placementRouter = target
	c.placementKey = question.Key
	c.placementCall = a.world.network.call(&a.process, &target.process, c.maxWait+placementMargin, serve, func(answer any, outcome callOutcome) {
		if outcome != answered {
			a.recordFailure(at)
			c.handle(attempt.PlacementFailed{Operation: ask.Operation}, "")
			return
		}
		c.handleAnswer(ask, at, answer.(placementAnswer))
	})
	at.placementCalls = append(at.placementCalls, c.placementCall)
}

// withdrawPlacement takes a question back whose request has ended.
func (c *inFlightRequest) withdrawPlacement() {
	if c.placementCall == nil || c.placementCall.finished {
		return
	}
	c.placementCall.cancel()
	c.placementCall = nil
	target, key := c.placementRouter, c.placementKey
	c.agent.world.network.send(&c.agent.process, &target.process, func() { target.withdraw(key) })
}

// handleAnswer turns a router's answer into an event.
func (c *inFlightRequest) handleAnswer(ask attempt.RequestPlacement, at *routerState, answer placementAnswer) {
	a := c.agent
	a.observeAnswer(at, answer.revision)
	switch outcome := answer.outcome.(type) {
	case placement.Grant:
		c.handleGrant(ask, answer, outcome)
	case placement.HandBack:
		c.handBacks++
		c.handle(attempt.Redirected{Operation: ask.Operation, Routers: answer.otherRouters}, "")
	case placement.Refusal:
		c.handleRefusal(ask, at, outcome)
	}
}

func (c *inFlightRequest) handleGrant(ask attempt.RequestPlacement, answer placementAnswer, grant placement.Grant) {
	event := attempt.Granted{
		Operation: ask.Operation, Attempt: grant.Key.Attempt, Run: grant.Run, Address: grant.Address, Priority: grant.Priority,
		ValidUntil: c.agent.now() + grant.ValidFor,
	}
	believed := grant.ExpectedCachedTokens / max(grant.BlockTokens, 1)
	c.agent.world.record(history.Granted{
		Request: c.request.id, Attempt: ask.Attempt, Router: answer.router, Run: grant.Run,
		ExpectedCachedBlocks: believed, NeverCachedBlocks: answer.neverCachedBlocks,
	})
	c.handle(event, "")
	c.duplicateLater(event)
}

// handleRefusal treats a router without a configuration as one that hands back, and
// moves a request whose version was retired while it waited to the new one.
func (c *inFlightRequest) handleRefusal(ask attempt.RequestPlacement, at *routerState, refusal placement.Refusal) {
	handBack := attempt.Redirected{Operation: ask.Operation}
	switch refusal.Code {
	case resultcode.NoConfiguration:
		c.agent.sync(at)
		c.handle(handBack, "")
		return
	case resultcode.StaleWeights:
		if ask.ContinuationTokens == 0 && c.resolveVersion(c.agent.holder.Current()) {
			c.handle(handBack, "")
			return
		}
	}
	c.handle(attempt.Refused{
		Operation: ask.Operation, Code: refusal.Code, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter,
	}, "")
}
