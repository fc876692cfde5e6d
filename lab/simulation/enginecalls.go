package simulation

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// dispatch starts a stream at an engine.
func (c *inFlightRequest) dispatch(action attempt.Dispatch) {
	a := c.agent
	target := a.world.engineAt(action.Address)
	incoming := dispatchCall{grantedRun: action.Run, request: engine.DispatchRequest{
		StreamID: action.Stream, Incarnation: action.Run.Incarnation, Tenant: c.request.tenant, ModelVersion: engine.ModelVersion(c.version),
		Prompt: c.request.prompt, MaxTokens: c.request.maxTokens, Priority: action.Priority, Continuation: action.Continuation,
	}}
	if a.world.options.Variant == DropContinuation {
		incoming.request.Continuation = nil
	}
	opened := c.openConnection(target, action.Operation, action.Stream)
	serve := func(reply func(any) time.Duration) { target.dispatch(incoming, opened, reply) }
	a.world.network.call(&a.process, &target.process, headerTimeout, serve, func(answer any, outcome callOutcome) {
		if frame, accepted := answer.(engine.Frame); accepted {
			c.startReading(opened, frame)
			return
		}
		opened.closed = true
		c.handle(c.dispatchFailure(action.Operation, engineError(answer), outcome), "")
	})
}

func (c *inFlightRequest) dispatchFailure(operation attempt.Operation, rejection *engine.Error, outcome callOutcome) attempt.Event {
	if outcome == refused || (outcome != answered && c.agent.world.options.Variant == AssumeNotSent) {
		return attempt.DispatchNotSent{Operation: operation}
	}
	if rejection != nil && rejection.Outcome() == engine.OutcomeRejected {
		return attempt.DispatchRejected{Operation: operation, Code: rejection.Code, Message: rejection.Message}
	}
	return attempt.DispatchUnknown{Operation: operation, TimedOut: outcome == timedOut}
}

// openConnection creates the connection of a dispatch or resume and closes the previous one.
func (c *inFlightRequest) openConnection(target *engineHost, operation attempt.Operation, stream fleet.StreamID) *connection {
	if c.connection != nil {
		c.connection.closed = true
	}
	c.connection = &connection{engine: target, inFlight: c, operation: operation, stream: stream}
	return c.connection
}

// startReading handles the first frame of a connection.
func (c *inFlightRequest) startReading(opened *connection, accepted engine.Frame) {
	if opened.closed {
		return
	}
	c.handle(attempt.FrameReceived{Operation: opened.operation, Frame: accepted}, accepted.Stream)
	opened.startReading()
}

// resume reads a stream again from an offset.
func (c *inFlightRequest) resume(action attempt.Resume) {
	if c.isFinished() {
		return
	}
	a := c.agent
	target := a.world.engineAt(action.Address)
	opened := c.openConnection(target, action.Operation, action.Stream)
	serve := func(reply func(any) time.Duration) { target.resume(action.Stream, action.Offset, opened, reply) }
	a.world.network.call(&a.process, &target.process, headerTimeout, serve, func(answer any, outcome callOutcome) {
		if frame, accepted := answer.(engine.Frame); accepted {
			c.startReading(opened, frame)
			return
		}
		opened.closed = true
		rejection := engineError(answer)
		if outcome == answered && rejection.Code == engine.ErrorUnknownStream {
			c.handle(attempt.ResumeRejected{Operation: action.Operation, Code: rejection.Code, Incarnation: rejection.Incarnation}, "")
			return
		}
		c.handle(attempt.ResumeFailed{Operation: action.Operation}, "")
	})
}

// Limits of best-effort cancels.
const (
	cancelAttempts = 3
	cancelBackoff  = 200 * time.Millisecond
)

// cancel stops a stream. A best-effort cancel, which has no operation, is retried, also after its
// request has ended.
func (c *inFlightRequest) cancel(action attempt.CancelAndFence, number int) {
	if action.Operation != 0 && c.isFinished() {
		return
	}
	a := c.agent
	target := a.world.engineAt(action.Address)
	serve := func(reply func(any) time.Duration) { target.cancel(action.Stream, action.Run.Incarnation, reply) }
	a.world.network.call(&a.process, &target.process, cancelTimeout, serve, func(answer any, _ callOutcome) {
		code := engine.ErrorConnectionLost
		switch answer := answer.(type) {
		case engine.CancelResponse:
			if action.Operation != 0 {
				c.handle(attempt.CancelAnswered{Operation: action.Operation, State: answer.State}, "")
			}
			return
		case error:
			code = engineError(answer).Code
		}
		switch {
		case action.Operation != 0 && a.world.options.Variant == TrustLostCancel:
			c.handle(attempt.CancelAnswered{Operation: action.Operation, State: engine.CancelNeverRan}, "")
		case action.Operation != 0:
			c.handle(attempt.CancelFailed{Operation: action.Operation, Code: code}, "")
		case code != engine.ErrorWrongIncarnation && number < cancelAttempts:
			c.after(cancelBackoff, func() { c.cancel(action, number+1) })
		}
	})
}
