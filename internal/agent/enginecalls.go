package agent

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxCancelTries is the maximum number of tries of a best-effort cancel.
const maxCancelTries = 3

// cancelRetryDelay is the delay between tries of a best-effort cancel.
const cancelRetryDelay = 200 * time.Millisecond

func (c *requestRunner) dispatch(ctx context.Context, action attempt.Dispatch) {
	modelVersion := c.request.modelVersion
	stream, err := c.agent.engines.Client(action.Address).Dispatch(ctx, engine.DispatchRequest{
		StreamID:     action.Stream,
		Incarnation:  action.Run.Incarnation,
		Tenant:       c.request.tenant.Name,
		ModelVersion: engine.ModelVersion{Model: modelVersion.Model, Adapter: modelVersion.Adapter, Version: modelVersion.Version},
		Prompt:       c.request.body.Prompt,
		MaxTokens:    c.request.maxTokens,
		Priority:     action.Priority,
		Continuation: action.Continuation,
	})
	if err != nil {
		c.logEngineError("dispatch_failed", action.Run, err)
		c.deliver(ctx, dispatchFailure(action.Operation, err))
		return
	}
	c.readStream(ctx, action.Operation, action.Run, stream)
}

func dispatchFailure(operation attempt.Operation, err error) attempt.Event {
	failure := engineError(err)
	switch failure.Outcome() {
	case engine.OutcomeNotSent:
		return attempt.DispatchNotSent{Operation: operation}
	case engine.OutcomeRejected:
		return attempt.DispatchRejected{Operation: operation, Code: failure.Code, Message: failure.Message}
	default:
		return attempt.DispatchUnknown{Operation: operation, TimedOut: isTimeout(failure)}
	}
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func (c *requestRunner) resume(ctx context.Context, action attempt.Resume) {
	stream, err := c.agent.engines.Client(action.Address).Resume(ctx, action.Stream, action.Offset)
	if err == nil {
		c.readStream(ctx, action.Operation, action.Run, stream)
		return
	}
	c.logEngineError("resume_failed", action.Run, err)
	failure := engineError(err)
	if failure.Code == engine.ErrorUnknownStream {
		c.deliver(ctx, attempt.ResumeRejected{
			Operation:   action.Operation,
			Code:        failure.Code,
			Incarnation: failure.Incarnation,
		})
		return
	}
	c.deliver(ctx, attempt.ResumeFailed{Operation: action.Operation})
}

// readStream delivers a stream's frames until it ends. It reads a frame only after the previous one
// was handled. The idle timeout doesn't run while a frame is handled.
func (c *requestRunner) readStream(ctx context.Context, operation attempt.Operation, run fleet.EngineRun, stream *engine.Stream) {
	defer stream.Close()
	idle := time.Duration(c.agent.settings.Engines.StreamIdleTimeout)
	idleTimer := time.AfterFunc(idle, stream.Close)
	defer idleTimer.Stop()
	for {
		idleTimer.Reset(idle)
		frame, err := stream.Next(ctx)
		idleTimer.Stop()
		if err != nil {
			c.logEngineError("stream_broken", run, err)
			c.deliver(ctx, attempt.StreamBroken{Operation: operation})
			return
		}
		if !c.deliver(ctx, attempt.FrameReceived{Operation: operation, Frame: frame}) {
			return
		}
		if frame.Kind == engine.FrameDone || frame.Kind == engine.FrameError {
			return
		}
	}
}

// cancel stops a stream. A best-effort cancel may outlive its request.
func (c *requestRunner) cancel(action attempt.CancelAndFence) {
	if action.Operation != 0 {
		c.startOperation(action.Delay, func(ctx context.Context) {
			c.deliver(ctx, c.cancelOnce(ctx, action))
		})
		return
	}
	c.agent.calls.Go(func() error {
		for range maxCancelTries {
			failed, isFailure := c.cancelOnce(context.Background(), action).(attempt.CancelFailed)
			if !isFailure || failed.Code == engine.ErrorWrongIncarnation {
				return nil
			}
			time.Sleep(cancelRetryDelay)
		}
		return nil
	})
}

func (c *requestRunner) cancelOnce(ctx context.Context, action attempt.CancelAndFence) attempt.Event {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.agent.settings.Engines.CancelTimeout))
	defer cancel()
	response, err := c.agent.engines.Client(action.Address).Cancel(ctx, action.Stream, action.Run.Incarnation)
	if err != nil {
		c.logEngineError("cancel_failed", action.Run, err)
		return attempt.CancelFailed{Operation: action.Operation, Code: engineError(err).Code}
	}
	c.logger.Debug().Str("engine", string(action.Run.Engine)).Str("stream", string(action.Stream)).
		Str("found", string(response.State)).Msg("stream_cancelled")
	return attempt.CancelAnswered{Operation: action.Operation, State: response.State}
}

// logEngineError logs a failed call, unless the agent itself cancelled it.
func (c *requestRunner) logEngineError(event string, run fleet.EngineRun, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	c.logger.Warn().Err(err).Str("engine", string(run.Engine)).
		Uint64("incarnation", uint64(run.Incarnation)).Msg(event)
}

// engineError returns err as an engine.Error. The engine client returns no other type; any other
// error is treated as a call with unknown outcome.
func engineError(err error) *engine.Error {
	var failure *engine.Error
	if errors.As(err, &failure) {
		return failure
	}
	return &engine.Error{Code: engine.ErrorProtocol, Message: err.Error(), Sent: true}
}
