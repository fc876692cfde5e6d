package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// startupHold is how long after the front was opened a request is held until this
// node knows the configuration for the first time: the store is being asked, and a
// caller that is refused comes back later than the answer. The process's start doesn't
// count: 1.3 s passed between the two on a machine with five times more to do than it could.
const startupHold = 300 * time.Millisecond

// readiness tells when this node knows all that it needs to serve.
type readiness struct {
	readyOnce sync.Once
	// tablesOnce is done when it knows what the store holds.
	tablesOnce sync.Once
	// frontOpenedAt is when the front was frontOpenedAt, in nanoseconds of the steady clock.
	frontOpenedAt atomic.Int64
	// ready is closed when it does for the first time.
	ready chan struct{}
}

func newReadiness() *readiness { return &readiness{ready: make(chan struct{})} }

// hasTables tells whether this node has a configuration and the list of workers.
func (g *Gateway) hasTables() bool { return g.holder.Current() != nil && g.workersKnown.Load() }

// isReady tells whether this node can serve.
func (g *Gateway) isReady() bool { return !g.isStopping() && g.hasTables() }

// updateReadiness is called after each step towards knowing all: both tables, and a
// proof of how new they are. A node that knows both tables needs no more of the store,
// even if no configuration is there yet; it is ready when there is.
func (g *Gateway) updateReadiness() {
	if _, proven := g.freshness.Age(g.now()); !proven || !g.workersKnown.Load() {
		return
	}
	g.readiness.tablesOnce.Do(func() { g.sources.recordTablesKnown(g.now()) })
	if !g.hasTables() {
		return
	}
	g.readiness.readyOnce.Do(func() {
		close(g.readiness.ready)
		g.logger.Info().Dur("took", g.now()).Msg("ready")
	})
}

// awaitReady waits a moment for what this node needs to serve, if it has just
// started.
func (g *Gateway) awaitReady(ctx context.Context) {
	left := time.Duration(g.readiness.frontOpenedAt.Load()) + startupHold - g.now()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.readiness.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}
