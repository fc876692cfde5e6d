package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// startHold is how long after the front was opened a request is held until this
// node knows the configuration for the first time: the store is being asked, and a
// caller that is refused comes back later than the answer. The process's start doesn't
// count: 1.3 s passed between the two on a machine with five times more to do than it could.
const startHold = 300 * time.Millisecond

// readiness tells when this node knows all that it needs to serve.
type readiness struct {
	once sync.Once
	// informed is done when it knows what the store holds.
	informed sync.Once
	// opened is when the front was opened, in nanoseconds of the steady clock.
	opened atomic.Int64
	// known is closed when it does for the first time.
	known chan struct{}
}

func newReadiness() *readiness { return &readiness{known: make(chan struct{})} }

// knowsTables tells whether this node has a configuration and the list of workers.
func (g *Gateway) knowsTables() bool { return g.holder.Current() != nil && g.workersKnown.Load() }

// ready tells whether this node can serve.
func (g *Gateway) ready() bool { return !g.stopping() && g.knowsTables() }

// noteKnown is called after each step towards knowing all: both tables, and a
// proof of how new they are. A node that knows both tables needs no more of the store,
// even if no configuration is there yet; it is ready when there is.
func (g *Gateway) noteKnown() {
	if _, proven := g.fresh.Age(g.now()); !proven || !g.workersKnown.Load() {
		return
	}
	g.readiness.informed.Do(func() { g.sources.inform(g.now()) })
	if !g.knowsTables() {
		return
	}
	g.readiness.once.Do(func() {
		close(g.readiness.known)
		g.logger.Info().Dur("took", g.now()).Msg("ready")
	})
}

// awaitKnown waits a moment for what this node needs to serve, if it has just
// started.
func (g *Gateway) awaitKnown(ctx context.Context) {
	left := time.Duration(g.readiness.opened.Load()) + startHold - g.now()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.readiness.known:
	case <-timer.C:
	case <-ctx.Done():
	}
}
