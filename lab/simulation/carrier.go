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

// request is what a caller asks.
type request struct {
	id         fleet.RequestID
	tenant     fleet.TenantName
	class      fleet.ClassName
	prompt     string
	maxTokens  int
	repeatable bool
	timeout    time.Duration
}

// placeMargin is added to a class's longest wait before a router that holds a
// question counts as failed.
const placeMargin = 5 * time.Second

// carrier drives one request's machine at an agent.
type carrier struct {
	agent *agent
	// life is the agent's run that the request belongs to.
	life     int
	request  request
	deadline time.Duration
	machine  *attempt.Machine
	maxWait  time.Duration
	weights  fleet.ModelVersion
	hashes   []fleet.BlockHash
	tried    map[fleet.Address]int
	askedAt  map[fleet.Attempt]*link
	// placing is the question under way, reading the connection that is read.
	placing    *call
	placingAt  *router
	placingKey placement.Key
	reading    *connection
	handBacks  int
	stream     fleet.StreamID
}

// serve takes a request from a caller; false means that the agent takes none.
func (a *agent) serve(incoming request) bool {
	if !a.alive || a.stopping || a.now() < a.frozenUntil {
		return false
	}
	w := a.world
	c := &carrier{
		agent: a, life: a.life, request: incoming, deadline: a.now() + incoming.timeout,
		tried: make(map[fleet.Address]int), askedAt: make(map[fleet.Attempt]*link),
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
	c.resolve(view)
	repeatable := incoming.repeatable || w.options.Variant == RepeatEverything
	c.machine = attempt.New(
		attempt.Request{ID: incoming.id, Repeatable: repeatable, Deadline: c.deadline},
		attempt.Policy{MaxPlacements: maxPlacements}, a.budget, w.random,
	)
	a.carriers = append(a.carriers, c)
	if w.options.Variant != ForgetDeadline {
		c.after(incoming.timeout, func() { c.handle(attempt.DeadlinePassed{}, "") })
	}
	if w.random.Float64() < leaveChance {
		c.after(time.Duration(w.random.Int64N(int64(incoming.timeout))), func() { c.handle(attempt.CallerGone{}, "") })
	}
	c.perform(c.machine.Start(a.now()))
	return true
}

// resolve chooses the weights by a configuration.
func (c *carrier) resolve(view *config.View) bool {
	weights, resolved, found := view.ResolveModel(string(model))
	if !found || weights == c.weights {
		return false
	}
	class, _ := view.Class(c.request.class)
	c.maxWait = time.Duration(class.MaxWait)
	c.weights = weights
	scope := fleet.CacheScope{Tenant: c.request.tenant, ModelVersion: weights}
	c.hashes = prompt.HashBlocks(scope, c.request.prompt, resolved.BlockTokens)
	c.agent.world.record(history.Resolved{Request: c.request.id, Weights: weights, Revision: view.Revision()})
	return true
}

// run does a step, unless the agent's run is over.
func (c *carrier) run(step func()) { c.agent.run(c.life, step) }

// after plans a step.
func (c *carrier) after(delay time.Duration, step func()) {
	c.agent.world.queue.After(delay, func() { c.run(step) })
}

func (c *carrier) prefixKey() uint64 {
	return uint64(c.hashes[min(len(c.hashes), affinityBlocks)-1])
}

// handle gives the machine an event; stream is where a frame came from.
func (c *carrier) handle(event attempt.Event, stream fleet.StreamID) {
	c.stream = stream
	actions := c.machine.Handle(c.agent.now(), event)
	c.perform(actions)
	if c.machine.Phase() == attempt.PhaseFinished {
		c.release()
	}
}

// release ends what the request still has under way.
func (c *carrier) release() {
	if c.reading != nil {
		c.reading.closed = true
	}
	c.withdraw()
	c.agent.forgetFinished()
}

func (c *carrier) perform(actions []attempt.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case attempt.RequestPlacement:
			c.after(action.Delay, func() { c.place(action) })
		case attempt.Dispatch:
			c.dispatch(action)
		case attempt.Resume:
			c.after(action.Delay, func() { c.resume(action) })
		case attempt.CancelAndFence:
			c.after(action.Delay, func() { c.cancel(action, 1) })
		case attempt.Report:
			c.report(action)
		default:
			c.answer(action)
		}
	}
}

// answer records what the caller sees.
func (c *carrier) answer(action attempt.Action) {
	w := c.agent.world
	switch action := action.(type) {
	case attempt.EmitToken:
		w.record(history.TokenDelivered{Request: c.request.id, Stream: c.stream, Index: action.Index, Text: action.Text})
	case attempt.Finish:
		w.record(history.Finished{Request: c.request.id, Tokens: action.OutputTokens, Reason: action.Reason})
	case attempt.Fail:
		w.record(history.Failed{Request: c.request.id, Code: action.Code, NotRun: action.NotRun(), Reason: action.Reason})
	case attempt.Abort:
		w.record(history.CallerLost{Request: c.request.id, Left: true, Reason: "caller went away"})
	}
}

// over tells whether an operation isn't wanted any more.
func (c *carrier) over() bool { return c.machine.Phase() == attempt.PhaseFinished }

// repeatLate lets some answers come a second time, late.
func (c *carrier) repeatLate(event attempt.Event) {
	w := c.agent.world
	if w.random.Float64() >= w.options.LateRepeats {
		return
	}
	c.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { c.handle(event, "") })
}

// frame takes a frame of the stream that is read. Some come crossed: a frame of
// another request's stream under this operation.
func (c *carrier) frame(operation attempt.Operation, frame engine.Frame) {
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
	if !c.over() {
		c.repeatLate(event)
	}
}

// report tells the router that granted an attempt what became of it.
func (c *carrier) report(report attempt.Report) {
	at := c.askedAt[report.Attempt]
	if at == nil {
		return
	}
	a := c.agent
	target := a.world.routerAt(at.address)
	message := placement.AttemptReport{
		Key: placement.Key{Request: c.request.id, Attempt: report.Attempt}, Run: report.Run, Phase: placement.Phase(report.Phase),
		CachedTokens: report.CachedTokens, OutputTokens: report.OutputTokens, EngineLost: report.EngineLost,
	}
	serve := func(reply func(any) time.Duration) { reply(target.report(message)) }
	a.world.network.call(&a.process, &target.process, reportTimeout, serve, func(answer any, how failure) {
		if how != answered {
			a.failed(at)
			return
		}
		a.heard(at, answer.(fleet.Revision))
	})
}
