package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
)

// moveAgainDelay is how long a stream that no other engine has taken over stays at its engine at least.
const moveAgainDelay = time.Second

// errEngineHeard means that a send isn't made, since the engine whose stream it was to continue is heard again.
var errEngineHeard = errors.New("silent engine heard")

// A stream that has begun is handed over to another engine before its connection is closed: it's held, without
// relaying further events, until another engine has sent the head of its response. If none takes it over, it goes
// on where it was.

// holdStream holds a stream whose engine is silent. It reports false if the engine has been heard meanwhile.
func (g *Gateway) holdStream(current *callerRequest, stream *openStream) bool {
	watched := stream.send.watched
	if !stream.relay.hold() {
		g.stayAtEngine(watched, g.now())
		return false
	}
	if !g.isSilent(watched) {
		stream.relay.release()
		g.stayAtEngine(watched, g.now())
		return false
	}
	stream.state, current.held = current.sendState, stream
	return true
}

// replaceHeldStream returns the step that has another engine take a held stream over.
func (g *Gateway) replaceHeldStream(current *callerRequest) attempt.Step {
	held := current.held
	current.moved, current.lastEventID = true, held.relay.lastID
	current.attempts.PrepayRetry()
	placement := held.send.placement
	return current.attempts.Truncated(g.now(), placement.Worker.Run(), current.rememberCopy(placement))
}

// isHeldStreamHeard reports whether a held stream can go on where it was, since bytes of it have arrived.
func (c *callerRequest) isHeldStreamHeard() bool {
	return c.held != nil && c.held.relay.waiting.Load() && c.attempts.CanReturn()
}

// canReturn reports whether a held stream may go on where it was.
func (c *callerRequest) canReturn(ctx context.Context) bool {
	return c.held != nil && ctx.Err() == nil && !c.isCallerGone() && c.attempts.CanReturn()
}

// returnToHeldStream goes on with a held stream that no other engine has taken over.
func (g *Gateway) returnToHeldStream(ctx context.Context, current *callerRequest) attempt.Step {
	stream := current.held
	current.held, current.moved, current.sendState = nil, false, stream.state
	defer g.endSend(current, stream.send)
	if current.route.Resumable {
		// The copy of a stream that can't be resumed won't come back.
		g.stayAtEngine(stream.send.watched, g.now()+moveAgainDelay)
	}
	g.metrics.silence.moves.WithLabelValues("returned").Inc()
	g.events.line("send_returned").Str("request_id", current.metadata.RequestID).Str("worker", current.worker).
		Bool("heard", stream.relay.waiting.Load()).Msg("send_returned")
	stream.relay.release()
	return g.awaitStream(ctx, current, stream)
}

// endHeldStream closes a held stream, if there is one, with an outcome.
func (g *Gateway) endHeldStream(current *callerRequest, outcome backends.Outcome, cause string) {
	stream := current.held
	if stream == nil {
		return
	}
	current.held = nil
	stream.relay.replace()
	stream.send.cancel(errEngineSilent)
	g.events.line("held_stream_closed").Str("request_id", current.metadata.RequestID).Str("worker", stream.state.worker).
		AnErr("relay_ended", <-stream.ended).Msg("held_stream_closed")
	g.endSend(current, stream.send)
	now := current.sendState
	current.sendState = stream.state
	g.recordOutcome(current, stream.send.placement, outcome, cause)
	current.sendState = now
}

// dropHeldStream closes a held stream that remains at the end of its request.
func (g *Gateway) dropHeldStream(current *callerRequest) {
	g.endHeldStream(current, backends.Cancelled, "request ended")
}

// isSilent reports whether nothing has come from the engine of a watched send since it was found silent.
func (g *Gateway) isSilent(send *watchedSend) bool {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.IsSilent(send.run)
}

// stayAtEngine records that a send that was to be moved goes on at its engine. It may be moved again at
// movableAt.
func (g *Gateway) stayAtEngine(send *watchedSend, movableAt time.Duration) {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.Stay(send.run, movableAt)
}
