package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

// Times of a planned stop.
const (
	// leaveDuration is how long requests are still taken after a stop began: callers
	// keep answers of the directory for up to three times their lifetime.
	leaveDuration = 3*directoryTTL + 500*time.Millisecond
	// quietDuration is the time without a request after which no more are awaited.
	quietDuration = 700 * time.Millisecond
	// stopReserve is how much before the kill the process ends.
	stopReserve  = 400 * time.Millisecond
	leaveTimeout = 300 * time.Millisecond
	stopPoll     = 50 * time.Millisecond
)

// Stop stops as planned: the node leaves the directory, goes on serving until
// callers have heard of it, finishes what it has taken and ends within the
// grace.
func (g *Gateway) Stop() error {
	began := g.now()
	if !g.stoppingSince.CompareAndSwap(0, int64(began)) {
		return g.life.Wait()
	}
	g.logger.Info().Int64("in_flight", g.inFlight.Load()).Msg("stopping")
	var released sync.WaitGroup
	released.Go(func() { _ = g.lease.Stop() })
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	_ = g.peers.Leave(ctx)
	cancel()
	g.awaitDrained(began)
	g.shutdown(began)
	released.Wait()
	err := g.peers.Stop()
	g.life.Kill(nil)
	if waitErr := g.life.Wait(); waitErr != nil {
		err = waitErr
	}
	g.upstreams.CloseIdle()
	g.logger.Info().Int64("in_flight", g.inFlight.Load()).Dur("took", g.now()-began).Msg("stopped")
	return err
}

// awaitDrained waits until callers have left, or until the grace runs out.
func (g *Gateway) awaitDrained(began time.Duration) {
	end := began + g.settings().StopGrace - stopReserve
	for g.now() < end {
		quiet := g.now()-time.Duration(g.lastRequest.Load()) > quietDuration
		if g.now() > began+leaveDuration && quiet && g.inFlight.Load() == 0 {
			return
		}
		time.Sleep(stopPoll)
	}
}

// shutdown closes the servers, the front last and with what is left of the grace.
func (g *Gateway) shutdown(began time.Duration) {
	left := max(began+g.settings().StopGrace-stopReserve/2-g.now(), stopPoll)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range g.servers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	group.Wait()
}

// refusesRequests tells whether new requests are turned away since the stop is near.
func (g *Gateway) refusesRequests() bool {
	since := g.stoppingSince.Load()
	return since != 0 && g.now() > time.Duration(since)+leaveDuration+quietDuration
}

// closeAfterResponse asks the caller to open another connection next time.
func (g *Gateway) closeAfterResponse(header http.Header) {
	if g.isStopping() || g.pressure.level() == nodecapacity.Full {
		header.Set("Connection", "close")
	}
}
