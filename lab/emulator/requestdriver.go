package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// requestDriver performs the actions of one request's attempt.Machine, as the agent process does.
type requestDriver struct {
	agent           *agentHost
	call            *call
	id              fleet.RequestID
	machine         *attempt.Machine
	choice          affinity.Choice
	routers         []*routerHost
	triesByRouter   []int
	routerByAttempt map[fleet.Attempt]*routerHost
	lastKey         placement.Key
	// handBacks counts all hand-backs, spills the consecutive ones of saturated routers.
	handBacks int
	spills    int
}

func newRequestDriver(agent *agentHost, call *call, id fleet.RequestID) *requestDriver {
	request := attempt.Request{
		ID:         id,
		Repeatable: !call.request.NonRepeatable,
		Deadline:   call.request.At + settingsByClass[call.request.Class].deadline,
	}
	choice := agent.ranking.choose(agent.emulator.queue.Now(), call.blocks)
	return &requestDriver{
		agent:           agent,
		call:            call,
		id:              id,
		machine:         attempt.New(request, agent.policy, agent.budget, agent.random),
		choice:          choice,
		routers:         agent.ranking.rank(choice),
		triesByRouter:   make([]int, len(agent.emulator.routers)),
		routerByAttempt: make(map[fleet.Attempt]*routerHost),
	}
}

func (c *requestDriver) start() {
	queue := c.agent.emulator.queue
	c.perform(c.machine.Start(queue.Now()))
	deadline := c.call.request.At + settingsByClass[c.call.request.Class].deadline
	queue.At(deadline, func() {
		if c.machine.Phase() != attempt.PhaseFinished {
			c.handle(attempt.DeadlinePassed{})
		}
	})
}

func (c *requestDriver) handle(event attempt.Event) {
	c.perform(c.machine.Handle(c.agent.emulator.queue.Now(), event))
}

func (c *requestDriver) perform(actions []attempt.Action) {
	for _, action := range actions {
		c.performAction(action)
	}
}

func (c *requestDriver) performAction(action attempt.Action) {
	queue := c.agent.emulator.queue
	switch action := action.(type) {
	case attempt.RequestPlacement:
		queue.After(action.Delay, func() { c.requestPlacement(action) })
	case attempt.Dispatch:
		host := c.agent.emulator.engineByID[action.Run.Engine]
		c.call.dispatchedAt = queue.Now() - c.call.request.At
		queue.After(c.latency(host), func() { host.dispatch(c, action) })
	case attempt.Resume:
		host := c.agent.emulator.engineByID[action.Run.Engine]
		queue.After(action.Delay+c.latency(host), func() { host.resume(c, action) })
	case attempt.CancelAndFence:
		host := c.agent.emulator.engineByID[action.Run.Engine]
		queue.After(action.Delay+c.latency(host), func() { host.cancel(c, action) })
	case attempt.EmitToken:
		c.recordToken()
	case attempt.Report:
		c.agent.report(c.routerByAttempt[action.Attempt], c.attemptReport(action))
	case attempt.Finish:
		c.end(EndingFinished, 0)
	case attempt.Fail:
		c.fail(action)
	}
}

func (c *requestDriver) latency(host *engineHost) time.Duration {
	return c.agent.emulator.network.fromAgent(c.agent.zone, host.machine.Zone)
}

// requestPlacement sends a placement request to the least tried router, the best ranked among equal
// ones.
func (c *requestDriver) requestPlacement(action attempt.RequestPlacement) {
	if c.machine.Phase() == attempt.PhaseFinished {
		return
	}
	chosen := c.routers[0]
	for _, router := range c.routers[1:] {
		if c.triesByRouter[router.index] < c.triesByRouter[chosen.index] {
			chosen = router
		}
	}
	c.triesByRouter[chosen.index]++
	c.routerByAttempt[action.Attempt] = chosen
	c.lastKey = placement.Key{Request: c.id, Attempt: action.Attempt}
	request := c.call.request
	question := placement.Request{
		Key:                c.lastKey,
		Tenant:             request.Tenant,
		ModelVersion:       request.Weights,
		Class:              request.Class,
		PromptTokens:       c.call.promptTokens,
		MaxTokens:          request.OutputTokens,
		Blocks:             c.call.blocks,
		Deadline:           request.At + settingsByClass[request.Class].deadline - c.agent.emulator.queue.Now(),
		Excluded:           action.Excluded,
		ContinuationTokens: action.ContinuationTokens,
		AgentZone:          c.agent.zone,
		Hops:               c.handBacks,
		Spills:             c.spills,
		KnownRevision:      1,
	}
	c.agent.emulator.queue.After(chosen.latency(c.agent.zone), func() {
		chosen.submit(c, action.Operation, question)
	})
}

// handleOutcome processes a router's placement outcome.
func (c *requestDriver) handleOutcome(operation attempt.Operation, outcome placement.Outcome) {
	switch outcome := outcome.(type) {
	case placement.Grant:
		c.recordGrant()
		c.handle(attempt.Granted{
			Operation:  operation,
			Attempt:    outcome.Key.Attempt,
			Run:        outcome.Run,
			Address:    outcome.Address,
			Priority:   outcome.Priority,
			ValidUntil: c.agent.emulator.queue.Now() + outcome.ValidFor,
		})
	case placement.Refusal:
		c.handle(attempt.Refused{
			Operation:  operation,
			Code:       outcome.Code,
			Reason:     outcome.Reason,
			RetryAfter: outcome.RetryAfter,
		})
	case placement.HandBack:
		c.recordHandBack(outcome)
		c.handle(attempt.Redirected{Operation: operation})
	}
}

// recordHandBack counts a hand-back. After affinity.MaxSpills saturated routers in a row the request
// returns to its first choice and waits there.
func (c *requestDriver) recordHandBack(handBack placement.HandBack) {
	c.handBacks++
	if handBack.Reason != placement.HandBackSaturated {
		return
	}
	c.spills++
	if c.spills >= affinity.MaxSpills {
		clear(c.triesByRouter)
	}
}

// recordGrant records a spill in the affinity table if another router placed the request after a
// saturated one handed it back.
func (c *requestDriver) recordGrant() {
	if c.spills > 0 && c.spills < affinity.MaxSpills {
		c.agent.ranking.recordSpill(c.agent.emulator.queue.Now(), c.choice)
	}
	c.spills = 0
}

var reportPhases = map[attempt.ReportPhase]placement.Phase{
	attempt.ReportAccepted:   placement.PhaseAccepted,
	attempt.ReportFirstToken: placement.PhaseFirstToken,
	attempt.ReportFinished:   placement.PhaseFinished,
	attempt.ReportFailed:     placement.PhaseFailed,
	attempt.ReportAbandoned:  placement.PhaseAbandoned,
}

func (c *requestDriver) attemptReport(report attempt.Report) placement.AttemptReport {
	return placement.AttemptReport{
		Key:          placement.Key{Request: c.id, Attempt: report.Attempt},
		Run:          report.Run,
		Phase:        reportPhases[report.Phase],
		CachedTokens: report.CachedTokens,
		OutputTokens: report.OutputTokens,
		EngineLost:   report.EngineLost,
	}
}

func (c *requestDriver) recordToken() {
	if c.call.hasFirstToken {
		return
	}
	c.call.hasFirstToken = true
	c.call.firstToken = c.agent.emulator.queue.Now() - c.call.request.At
}

func (c *requestDriver) fail(action attempt.Fail) {
	switch {
	case action.NotRun():
		c.handleRefusal(action)
	case action.Code == resultcode.DeadlineExceeded:
		c.end(EndingExpired, action.Code)
	default:
		c.end(EndingFailed, action.Code)
	}
}

// handleRefusal lets the caller retry once after the given delay, if its deadline allows.
func (c *requestDriver) handleRefusal(action attempt.Fail) {
	queue := c.agent.emulator.queue
	if c.call.refusals == 0 {
		c.call.refusedAfter = queue.Now() - c.call.request.At
	}
	c.call.refusals++
	c.call.retryAfter = action.RetryAfter
	back := queue.Now() + action.RetryAfter
	deadline := c.call.request.At + settingsByClass[c.call.request.Class].deadline
	if c.call.callerRetried || action.RetryAfter <= 0 || back >= deadline {
		c.end(EndingRefused, action.Code)
		return
	}
	c.call.callerRetried = true
	c.addStats()
	queue.At(back, func() { newRequestDriver(c.agent, c.call, c.id+"-again").start() })
}

func (c *requestDriver) addStats() {
	stats := c.machine.Stats()
	c.call.stats.Dispatches += stats.Dispatches
	c.call.stats.Retries += stats.Retries
}

func (c *requestDriver) end(ending Ending, code resultcode.Code) {
	c.addStats()
	c.call.ending = ending
	c.call.code = code
	c.call.finished = c.agent.emulator.queue.Now() - c.call.request.At
	c.withdraw()
	c.agent.emulator.requestEnded(c.call)
}

// withdraw cancels the last placement request if it is still open.
func (c *requestDriver) withdraw() {
	router, key := c.routerByAttempt[c.lastKey.Attempt], c.lastKey
	if router != nil {
		c.agent.emulator.queue.After(router.latency(c.agent.zone), func() { router.withdraw(key) })
	}
}
