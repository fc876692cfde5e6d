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
func (c *inFlightRequest) requestPlacement(action attempt.RequestPlacement) {
	if c.isFinished() {
		return
	}
	a := c.agent
	router := a.chooseRouter(c.prefixKey(), action.Preferred, c.tried)
	c.tried[router.address]++
	c.askedRouters[action.Attempt] = router
	target := a.world.routerAt(router.address)
	request := placement.Request{
		Key: placement.Key{Request: c.request.id, Attempt: action.Attempt}, Tenant: c.request.tenant, ModelVersion: c.version,
		Class: c.request.class, PromptTokens: prompt.CountTokens(c.request.prompt), MaxTokens: c.request.maxTokens,
		Blocks: slices.Clone(c.blockHashes), Deadline: max(c.deadline-a.now(), time.Millisecond), Excluded: action.Excluded,
		ContinuationTokens: action.ContinuationTokens, AgentZone: a.zone, Hops: c.handBacks, KnownRevision: a.holder.Revision(),
	}
	serve := func(reply func(any) time.Duration) { target.place(request, reply) }
	c.placementRouter = target
	c.placementKey = request.Key
	c.placementCall = a.world.network.call(&a.process, &target.process, c.maxWait+placementMargin, serve, func(answer any, outcome callOutcome) {
		if outcome != answered {
			a.recordFailure(router)
			c.handle(attempt.PlacementFailed{Operation: action.Operation}, "")
			return
		}
		c.handleAnswer(action, router, answer.(placementAnswer))
	})
	router.placementCalls = append(router.placementCalls, c.placementCall)
}

// withdrawPlacement withdraws the pending placement call of a request that has ended.
func (c *inFlightRequest) withdrawPlacement() {
	if c.placementCall == nil || c.placementCall.finished {
		return
	}
	c.placementCall.cancel()
	c.placementCall = nil
	target, key := c.placementRouter, c.placementKey
	c.agent.world.network.send(&c.agent.process, &target.process, func() { target.withdraw(key) })
}

// handleAnswer converts a router's answer into an event.
func (c *inFlightRequest) handleAnswer(action attempt.RequestPlacement, router *routerState, answer placementAnswer) {
	a := c.agent
	a.observeAnswer(router, answer.revision)
	switch outcome := answer.outcome.(type) {
	case placement.Grant:
		c.handleGrant(action, answer, outcome)
	case placement.HandBack:
		c.handBacks++
		c.handle(attempt.Redirected{Operation: action.Operation, Routers: answer.otherRouters}, "")
	case placement.Refusal:
		c.handleRefusal(action, router, outcome)
	}
}

func (c *inFlightRequest) handleGrant(action attempt.RequestPlacement, answer placementAnswer, grant placement.Grant) {
	event := attempt.Granted{
		Operation: action.Operation, Attempt: grant.Key.Attempt, Run: grant.Run, Address: grant.Address, Priority: grant.Priority,
		ValidUntil: c.agent.now() + grant.ValidFor,
	}
	expected := grant.ExpectedCachedTokens / max(grant.BlockTokens, 1)
	c.agent.world.record(history.Granted{
		Request: c.request.id, Attempt: action.Attempt, Router: answer.router, Run: grant.Run,
		ExpectedCachedBlocks: expected, NeverCachedBlocks: answer.neverCachedBlocks,
	})
	c.handle(event, "")
	c.duplicateLater(event)
}

// handleRefusal treats a refusal for lack of a configuration as a hand-back. If the request's
// version was retired while it waited and no output has been produced, the request continues with
// the current version.
func (c *inFlightRequest) handleRefusal(action attempt.RequestPlacement, router *routerState, refusal placement.Refusal) {
	handBack := attempt.Redirected{Operation: action.Operation}
	switch refusal.Code {
	case resultcode.NoConfiguration:
		c.agent.sync(router)
		c.handle(handBack, "")
		return
	case resultcode.StaleWeights:
		if action.ContinuationTokens == 0 && c.resolveVersion(c.agent.holder.Current()) {
			c.handle(handBack, "")
			return
		}
	}
	c.handle(attempt.Refused{
		Operation: action.Operation, Code: refusal.Code, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter,
	}, "")
}
