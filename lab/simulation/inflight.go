package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/history"
)

// request is a caller's request.
type request struct {
	id         fleet.RequestID
	tenant     fleet.TenantName
	class      fleet.ClassName
	prompt     string
	maxTokens  int
	repeatable bool
	timeout    time.Duration
}

// placementMargin is added to a class's maximum wait to give the timeout of a placement call.
const placementMargin = 5 * time.Second

// inFlightRequest drives the attempt machine of one request at an agent.
type inFlightRequest struct {
	agent *agent
	// generation is that of the agent process that the request belongs to.
	generation   int
	request      request
	deadline     time.Duration
	machine      *attempt.Machine
	maxWait      time.Duration
	version      fleet.ModelVersion
	blockHashes  []fleet.BlockHash
	tried        map[fleet.Address]int
	askedRouters map[fleet.Attempt]*routerState
	// placementCall is the pending placement call, connection the connection being read.
	placementCall   *call
	placementRouter *router
	placementKey    placement.Key
	connection      *connection
	handBacks       int
	stream          fleet.StreamID
}

// serve accepts a request from a caller. It returns false if the agent accepts none at the moment.
func (a *agent) serve(incoming request) bool {
	if !a.alive || a.stopping || a.now() < a.frozenUntil {
		return false
	}
	w := a.world
	c := &inFlightRequest{
		agent: a, generation: a.generation, request: incoming, deadline: a.now() + incoming.timeout,
		tried: make(map[fleet.Address]int), askedRouters: make(map[fleet.Attempt]*routerState),
	}
	w.record(history.Requested{
		Request: incoming.id, Agent: a.node, Tenant: incoming.tenant, Class: incoming.class,
		Prompt: history.PromptText(incoming.prompt), MaxTokens: incoming.maxTokens,
		Repeatable: incoming.repeatable, Deadline: c.deadline,
	})
	view := a.holder.Current()
	if view == nil {
		w.record(history.Failed{Request: incoming.id, Code: resultcode.NoConfiguration, NotRun: true, Reason: "no configuration is known yet"})
		return true
	}
	c.resolveVersion(view)
	repeatable := incoming.repeatable || w.options.Variant == RepeatEverything
	c.machine = attempt.New(
		attempt.Request{ID: incoming.id, Repeatable: repeatable, Deadline: c.deadline},
		attempt.Policy{MaxPlacements: maxPlacements}, a.budget, w.random,
	)
	a.inFlight = append(a.inFlight, c)
	if w.options.Variant != ForgetDeadline {
		c.after(incoming.timeout, func() { c.handle(attempt.DeadlinePassed{}, "") })
	}
	if w.random.Float64() < disconnectChance {
		c.after(time.Duration(w.random.Int64N(int64(incoming.timeout))), func() { c.handle(attempt.CallerGone{}, "") })
	}
	c.perform(c.machine.Start(a.now()))
	return true
}

// resolveVersion resolves the model version under a configuration and reports whether it changed.
func (c *inFlightRequest) resolveVersion(view *config.View) bool {
	version, resolved, found := view.ResolveModel(string(model))
	if !found || version == c.version {
		return false
	}
	class, _ := view.Class(c.request.class)
	c.maxWait = time.Duration(class.MaxWait)
	c.version = version
	scope := fleet.CacheScope{Tenant: c.request.tenant, ModelVersion: version}
	c.blockHashes = prompt.HashBlocks(scope, c.request.prompt, resolved.BlockTokens)
	c.agent.world.record(history.Resolved{Request: c.request.id, Version: version, Revision: view.Revision()})
	return true
}

// run performs a step, unless the agent process has ended.
func (c *inFlightRequest) run(step func()) { c.agent.run(c.generation, step) }

// after schedules a step.
func (c *inFlightRequest) after(delay time.Duration, step func()) {
	c.agent.world.queue.After(delay, func() { c.run(step) })
}

func (c *inFlightRequest) prefixKey() uint64 {
	return uint64(c.blockHashes[min(len(c.blockHashes), affinityBlocks)-1])
}

// handle passes an event to the machine; stream is the origin of a frame, empty for other events.
func (c *inFlightRequest) handle(event attempt.Event, stream fleet.StreamID) {
	c.stream = stream
	actions := c.machine.Handle(c.agent.now(), event)
	c.perform(actions)
	if c.machine.Phase() == attempt.PhaseFinished {
		c.release()
	}
}

// release closes the connection and withdraws the pending placement call.
func (c *inFlightRequest) release() {
	if c.connection != nil {
		c.connection.closed = true
	}
	c.withdrawPlacement()
	c.agent.removeFinished()
}

func (c *inFlightRequest) perform(actions []attempt.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case attempt.RequestPlacement:
			c.after(action.Delay, func() { c.requestPlacement(action) })
		case attempt.Dispatch:
			c.dispatch(action)
		case attempt.Resume:
			c.after(action.Delay, func() { c.resume(action) })
		case attempt.CancelAndFence:
			c.after(action.Delay, func() { c.cancel(action, 1) })
		case attempt.Report:
			c.sendReport(action)
		default:
			c.recordOutcome(action)
		}
	}
}

// recordOutcome records what the caller sees.
func (c *inFlightRequest) recordOutcome(action attempt.Action) {
	w := c.agent.world
	switch action := action.(type) {
	case attempt.EmitToken:
		w.record(history.TokenDelivered{Request: c.request.id, Stream: c.stream, Index: action.Index, Text: action.Text})
	case attempt.Finish:
		w.record(history.Finished{Request: c.request.id, Tokens: action.OutputTokens, Reason: action.Reason})
	case attempt.Fail:
		w.record(history.Failed{Request: c.request.id, Code: action.Code, NotRun: action.NotRun(), Reason: action.Reason})
	case attempt.Abort:
		w.record(history.RequestAborted{Request: c.request.id, CallerLeft: true, Reason: "caller went away"})
	}
}

// isFinished reports whether the request has ended, so that further operations are not needed.
func (c *inFlightRequest) isFinished() bool { return c.machine.Phase() == attempt.PhaseFinished }

// duplicateLater delivers an event a second time, within a second, with probability DuplicateRate.
func (c *inFlightRequest) duplicateLater(event attempt.Event) {
	w := c.agent.world
	if w.random.Float64() >= w.options.DuplicateRate {
		return
	}
	c.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { c.handle(event, "") })
}

// receiveFrame handles a frame of the stream being read. It may first deliver a stray frame of
// another request's stream under the same operation.
func (c *inFlightRequest) receiveFrame(operation attempt.Operation, frame engine.Frame) {
	w := c.agent.world
	if stray, found := w.strayFrame(c.request.id, frame); found {
		origin := stray.Stream
		if w.options.Variant == TakeAnyStream {
			stray.Stream = frame.Stream
		}
		c.handle(attempt.FrameReceived{Operation: operation, Frame: stray}, origin)
	}
	event := attempt.FrameReceived{Operation: operation, Frame: frame}
	c.handle(event, frame.Stream)
	if !c.isFinished() {
		c.duplicateLater(event)
	}
}

// sendReport reports the progress of an attempt to the router that granted it.
func (c *inFlightRequest) sendReport(report attempt.Report) {
	router := c.askedRouters[report.Attempt]
	if router == nil {
		return
	}
	a := c.agent
	target := a.world.routerAt(router.address)
	message := placement.AttemptReport{
		Key: placement.Key{Request: c.request.id, Attempt: report.Attempt}, Run: report.Run, Phase: placement.Phase(report.Phase),
		CachedTokens: report.CachedTokens, OutputTokens: report.OutputTokens, EngineLost: report.EngineLost,
	}
	serve := func(reply func(any) time.Duration) { reply(target.report(message)) }
	a.world.network.call(&a.process, &target.process, reportTimeout, serve, func(answer any, outcome callOutcome) {
		if outcome != answered {
			a.recordFailure(router)
			return
		}
		a.observeAnswer(router, answer.(fleet.Revision))
	})
}
