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

// admittedRequest is an admitted request.
type admittedRequest struct {
	id      fleet.RequestID
	arrived time.Duration
	tenant  config.Tenant
	class   fleet.ClassName
	maxWait time.Duration
	weights fleet.Weights
	options openai.Options
	body    openai.Request
	// deadline is on the agent's clock.
	deadline     time.Duration
	maxTokens    int
	promptTokens int
	hashes       []fleet.BlockHash
	// promptKey chooses the router for a prompt of less than a block, which can't
	// share a cached one.
	promptKey uint64
	pool      fleet.PoolName
}

// output is where a request's answer goes. An error means that the caller
// doesn't read it any more.
type output interface {
	Token(text string) error
	Finish(reason string, usage openai.Usage) error
	Fail(failure *openai.Failure) error
}

// requestRunner drives one request's machine: it turns actions into calls to routers
// and engines, and their answers into events. All but the calls run on the
// goroutine of the HTTP handler, so a caller that reads slowly holds up its own
// stream alone: frames are left unread at the engine.
type requestRunner struct {
	agent   *Agent
	request *admittedRequest
	machine *attempt.Machine
	output  output
	logger  zerolog.Logger

	events chan attempt.Event
	// context ends with the request; cancelOperation ends the call under way.
	context         context.Context
	cancelOperation context.CancelFunc

	// tried, askedAt and handBacks are written by the placing call alone, which
	// the machine never has two of at a time.
	tried     map[fleet.Address]int
	placedBy  map[fleet.Attempt]*routerState
	handBacks uint32
	// route is set when the request is first placed; spills counts the
	// saturated routers since its last grant. Both belong to the placing call.
	route  *route
	spills int

	outputFailed bool
	firstTokenAt time.Duration
	// result is the code of the answer; aborted is set when there was none.
	result  resultcode.Code
	aborted bool
	usage   openai.Usage
}

func newRequestRunner(a *Agent, call *admittedRequest, out output) *requestRunner {
	request := attempt.Request{ID: call.id, Repeatable: !call.options.NotRepeatable, Deadline: call.deadline}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &requestRunner{
		agent:           a,
		request:         call,
		machine:         attempt.New(request, a.settings.Requests.policy(), a.budget, random),
		output:          out,
		logger:          a.logger.With().Str("request_id", string(call.id)).Logger(),
		events:          make(chan attempt.Event),
		cancelOperation: func() {},
		tried:           make(map[fleet.Address]int),
		placedBy:        make(map[fleet.Attempt]*routerState),
	}
}

// run carries the request to its end. The context ends when the caller is gone.
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
			c.agent.report(c.placedBy[action.Attempt], c.request.id, action)
		default:
			c.writeOutput(action)
		}
	}
}

// startOperation begins an operation in place of the one under way.
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

// deliver hands an event to the machine. A grant that nobody takes any more is
// given back to its router.
func (c *requestRunner) deliver(ctx context.Context, event attempt.Event) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
	}
	if grant, isGrant := event.(attempt.Granted); isGrant {
		report := attempt.Report{Attempt: grant.Attempt, Run: grant.Run, Phase: attempt.ReportAbandoned}
		c.agent.report(c.placedBy[grant.Attempt], c.request.id, report)
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

// writeOutput carries out what the caller sees.
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

// didNotRun tells whether the request certainly did not run.
func (c *requestRunner) didNotRun() bool {
	return !c.aborted && resultcode.Lookup(c.result).NotRun
}
