package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
)

const (
	// moveAgainDelay is how long a stream that no other engine has taken over stays at its engine at least.
	moveAgainDelay = time.Second
	// handoverTimeout is how long a silent engine may go on with a run after another one was asked to continue it.
	// With the way of the close it stays below the 400 ms for which two engines may work on a run. A refusal comes
	// much sooner from an engine that answers.
	handoverTimeout = 250 * time.Millisecond
)

// States of a handover, from handoverOpen on. A stream whose handover is forced never goes on.
const (
	handoverOpen int32 = iota
	// handoverOff means that the other engine's send was given up.
	handoverOff
	// handoverForced means that the stream was closed, since the other engine may be continuing its run.
	handoverForced
)

// errEngineHeard means that a send is given up, since the engine whose stream it was to continue is heard again.
var errEngineHeard = errors.New("silent engine heard")

// A stream that has begun is handed over to another engine before its connection is closed: it's held, without
// relaying further events, until another engine has sent the head of its response. If none takes it over, it goes
// on where it was.
//
// A stream that may be resumed goes on as soon as its engine is heard; the other send is given up. Two engines must not
// work on a run that another one may be continuing from its copy: its first connection is closed handoverTimeout after
// that one was asked, unless it has refused or the whole rest of the stream has arrived.

// holdStream holds a stream whose engine is silent. It reports false if the engine has been heard meanwhile.
func (g *Gateway) holdStream(current *callerRequest, stream *openStream) bool {
	watched := stream.send.watched
	if !stream.relay.hold() {
		g.callOffMove(watched)
		return false
	}
	if !g.isSilent(watched) {
		stream.relay.release()
		g.callOffMove(watched)
		return false
	}
	stream.state, current.held = current.sendState, stream
	stream.handover.Store(handoverOpen)
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
	return c.held != nil && c.held.relay.waiting.Load() && c.mayReturn()
}

// canReturn reports whether a held stream may go on where it was.
func (c *callerRequest) canReturn(ctx context.Context) bool {
	return c.held != nil && ctx.Err() == nil && !c.isCallerGone() && c.mayReturn()
}

// mayReturn reports whether a held stream is open, and would not run beside another run of it.
func (c *callerRequest) mayReturn() bool {
	return !c.held.isAbandoned() && (c.held.relay.endArrived.Load() || c.attempts.CanReturn())
}

// beginHandover records that another engine is asked to take a held stream over, by a send that cancel ends.
func (c *callerRequest) beginHandover(cancel context.CancelCauseFunc) {
	held := c.held
	if held == nil || held.isAbandoned() {
		return
	}
	if !c.route.Resumable {
		held.closing = newStoppableTimer(handoverTimeout, held.abandon)
	}
	held.relay.notifyArrival(func() {
		isKept := held.relay.endArrived.Load() || c.route.Resumable
		if isKept && held.handover.CompareAndSwap(handoverOpen, handoverOff) {
			cancel(errEngineHeard)
		}
	})
}

// endHandover records that the other engine has answered, or can't be asked.
func (c *callerRequest) endHandover() {
	if c.held == nil {
		return
	}
	c.held.relay.notifyArrival(nil)
	if c.held.closing != nil {
		c.held.closing.stop()
		c.held.closing = nil
	}
}

// abandon closes a held stream whose run another engine may be continuing, unless that one's send was given up.
func (s *openStream) abandon() {
	if s.handover.CompareAndSwap(handoverOpen, handoverForced) {
		s.send.cancel(errEngineSilent)
	}
}

// isAbandoned reports whether the stream was closed for the other engine's sake.
func (s *openStream) isAbandoned() bool { return s.handover.Load() == handoverForced }

// stoppableTimer calls a function once after a time.
type stoppableTimer struct {
	timer *time.Timer
	done  chan struct{}
}

func newStoppableTimer(delay time.Duration, call func()) *stoppableTimer {
	s := &stoppableTimer{done: make(chan struct{})}
	s.timer = time.AfterFunc(delay, func() {
		defer close(s.done)
		call()
	})
	return s
}

// stop ends the timer. The function has returned by then, or won't be called.
func (s *stoppableTimer) stop() {
	if !s.timer.Stop() {
		<-s.done
	}
}

// returnToHeldStream goes on with a held stream that no other engine has taken over.
func (g *Gateway) returnToHeldStream(ctx context.Context, current *callerRequest) attempt.Step {
	stream := current.held
	current.held, current.moved, current.sendState = nil, false, stream.state
	defer g.endSend(current, stream.send)
	heard, movableAt := stream.relay.waiting.Load(), g.now()
	if !heard {
		movableAt += moveAgainDelay
	}
	if current.attempts.CanMoveAgain() {
		g.stayAtEngine(stream.send.watched, movableAt)
	}
	g.metrics.silence.moves.WithLabelValues("returned").Inc()
	g.events.line("send_returned").Str("request_id", current.metadata.RequestID).Str("worker", current.worker).
		Bool("heard", heard).Msg("send_returned")
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
	relayErr := <-stream.ended
	g.events.line("held_stream_closed").Str("request_id", current.metadata.RequestID).Str("worker", stream.state.worker).
		AnErr("relay_ended", relayErr).Msg("held_stream_closed")
	g.endSend(current, stream.send)
	// The outcome is that of the held send, not of the current one.
	currentState := current.sendState
	current.sendState = stream.state
	g.recordOutcome(current, stream.send.placement, outcome, cause)
	current.sendState = currentState
}

// dropHeldStream closes a held stream that remains at the end of its request.
func (g *Gateway) dropHeldStream(current *callerRequest) {
	if current.held != nil && current.held.isAbandoned() {
		g.endHeldStream(current, backends.Silent, errEngineSilent.Error())
		return
	}
	g.endHeldStream(current, backends.Cancelled, "request ended")
}

// isSilent reports whether nothing has come from the engine of a watched send since it was found silent.
func (g *Gateway) isSilent(send *watchedSend) bool {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.monitor.IsSilent(send.run)
}

// callOffMove records that nothing was done for a move that the retry budget was charged for.
func (g *Gateway) callOffMove(send *watchedSend) {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.Stay(send.run, g.now())
	send.isPaid = true
}

// stayAtEngine records that a send that was to be moved goes on at its engine. It may be moved again at
// movableAt.
func (g *Gateway) stayAtEngine(send *watchedSend, movableAt time.Duration) {
	w := g.engineWatch
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.monitor.Stay(send.run, movableAt)
}
