package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

const (
	// noticeDuration is how long after a stop began callers may not know of it. They may keep a directory
	// response for up to three times its TTL.
	noticeDuration = 3 * directoryTTL
	// leaveDuration is how long requests are still accepted after a stop began.
	leaveDuration = noticeDuration + 500*time.Millisecond
	// quietDuration is the time without a request after which no more are expected.
	quietDuration = 700 * time.Millisecond
	// stopReserve is how long before the end of the grace period the process ends.
	stopReserve      = 400 * time.Millisecond
	leaveTimeout     = 300 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// Stop performs a planned stop: the gateway leaves the directory, serves until callers have
// noticed, finishes the requests in flight and ends within StopGrace.
func (g *Gateway) Stop() error {
	start := g.now()
	if !g.stoppingSince.CompareAndSwap(0, int64(start)) {
		return g.life.Wait()
	}
	g.logger.Info().Int64("in_flight", g.inFlight.Load()).Msg("stopping")
	var released sync.WaitGroup
	released.Go(func() { _ = g.lease.Stop() })
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	_ = g.peers.Leave(ctx)
	cancel()
	g.awaitDrained(start)
	g.shutdown(start)
	released.Wait()
	err := g.peers.Stop()
	g.life.Kill(nil)
	if waitErr := g.life.Wait(); waitErr != nil {
		err = waitErr
	}
	g.upstreams.CloseIdle()
	g.logger.Info().Int64("in_flight", g.inFlight.Load()).Dur("took", g.now()-start).Msg("stopped")
	return err
}

// awaitDrained waits until callers have left, no request is in flight and other gateways have closed
// their tunnels, or until the grace period is nearly over.
func (g *Gateway) awaitDrained(start time.Duration) {
	end := start + g.settings().StopGrace - stopReserve
	for g.now() < end {
		quiet := g.now()-time.Duration(g.lastRequest.Load()) > quietDuration
		if g.now() > start+leaveDuration && quiet && g.inFlight.Load() == 0 && g.pressure.tunnels.Load() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// shutdown shuts all servers down concurrently, within the rest of the grace period.
func (g *Gateway) shutdown(start time.Duration) {
	remaining := max(start+g.settings().StopGrace-stopReserve/2-g.now(), stopPollInterval)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	g.recordIdleCloses(g.idleConnections.closesAtStop(g.now()), closeCauseStopping)
	var group sync.WaitGroup
	for _, server := range g.servers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				g.serversClosed.Store(true)
				_ = server.Close()
			}
		})
	}
	group.Wait()
}

// refusesRequests reports whether new requests are refused because the stop is near.
func (g *Gateway) refusesRequests() bool {
	since := g.stoppingSince.Load()
	return since != 0 && g.now() > time.Duration(since)+leaveDuration+quietDuration
}

// mayOutlastStop reports whether a request may still be under way at the end of the grace period, when it would be
// cut. Requests of callers that can't know of the stop yet are accepted all the same.
func (g *Gateway) mayOutlastStop(current *callerRequest) bool {
	since := time.Duration(g.stoppingSince.Load())
	if since == 0 || current.startedAt <= since+noticeDuration {
		return false
	}
	return current.deadline > since+g.settings().StopGrace-stopReserve
}

// closeAfterResponse asks the caller to open a new connection for its next request if this gateway
// is stopping or full.
func (g *Gateway) closeAfterResponse(header http.Header) {
	if g.isStopping() || g.pressure.level() == nodecapacity.Full {
		header.Set("Connection", "close")
	}
}
