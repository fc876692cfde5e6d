package gateway

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/quarantine"
)

// minPause is the shortest delay of a turn of maintainRoles that counts as a pause of the process. The loop
// may sleep for idleTick, so that a pause as long as a crashed worker needs for a successor always counts.
const minPause = quarantine.SuccessorDelay - idleTick

// errResumed is the cancellation cause of calls that were in progress when the machine was
// suspended.
var errResumed = errors.New("machine was suspended")

// checkSuspension checks whether the machine was suspended since the last call. After a suspension,
// peers may have closed connections or sent data that never arrives, so it closes idle connections,
// cancels long polls and rearms the deadlines of requests. All other timing uses the steady clock,
// which includes the suspension.
func (g *Gateway) checkSuspension() {
	suspended := g.suspensions.Check()
	if suspended == 0 {
		return
	}
	g.metrics.suspensions.Inc()
	g.logger.Warn().Dur("slept", suspended).Int64("in_flight", g.inFlight.Load()).Msg("machine_suspended")
	g.deadlines.rearm(g.now())
	g.upstreams.CloseIdle()
	g.peers.CloseIdle()
	if g.dependencies.CloseIdle != nil {
		g.dependencies.CloseIdle()
	}
	g.suspensionSignal.notify()
}

// suspensionSignal cancels long polls after the machine was suspended.
type suspensionSignal struct {
	mutex   sync.Mutex
	current context.Context
	cancel  context.CancelCauseFunc
}

func newSuspensionSignal() *suspensionSignal {
	s := &suspensionSignal{}
	s.current, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// notify cancels the calls that are currently bound.
func (s *suspensionSignal) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cancel(errResumed)
	s.current, s.cancel = context.WithCancelCause(context.Background())
}

// bind returns a context for a call that is also cancelled after the next suspension.
func (s *suspensionSignal) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mutex.Lock()
	current := s.current
	s.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(current, func() { cancel(context.Cause(current)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
