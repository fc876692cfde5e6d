package emulator

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/affinity"
	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// carrier carries out the actions of one request's machine, as the agent does.
type carrier struct {
	agent   *agentHost
	call    *call
	id      fleet.RequestID
	machine *attempt.Machine
	choice  affinity.Choice
	ranked  []*routerHost
	tried   []int
	asked   map[fleet.Attempt]*routerHost
	last    placement.Key
	// handBacks counts the hand-backs, spills those of saturated routers in a row.
	handBacks int
	spills    int
}

func newCarrier(agent *agentHost, call *call, id fleet.RequestID) *carrier {
	request := attempt.Request{
		ID:         id,
		Repeatable: !call.request.NonRepeatable,
		Deadline:   call.request.At + termsOf[call.request.Class].deadline,
	}
	choice := agent.ranking.choose(agent.emulator.queue.Now(), call.blocks)
	return &carrier{
		agent:   agent,
		call:    call,
		id:      id,
		machine: attempt.New(request, agent.policy, agent.budget, agent.random),
		choice:  choice,
		ranked:  agent.ranking.rank(choice),
		tried:   make([]int, len(agent.emulator.routers)),
		asked:   make(map[fleet.Attempt]*routerHost),
	}
}

func (c *carrier) start() {
	queue := c.agent.emulator.queue
	c.perform(c.machine.Start(queue.Now()))
	deadline := c.call.request.At + termsOf[c.call.request.Class].deadline
	queue.At(deadline, func() {
		if c.machine.Phase() != attempt.PhaseFinished {
			c.handle(attempt.DeadlinePassed{})
		}
	})
}

func (c *carrier) handle(event attempt.Event) {
	c.perform(c.machine.Handle(c.agent.emulator.queue.Now(), event))
}

func (c *carrier) perform(actions []attempt.Action) {
	for _, action := range actions {
		c.act(action)
	}
}

func (c *carrier) act(action attempt.Action) {
	queue := c.agent.emulator.queue
	switch action := action.(type) {
	case attempt.RequestPlacement:
		queue.After(action.Delay, func() { c.ask(action) })
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
		c.noteToken()
	case attempt.Report:
		c.agent.report(c.asked[action.Attempt], c.attemptReport(action))
	case attempt.Finish:
		c.end(EndingFinished, 0)
	case attempt.Fail:
		c.fail(action)
	}
}

func (c *carrier) latency(host *engineHost) time.Duration {
	return c.agent.emulator.network.fromAgent(c.agent.zone, host.machine.Zone)
}

// ask sends the question to the best router that was tried least.
func (c *carrier) ask(action attempt.RequestPlacement) {
	if c.machine.Phase() == attempt.PhaseFinished {
		return
	}
	chosen := c.ranked[0]
	for _, router := range c.ranked[1:] {
		if c.tried[router.index] < c.tried[chosen.index] {
			chosen = router
		}
	}
	c.tried[chosen.index]++
	c.asked[action.Attempt] = chosen
	c.last = placement.Key{Request: c.id, Attempt: action.Attempt}
	request := c.call.request
	question := placement.Request{
		Key:                c.last,
		Tenant:             request.Tenant,
		ModelVersion:       request.ModelVersion,
		Class:              request.Class,
		PromptTokens:       c.call.promptTokens,
		MaxTokens:          request.OutputTokens,
		Blocks:             c.call.blocks,
		Deadline:           request.At + termsOf[request.Class].deadline - c.agent.emulator.queue.Now(),
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

// answered takes a router's outcome.
func (c *carrier) answered(operation attempt.Operation, outcome placement.Outcome) {
	switch outcome := outcome.(type) {
	case placement.Grant:
		c.noteGrant()
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
		c.noteHandBack(outcome)
		c.handle(attempt.Redirected{Operation: operation})
	}
}

// noteHandBack counts a hand-back. When several routers are saturated, the
// request goes back to its first choice and waits there.
func (c *carrier) noteHandBack(handBack placement.HandBack) {
	c.handBacks++
	if handBack.Reason != placement.HandBackSaturated {
		return
	}
	c.spills++
	if c.spills >= affinity.MaxSpills {
		clear(c.tried)
	}
}

// noteGrant widens the prefix's routing if another router than the saturated
// one had room.
func (c *carrier) noteGrant() {
	if c.spills > 0 && c.spills < affinity.MaxSpills {
		c.agent.ranking.spilled(c.agent.emulator.queue.Now(), c.choice)
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

func (c *carrier) attemptReport(report attempt.Report) placement.AttemptReport {
	return placement.AttemptReport{
		Key:          placement.Key{Request: c.id, Attempt: report.Attempt},
		Run:          report.Run,
		Phase:        reportPhases[report.Phase],
		CachedTokens: report.CachedTokens,
		OutputTokens: report.OutputTokens,
		EngineLost:   report.EngineLost,
	}
}

func (c *carrier) noteToken() {
	if c.call.gotToken {
		return
	}
	c.call.gotToken = true
	c.call.firstToken = c.agent.emulator.queue.Now() - c.call.request.At
}

func (c *carrier) fail(action attempt.Fail) {
	switch {
	case action.NotRun():
		c.refused(action)
	case action.Code == resultcode.DeadlineExceeded:
		c.end(EndingExpired, action.Code)
	default:
		c.end(EndingFailed, action.Code)
	}
}

// refused lets the caller come back once, after the time that it was told, if
// its deadline lets it.
func (c *carrier) refused(action attempt.Fail) {
	queue := c.agent.emulator.queue
	if c.call.refusals == 0 {
		c.call.refusedAfter = queue.Now() - c.call.request.At
	}
	c.call.refusals++
	c.call.retryAfter = action.RetryAfter
	back := queue.Now() + action.RetryAfter
	deadline := c.call.request.At + termsOf[c.call.request.Class].deadline
	if c.call.returned || action.RetryAfter <= 0 || back >= deadline {
		c.end(EndingRefused, action.Code)
		return
	}
	c.call.returned = true
	c.addStats()
	queue.At(back, func() { newCarrier(c.agent, c.call, c.id+"-again").start() })
}

func (c *carrier) addStats() {
	stats := c.machine.Stats()
	c.call.stats.Dispatches += stats.Dispatches
	c.call.stats.Retries += stats.Retries
}

func (c *carrier) end(ending Ending, code resultcode.Code) {
	c.addStats()
	c.call.ending = ending
	c.call.code = code
	c.call.finished = c.agent.emulator.queue.Now() - c.call.request.At
	c.withdraw()
	c.agent.emulator.ended(c.call)
}

// withdraw takes back the last question, in case it is still open.
func (c *carrier) withdraw() {
	router, key := c.asked[c.last.Attempt], c.last
	if router != nil {
		c.agent.emulator.queue.After(router.latency(c.agent.zone), func() { router.withdraw(key) })
	}
}
