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

// place asks a router for an engine.
func (c *carrier) place(ask attempt.RequestPlacement) {
	if c.over() {
		return
	}
	a := c.agent
	at := a.choose(c.prefixKey(), ask.Preferred, c.tried)
	c.tried[at.address]++
	c.askedAt[ask.Attempt] = at
	target := a.world.routerAt(at.address)
	question := placement.Request{
		Key: placement.Key{Request: c.request.id, Attempt: ask.Attempt}, Tenant: c.request.tenant, ModelVersion: c.weights,
		Class: c.request.class, PromptTokens: prompt.CountTokens(c.request.prompt), MaxTokens: c.request.maxTokens,
		Blocks: slices.Clone(c.hashes), Deadline: max(c.deadline-a.now(), time.Millisecond), Excluded: ask.Excluded,
		ContinuationTokens: ask.ContinuationTokens, AgentZone: a.zone, Hops: c.handBacks, KnownRevision: a.holder.Revision(),
	}
	serve := func(reply func(any) time.Duration) { target.place(question, reply) }
	c.placingAt = target
	c.placingKey = question.Key
	c.placing = a.world.network.call(&a.process, &target.process, c.maxWait+placeMargin, serve, func(answer any, how failure) {
		if how != answered {
			a.failed(at)
			c.handle(attempt.PlacementFailed{Operation: ask.Operation}, "")
			return
		}
		c.placed(ask, at, answer.(placeAnswer))
	})
	at.placing = append(at.placing, c.placing)
}

// withdraw takes a question back whose request has ended.
func (c *carrier) withdraw() {
	if c.placing == nil || c.placing.over {
		return
	}
	c.placing.cancel()
	c.placing = nil
	target, key := c.placingAt, c.placingKey
	c.agent.world.network.send(&c.agent.process, &target.process, func() { target.withdraw(key) })
}

// placed turns a router's answer into an event.
func (c *carrier) placed(ask attempt.RequestPlacement, at *link, answer placeAnswer) {
	a := c.agent
	a.heard(at, answer.revision)
	switch outcome := answer.outcome.(type) {
	case placement.Grant:
		c.granted(ask, answer, outcome)
	case placement.HandBack:
		c.handBacks++
		c.handle(attempt.Redirected{Operation: ask.Operation, Routers: answer.others}, "")
	case placement.Refusal:
		c.refused(ask, at, outcome)
	}
}

func (c *carrier) granted(ask attempt.RequestPlacement, answer placeAnswer, grant placement.Grant) {
	event := attempt.Granted{
		Operation: ask.Operation, Attempt: grant.Key.Attempt, Run: grant.Run, Address: grant.Address, Priority: grant.Priority,
		ValidUntil: c.agent.now() + grant.ValidFor,
	}
	believed := grant.ExpectedCachedTokens / max(grant.BlockTokens, 1)
	c.agent.world.record(history.Granted{
		Request: c.request.id, Attempt: ask.Attempt, Router: answer.router, Run: grant.Run,
		BelievedBlocks: believed, UnfoundedBlocks: answer.unfounded,
	})
	c.handle(event, "")
	c.repeatLate(event)
}

// refused treats a router without a configuration as one that hands back, and
// moves a request whose version was retired while it waited to the new one.
func (c *carrier) refused(ask attempt.RequestPlacement, at *link, refusal placement.Refusal) {
	handBack := attempt.Redirected{Operation: ask.Operation}
	switch refusal.Code {
	case resultcode.NoConfiguration:
		c.agent.sync(at)
		c.handle(handBack, "")
		return
	case resultcode.StaleWeights:
		if ask.ContinuationTokens == 0 && c.resolve(c.agent.holder.Current()) {
			c.handle(handBack, "")
			return
		}
	}
	c.handle(attempt.Refused{
		Operation: ask.Operation, Code: refusal.Code, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter,
	}, "")
}
