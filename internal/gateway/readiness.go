package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// startupHold is how long after the front opens a request waits for the first configuration,
// instead of being refused while the store is being read. It doesn't count from the process's
// start, since a slow machine may take longer to open the front: 1.3 s was seen on an overloaded one.
const startupHold = 300 * time.Millisecond

// quarantineHold is how long after this gateway became ready a request waits until it is known which
// requests are quarantined: the table is read beside those that make a gateway ready.
const quarantineHold = 300 * time.Millisecond

// readiness tracks whether this gateway has the state that it needs to serve.
type readiness struct {
	readyOnce sync.Once
	// tablesOnce runs when the gateway first knows both tables.
	tablesOnce sync.Once
	// frontOpenedAt is when the front opened, in nanoseconds of the steady clock.
	frontOpenedAt atomic.Int64
	// ready is closed when the gateway becomes ready for the first time, which is at readyAt, in
	// nanoseconds of the steady clock.
	ready   chan struct{}
	readyAt atomic.Int64
	// quarantineKnown is closed once it is known which requests the store holds as quarantined.
	quarantineOnce  sync.Once
	quarantineKnown chan struct{}
}

func newReadiness() *readiness {
	return &readiness{ready: make(chan struct{}), quarantineKnown: make(chan struct{})}
}

// hasTables reports whether this gateway has a configuration and the list of workers.
func (g *Gateway) hasTables() bool { return g.configuration.Current() != nil && g.workersKnown.Load() }

// isReady reports whether this gateway can serve.
func (g *Gateway) isReady() bool { return !g.isStopping() && g.hasTables() }

// updateReadiness is called after each change of the tables or of the freshness proof. A gateway
// that knows both tables needs no more reads of the store, even if no configuration exists yet, but
// is not ready before one does.
func (g *Gateway) updateReadiness() {
	if _, proven := g.freshness.Age(g.now()); !proven || !g.workersKnown.Load() {
		return
	}
	g.readiness.tablesOnce.Do(func() { g.sources.recordTablesLoaded(g.now()) })
	if !g.hasTables() {
		return
	}
	g.readiness.readyOnce.Do(func() {
		g.readiness.readyAt.Store(int64(g.now()))
		close(g.readiness.ready)
		g.logger.Info().Dur("took", g.now()).Msg("ready")
	})
}

// awaitReady waits until this gateway is ready, but no longer than startupHold after the front
// opened.
func (g *Gateway) awaitReady(ctx context.Context) {
	g.awaitStart(ctx, g.readiness.ready, time.Duration(g.readiness.frontOpenedAt.Load())+startupHold)
}

// recordQuarantineKnown records that this gateway knows what the store holds of quarantined requests.
func (g *Gateway) recordQuarantineKnown() {
	g.readiness.quarantineOnce.Do(func() { close(g.readiness.quarantineKnown) })
}

// isQuarantineKnown reports whether this gateway knows what the store holds of quarantined requests.
func (g *Gateway) isQuarantineKnown() bool {
	select {
	case <-g.readiness.quarantineKnown:
		return true
	default:
		return false
	}
}

// awaitQuarantine waits until it is known which requests are quarantined, but no longer than
// quarantineHold after this gateway became ready: the store may be away.
func (g *Gateway) awaitQuarantine(ctx context.Context) {
	g.awaitStart(ctx, g.readiness.quarantineKnown, time.Duration(g.readiness.readyAt.Load())+quarantineHold)
}

// awaitStart waits until something that happens at the start has happened, but no longer than a time.
func (g *Gateway) awaitStart(ctx context.Context, happened <-chan struct{}, until time.Duration) {
	remaining := until - g.now()
	if remaining <= 0 {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-happened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
