package gateway

import (
	"bytes"
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// openStream is a stream of events from a worker, whose head has arrived.
type openStream struct {
	send  *openSend
	relay *eventRelay
	// ended receives the result of the relay.
	ended chan error
	// state is that of the send while the stream is held.
	state sendState
	// closing runs while another engine is asked to continue the held stream's run, and closes the stream at its end.
	closing *stoppableTimer
	// handover is the state of the handover to another engine while the stream is held.
	handover atomic.Int32
}

// deliverStream relays the complete events of a stream as they arrive. A stream that breaks off may
// be resumed at another worker, unless it breaks off within an event that is passed on in parts.
func (g *Gateway) deliverStream(ctx context.Context, current *callerRequest, send *openSend) attempt.Step {
	step := current.attempts.Answered(g.now(), send.placement.Worker.Run(), false)
	if step.Kind != attempt.StepDeliver {
		g.recordOutcome(current, send.placement, backends.Failed, "not delivered")
		return step
	}
	g.endHeldStream(current, backends.Silent, errEngineSilent.Error())
	return g.awaitStream(ctx, current, g.startRelay(ctx, current, send))
}

// startRelay begins to relay a stream. The relay uses the request's state until the stream has ended or is held.
func (g *Gateway) startRelay(ctx context.Context, current *callerRequest, send *openSend) *openStream {
	relay := &eventRelay{
		response: send.response, lastID: current.lastEventID, buffer: eventBuffer{memory: g.answers},
		closeConnection: func() { send.cancel(errRelayEnded) },
	}
	stream := &openStream{send: send, relay: relay, ended: make(chan error, 1)}
	go func() {
		stream.ended <- relay.run(func(events []byte, isPart bool) error {
			if isPart {
				if err := g.observePart(current, send, relay.partial.bytes == 0); err != nil {
					return err
				}
			}
			send.placement.FirstByte(g.now())
			if current.origin.IsAny() {
				g.beginStream(ctx, current, send.placement)
			}
			if !isPart {
				g.observeEvent(send.watched, relay.lastID != "" && !relay.isIDLost)
			}
			return g.writeEvents(current, send.response, events)
		})
	}()
	return stream
}

// observePart records that an event is passed on in parts, since there is no memory for it. The first part isn't passed
// on if the request was moved before: it's sent again as a whole.
func (g *Gateway) observePart(current *callerRequest, send *openSend, isFirst bool) error {
	if !isFirst {
		g.observeHead(send.watched)
		return nil
	}
	// From here on the send counts as begun, and isn't moved without asking the relay.
	g.observeEvent(send.watched, false)
	if send.watched.isMoved() {
		return errEngineSilent
	}
	g.events.line("event_in_parts").Str("request_id", current.metadata.RequestID).Str("worker", string(send.placement.Worker.ID)).
		Int64("answer_memory", g.answers.Used()).Msg("event_in_parts")
	return nil
}

// awaitStream waits until a stream has ended or is to continue elsewhere.
func (g *Gateway) awaitStream(ctx context.Context, current *callerRequest, stream *openStream) attempt.Step {
	var moves chan struct{}
	if watched := stream.send.watched; watched != nil {
		moves = watched.moves
	}
	for {
		select {
		case err := <-stream.ended:
			return g.finishStream(ctx, current, stream, err)
		case <-moves:
			if g.holdStream(current, stream) {
				return g.replaceHeldStream(current)
			}
		}
	}
}

// finishStream returns the next step after a stream has ended, with the error of its relay.
func (g *Gateway) finishStream(ctx context.Context, current *callerRequest, stream *openStream, err error) attempt.Step {
	placement, response := stream.send.placement, stream.send.response
	if err == nil {
		err = g.confirmEnd(ctx, current, placement, response)
	}
	current.lastEventID = stream.relay.lastID
	switch {
	case err == nil:
		if !current.headSent {
			// A stream without events is passed on as an empty body.
			g.sendHead(current, response, 0)
		}
		g.recordOutcome(current, placement, backends.Succeeded, "")
		return attempt.Step{Kind: attempt.StepDeliver}
	case current.isCallerGone() || errors.Is(err, errCallerWrite):
		g.recordLostRun(current, placement, quarantine.Abandoned)
		g.recordOutcome(current, placement, backends.Cancelled, errCallerGone.Error())
		return attempt.Step{Kind: attempt.StepAbort}
	case ctx.Err() != nil:
		g.recordLostRun(current, placement, quarantine.Abandoned)
		g.recordOutcome(current, placement, backends.Lost, "deadline passed")
		return current.attempts.Expired()
	case current.watched.isMoved():
		response.Close()
		return g.abandonSilentStream(current, placement)
	default:
		g.recordLostRun(current, placement, quarantine.ConnectionBroken)
		g.recordOutcome(current, placement, backends.Lost, "stream: "+err.Error())
		response.Close()
		if !stream.relay.canContinue() {
			return attempt.Step{Kind: attempt.StepAbort}
		}
		return current.attempts.Truncated(g.now(), placement.Worker.Run(), current.rememberCopy(placement))
	}
}

// writeEvents writes events to the caller and flushes them.
func (g *Gateway) writeEvents(current *callerRequest, response *upstream.Response, events []byte) error {
	if !current.headSent {
		g.sendHead(current, response, unknownLength)
	}
	now := g.now()
	current.eventCount += bytes.Count(events, []byte("\n\n"))
	if current.lastEventAt > 0 {
		current.longestEventGap = max(current.longestEventGap, now-current.lastEventAt)
	}
	current.lastEventAt = now
	if _, err := current.writer.Write(events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return flushToCaller(current)
}
