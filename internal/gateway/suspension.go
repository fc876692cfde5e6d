package gateway

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// errResumed is the cause of a call that was broken off since the machine had been suspended.
var errResumed = errors.New("machine was suspended")

// checkSuspension finds out whether the machine was suspended since the last call. What other
// machines closed or sent meanwhile may never be heard of: idle connections aren't used again,
// calls that wait for news are made anew, and requests end by the clock that went on. All else
// goes by that clock already, and finds out itself how old it is.
func (g *Gateway) checkSuspension() {
	slept := g.suspensions.Check()
	if slept == 0 {
		return
	}
	g.metrics.suspensions.Inc()
	g.logger.Warn().Dur("slept", slept).Int64("in_flight", g.inFlight.Load()).Msg("machine_suspended")
	g.deadlines.rearm(g.now())
	g.upstreams.CloseIdle()
	g.peers.CloseIdle()
	if g.dependencies.CloseIdle != nil {
		g.dependencies.CloseIdle()
	}
	g.suspensionSignal.notify()
}

// suspensionSignal breaks calls off that wait for news when the machine goes on after a suspension.
type suspensionSignal struct {
	mutex   sync.Mutex
	current context.Context
	cancel  context.CancelCauseFunc
}

func newSuspensionSignal() *suspensionSignal {
	r := &suspensionSignal{}
	r.current, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// notify breaks the calls off that are bound now.
func (r *suspensionSignal) notify() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancel(errResumed)
	r.current, r.cancel = context.WithCancelCause(context.Background())
}

// bind returns a context for a call that ends also at the next suspension.
func (r *suspensionSignal) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mutex.Lock()
	awaken := r.current
	r.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(awaken, func() { cancel(context.Cause(awaken)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
