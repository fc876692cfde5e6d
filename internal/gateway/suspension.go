package gateway

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// errResumed is the cause of a call that was broken off since the machine had been suspended.
var errResumed = errors.New("machine was suspended")

// noteSuspension finds out whether the machine was suspended since the last call. What other
// machines closed or sent meanwhile may never be heard of: idle connections aren't used again,
// calls that wait for news are made anew, and requests end by the clock that went on. All else
// goes by that clock already, and finds out itself how old it is.
func (g *Gateway) noteSuspension() {
	slept := g.suspensions.Check()
	if slept == 0 {
		return
	}
	g.metrics.suspensions.Inc()
	g.logger.Warn().Dur("slept", slept).Int64("in_flight", g.inFlight.Load()).Msg("machine_suspended")
	g.deadlines.rearm(g.now())
	g.upstreams.CloseIdle()
	g.peers.CloseIdle()
	if g.outside.CloseIdle != nil {
		g.outside.CloseIdle()
	}
	g.resumptions.note()
}

// resumptions breaks calls off that wait for news when the machine goes on after a suspension.
type resumptions struct {
	mutex  sync.Mutex
	awaken context.Context
	cancel context.CancelCauseFunc
}

func newResumptions() *resumptions {
	r := &resumptions{}
	r.awaken, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// note breaks the calls off that are bound now.
func (r *resumptions) note() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cancel(errResumed)
	r.awaken, r.cancel = context.WithCancelCause(context.Background())
}

// bind returns a context for a call that ends also at the next suspension.
func (r *resumptions) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mutex.Lock()
	awaken := r.awaken
	r.mutex.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(awaken, func() { cancel(context.Cause(awaken)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
