package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// admittedRequest is a request that passed validation.
type admittedRequest struct {
	id           fleet.RequestID
	arrived      time.Duration
	tenant       config.Tenant
	class        fleet.ClassName
	maxWait      time.Duration
	modelVersion fleet.ModelVersion
	options      openai.Options
	body         openai.Request
	// deadline is a time of the agent's clock.
	deadline     time.Duration
	maxTokens    int
	promptTokens int
	hashes       []fleet.BlockHash
	// promptKey selects the router for a prompt shorter than a block, which can't share cached
	// blocks.
	promptKey uint64
	pool      fleet.PoolName
}

// output receives a request's response. An error means that the caller no longer reads it.
type output interface {
	Token(text string) error
	Finish(reason string, usage openai.Usage) error
	Fail(failure *openai.Failure) error
}

// requestRunner drives the state machine of a request: it executes actions as calls to routers and
// engines and feeds the results back as events. Everything except the calls runs on the goroutine
// of the HTTP handler, so a slow caller only delays its own stream, whose frames stay unread at the
// engine.
type requestRunner struct {
	agent   *Agent
	request *admittedRequest
	machine *attempt.Machine
	output  output
	logger  zerolog.Logger

	events chan attempt.Event
	// context ends with the request; cancelOperation cancels the operation in flight.
	context         context.Context
	cancelOperation context.CancelFunc

	// tries, routerByAttempt and handBacks are only written by the placement call, of which at
	// most one is in flight.
	tries           map[fleet.Address]int
	routerByAttempt map[fleet.Attempt]*routerState
	handBacks       uint32
	// route is set by the first placement call; spills counts the saturated routers since the last
	// grant. Both are only accessed by the placement call.
	route  *route
	spills int

	outputFailed bool
	firstTokenAt time.Duration
	// result is the result code of the response; aborted is set if there was none.
	result  resultcode.Code
	aborted bool
	usage   openai.Usage
}

func newRequestRunner(a *Agent, admitted *admittedRequest, output output) *requestRunner {
	request := attempt.Request{ID: admitted.id, Repeatable: !admitted.options.NotRepeatable, Deadline: admitted.deadline}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &requestRunner{
		agent:           a,
		request:         admitted,
		machine:         attempt.New(request, a.settings.Requests.policy(), a.budget, random),
		output:          output,
		logger:          a.logger.With().Str("request_id", string(admitted.id)).Logger(),
		events:          make(chan attempt.Event),
		cancelOperation: func() {},
		tries:           make(map[fleet.Address]int),
		routerByAttempt: make(map[fleet.Attempt]*routerState),
	}
}

// run runs the request to completion. The context caller ends when the caller disconnects.
func (c *requestRunner) run(caller context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.context = ctx
	deadline := time.NewTimer(c.request.deadline - c.agent.clock.Now())
	defer deadline.Stop()
	c.perform(c.machine.Start(c.agent.clock.Now()))
	for c.machine.Phase() != attempt.PhaseFinished {
		var event attempt.Event
		select {
		case event = <-c.events:
		case <-caller.Done():
			event = attempt.CallerGone{}
		case <-deadline.C:
			event = attempt.DeadlinePassed{}
		case <-c.agent.graceExpired:
			event = attempt.Stopping{}
		}
		c.handle(event)
	}
}

func (c *requestRunner) handle(event attempt.Event) {
	c.logger.Debug().Type("event", event).Stringer("phase", c.machine.Phase()).Msg("attempt_event")
	c.perform(c.machine.Handle(c.agent.clock.Now(), event))
	if c.outputFailed && c.machine.Phase() != attempt.PhaseFinished {
		c.perform(c.machine.Handle(c.agent.clock.Now(), attempt.CallerGone{}))
	}
}

func (c *requestRunner) perform(actions []attempt.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case attempt.RequestPlacement:
			c.startOperation(action.Delay, func(ctx context.Context) { c.deliver(ctx, c.place(ctx, action)) })
		case attempt.Dispatch:
			c.logger.Debug().Str("engine", string(action.Run.Engine)).Str("stream", string(action.Stream)).Msg("dispatch")
			c.startOperation(0, func(ctx context.Context) { c.dispatch(ctx, action) })
		case attempt.Resume:
			c.startOperation(action.Delay, func(ctx context.Context) { c.resume(ctx, action) })
		case attempt.CancelAndFence:
			c.cancel(action)
		case attempt.Report:
			c.agent.report(c.routerByAttempt[action.Attempt], c.request.id, action)
		default:
			c.writeOutput(action)
		}
	}
}

// startOperation cancels the operation in flight and starts a new one after delay.
func (c *requestRunner) startOperation(delay time.Duration, operation func(context.Context)) {
	c.cancelOperation()
	ctx, cancel := context.WithCancel(c.context)
	c.cancelOperation = cancel
	c.agent.calls.Go(func() error {
		defer cancel()
		if sleep(ctx, delay) {
			operation(ctx)
		}
		return nil
	})
}

// deliver sends an event to the state machine. A grant that can't be delivered is reported as
// abandoned to its router.
func (c *requestRunner) deliver(ctx context.Context, event attempt.Event) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
	}
	if grant, isGrant := event.(attempt.Granted); isGrant {
		report := attempt.Report{Attempt: grant.Attempt, Run: grant.Run, Phase: attempt.ReportAbandoned}
		c.agent.report(c.routerByAttempt[grant.Attempt], c.request.id, report)
	}
	return false
}

func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeOutput executes an action that is visible to the caller.
func (c *requestRunner) writeOutput(action attempt.Action) {
	var err error
	switch action := action.(type) {
	case attempt.EmitToken:
		if c.firstTokenAt == 0 {
			c.firstTokenAt = c.agent.clock.Now()
		}
		err = c.output.Token(action.Text)
	case attempt.Finish:
		c.usage = openai.Usage{
			PromptTokens:     action.PromptTokens,
			CachedTokens:     action.CachedTokens,
			CompletionTokens: action.OutputTokens,
		}
		err = c.output.Finish(action.Reason, c.usage)
	case attempt.Fail:
		c.result = action.Code
		err = c.output.Fail(&openai.Failure{
			Code:          action.Code,
			Message:       action.Reason,
			RequestID:     c.request.id,
			RetryAfter:    action.RetryAfter,
			NotRepeatable: c.request.options.NotRepeatable,
		})
	case attempt.Abort:
		c.aborted = true
	}
	c.outputFailed = c.outputFailed || err != nil
}

// didNotRun reports whether the request certainly did not run.
func (c *requestRunner) didNotRun() bool {
	return !c.aborted && resultcode.Lookup(c.result).NotRun
}
