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

func (d *requestDriver) start() {
	queue := d.agent.emulator.queue
	d.perform(d.machine.Start(queue.Now()))
	deadline := d.call.request.At + settingsByClass[d.call.request.Class].deadline
	queue.At(deadline, func() {
		if d.machine.Phase() != attempt.PhaseFinished {
			d.handle(attempt.DeadlinePassed{})
		}
	})
}

func (d *requestDriver) handle(event attempt.Event) {
	d.perform(d.machine.Handle(d.agent.emulator.queue.Now(), event))
}

func (d *requestDriver) perform(actions []attempt.Action) {
	for _, action := range actions {
		d.performAction(action)
	}
}

func (d *requestDriver) performAction(action attempt.Action) {
	queue := d.agent.emulator.queue
	switch action := action.(type) {
	case attempt.RequestPlacement:
		queue.After(action.Delay, func() { d.requestPlacement(action) })
	case attempt.Dispatch:
		host := d.agent.emulator.engineByID[action.Run.Engine]
		d.call.dispatchedAt = queue.Now() - d.call.request.At
		queue.After(d.latency(host), func() { host.dispatch(d, action) })
	case attempt.Resume:
		host := d.agent.emulator.engineByID[action.Run.Engine]
		queue.After(action.Delay+d.latency(host), func() { host.resume(d, action) })
	case attempt.CancelAndFence:
		host := d.agent.emulator.engineByID[action.Run.Engine]
		queue.After(action.Delay+d.latency(host), func() { host.cancel(d, action) })
	case attempt.EmitToken:
		d.recordToken()
	case attempt.Report:
		d.agent.report(d.routerByAttempt[action.Attempt], d.attemptReport(action))
	case attempt.Finish:
		d.end(EndingFinished, 0)
	case attempt.Fail:
		d.fail(action)
	}
}

func (d *requestDriver) latency(host *engineHost) time.Duration {
	return d.agent.emulator.network.fromAgent(d.agent.zone, host.machine.Zone)
}

// requestPlacement sends a placement request to the least tried router, the best ranked among equal
// ones.
func (d *requestDriver) requestPlacement(action attempt.RequestPlacement) {
	if d.machine.Phase() == attempt.PhaseFinished {
		return
	}
	chosen := d.routers[0]
	for _, router := range d.routers[1:] {
		if d.triesByRouter[router.index] < d.triesByRouter[chosen.index] {
			chosen = router
		}
	}
	d.triesByRouter[chosen.index]++
	d.routerByAttempt[action.Attempt] = chosen
	d.lastKey = placement.Key{Request: d.id, Attempt: action.Attempt}
	request := d.call.request
	placementRequest := placement.Request{
		Key:                d.lastKey,
		Tenant:             request.Tenant,
		ModelVersion:       request.ModelVersion,
		Class:              request.Class,
		PromptTokens:       d.call.promptTokens,
		MaxTokens:          request.OutputTokens,
		Blocks:             d.call.blocks,
		Deadline:           request.At + settingsByClass[request.Class].deadline - d.agent.emulator.queue.Now(),
		Excluded:           action.Excluded,
		ContinuationTokens: action.ContinuationTokens,
		AgentZone:          d.agent.zone,
		Hops:               d.handBacks,
		Spills:             d.spills,
		KnownRevision:      1,
	}
	d.agent.emulator.queue.After(chosen.latency(d.agent.zone), func() {
		chosen.submit(d, action.Operation, placementRequest)
	})
}

// handleOutcome processes a router's placement outcome.
func (d *requestDriver) handleOutcome(operation attempt.Operation, outcome placement.Outcome) {
	switch outcome := outcome.(type) {
	case placement.Grant:
		d.recordGrant()
		d.handle(attempt.Granted{
			Operation:  operation,
			Attempt:    outcome.Key.Attempt,
			Run:        outcome.Run,
			Address:    outcome.Address,
			Priority:   outcome.Priority,
			ValidUntil: d.agent.emulator.queue.Now() + outcome.ValidFor,
		})
	case placement.Refusal:
		d.handle(attempt.Refused{
			Operation:  operation,
			Code:       outcome.Code,
			Reason:     outcome.Reason,
			RetryAfter: outcome.RetryAfter,
		})
	case placement.HandBack:
		d.recordHandBack(outcome)
		d.handle(attempt.Redirected{Operation: operation})
	}
}

// recordHandBack counts a hand-back. After affinity.MaxSpills saturated routers in a row the request
// returns to its first choice and waits there.
func (d *requestDriver) recordHandBack(handBack placement.HandBack) {
	d.handBacks++
	if handBack.Reason != placement.HandBackSaturated {
		return
	}
	d.spills++
	if d.spills >= affinity.MaxSpills {
		clear(d.triesByRouter)
	}
}

// recordGrant records a spill in the affinity table if another router placed the request after a
// saturated one handed it back.
func (d *requestDriver) recordGrant() {
	if d.spills > 0 && d.spills < affinity.MaxSpills {
		d.agent.ranking.recordSpill(d.agent.emulator.queue.Now(), d.choice)
	}
	d.spills = 0
}

var reportPhases = map[attempt.ReportPhase]placement.Phase{
	attempt.ReportAccepted:   placement.PhaseAccepted,
	attempt.ReportFirstToken: placement.PhaseFirstToken,
	attempt.ReportFinished:   placement.PhaseFinished,
	attempt.ReportFailed:     placement.PhaseFailed,
	attempt.ReportAbandoned:  placement.PhaseAbandoned,
}

func (d *requestDriver) attemptReport(report attempt.Report) placement.AttemptReport {
	return placement.AttemptReport{
		Key:          placement.Key{Request: d.id, Attempt: report.Attempt},
		Run:          report.Run,
		Phase:        reportPhases[report.Phase],
		CachedTokens: report.CachedTokens,
		OutputTokens: report.OutputTokens,
		EngineLost:   report.EngineLost,
	}
}

func (d *requestDriver) recordToken() {
	if d.call.hasFirstToken {
		return
	}
	d.call.hasFirstToken = true
	d.call.firstToken = d.agent.emulator.queue.Now() - d.call.request.At
}

func (d *requestDriver) fail(action attempt.Fail) {
	switch {
	case action.NotRun():
		d.handleRefusal(action)
	case action.Code == resultcode.DeadlineExceeded:
		d.end(EndingExpired, action.Code)
	default:
		d.end(EndingFailed, action.Code)
	}
}

// handleRefusal lets the caller retry once after the given delay, if its deadline allows.
func (d *requestDriver) handleRefusal(action attempt.Fail) {
	queue := d.agent.emulator.queue
	if d.call.refusals == 0 {
		d.call.refusedAfter = queue.Now() - d.call.request.At
	}
	d.call.refusals++
	d.call.retryAfter = action.RetryAfter
	retryAt := queue.Now() + action.RetryAfter
	deadline := d.call.request.At + settingsByClass[d.call.request.Class].deadline
	if d.call.callerRetried || action.RetryAfter <= 0 || retryAt >= deadline {
		d.end(EndingRefused, action.Code)
		return
	}
	d.call.callerRetried = true
	d.addStats()
	queue.At(retryAt, func() { newRequestDriver(d.agent, d.call, d.id+"-again").start() })
}

func (d *requestDriver) addStats() {
	stats := d.machine.Stats()
	d.call.stats.Dispatches += stats.Dispatches
	d.call.stats.Retries += stats.Retries
}

func (d *requestDriver) end(ending Ending, code resultcode.Code) {
	d.addStats()
	d.call.ending = ending
	d.call.code = code
	d.call.finished = d.agent.emulator.queue.Now() - d.call.request.At
	d.withdraw()
	d.agent.emulator.requestEnded(d.call)
}

// withdraw cancels the last placement request if it is still open.
func (d *requestDriver) withdraw() {
	router, key := d.routerByAttempt[d.lastKey.Attempt], d.lastKey
	if router != nil {
		d.agent.emulator.queue.After(router.latency(d.agent.zone), func() { router.withdraw(key) })
	}
}
