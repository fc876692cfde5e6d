package gateway

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/tunnel"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// probeDelay is how long after a broken exchange the worker is probed. A process that ends
	// closes its connections and its listener one after the other.
	probeDelay = 50 * time.Millisecond
	// maxLoggedFingerprints bounds the fingerprints in one log line.
	maxLoggedFingerprints = 8
)

// crashDetector finds out which workers have crashed and which requests were running there. It is
// safe for concurrent use.
type crashDetector struct {
	mutex    sync.Mutex
	lostRuns *quarantine.LostRuns
}

func newCrashDetector() *crashDetector { return &crashDetector{lostRuns: quarantine.NewLostRuns()} }

func (c *crashDetector) recordLoss(now time.Duration, worker fleet.EngineID, subject quarantine.Subject, loss quarantine.Loss) (suspected, probe bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lostRuns.Observe(now, worker, subject, loss)
}

func (c *crashDetector) markCrashed(now time.Duration, worker fleet.EngineID, evidence quarantine.Evidence) []quarantine.Subject {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lostRuns.WorkerCrashed(now, worker, evidence)
}

func (c *crashDetector) markAlive(now time.Duration, worker fleet.EngineID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lostRuns.WorkerAlive(now, worker)
}

func (c *crashDetector) markInconclusive(worker fleet.EngineID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lostRuns.ProbeInconclusive(worker)
}

func (c *crashDetector) sweep(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lostRuns.Sweep(now)
}

// fingerprintOf returns the fingerprint of a request whose body has been read.
func fingerprintOf(current *callerRequest) quarantine.Fingerprint {
	identity := quarantine.RequestIdentity{
		Method: current.request.Method,
		Host:   current.request.Host,
		Target: current.request.RequestURI,
		Body:   current.body,
	}
	if current.tenant != nil {
		identity.Caller = string(current.tenant.Name)
	}
	return identity.Fingerprint()
}

// recordLostRun records that a run ended without a complete response. If the connection broke, it
// has the worker probed.
func (g *Gateway) recordLostRun(current *callerRequest, placement *backends.Placement, loss quarantine.Loss) {
	worker := placement.Worker.ID
	if loss == quarantine.ConnectionBroken && g.isOwnFailure(worker, current.relay) {
		loss = quarantine.PathBroken
	}
	suspected, probe := g.crashes.recordLoss(g.now(), worker, current.subject(), loss)
	switch {
	case suspected:
		g.recordWorkerCrash(worker, quarantine.ConnectionRefused, []quarantine.Subject{current.subject()})
	case probe:
		go g.probeWorker(g.destination(current, &placement.Worker))
	}
}

// probeWorker checks whether a worker still accepts connections.
func (g *Gateway) probeWorker(destination upstream.Destination) {
	if !g.pause(probeDelay) {
		return
	}
	switch g.upstreams.Probe(g.context(), destination) {
	case upstream.Alive:
		g.crashes.markAlive(g.now(), destination.Engine)
	case upstream.Dead:
		g.recordWorkerEnded(destination.Engine, g.refusalEvidence(destination.Engine))
	default:
		g.crashes.markInconclusive(destination.Engine)
	}
}

// refusalEvidence returns what a refused connection to a worker shows. While the link to it is lost, only
// other gateways have tried.
func (g *Gateway) refusalEvidence(worker fleet.EngineID) quarantine.Evidence {
	if g.links.isLost(worker) {
		return quarantine.RefusedElsewhere
	}
	return quarantine.ConnectionRefused
}

// recordUnreachable records that no connection to a worker could be opened. A refused connection
// means that the worker has ended, unless this gateway's own link is lost.
func (g *Gateway) recordUnreachable(worker fleet.EngineID, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.recordWorkerEnded(worker, quarantine.ConnectionRefused)
	}
	if errors.Is(err, tunnel.ErrWorkerRefused) || errors.Is(err, tunnel.ErrWorkerUnreachable) {
		g.workers.ConfirmSuspicion(worker)
	}
}

// recordWorkerEnded records that a worker has ended without announcing its shutdown.
func (g *Gateway) recordWorkerEnded(worker fleet.EngineID, evidence quarantine.Evidence) {
	if lost := g.crashes.markCrashed(g.now(), worker, evidence); len(lost) > 0 {
		g.recordWorkerCrash(worker, evidence, lost)
	}
}

// shortFingerprints returns the fingerprints of the first requests of a list in their short form,
// separated by commas.
func shortFingerprints(lost []quarantine.Subject) string {
	logged := lost[:min(len(lost), maxLoggedFingerprints)]
	texts := make([]string, len(logged))
	for index := range logged {
		texts[index] = logged[index].Request.Short()
	}
	return strings.Join(texts, ",")
}

// lossOf returns how a send was lost: abandoned by this gateway if its context has ended, otherwise
// broken off by the worker.
func lossOf(ctx context.Context) quarantine.Loss {
	if ctx.Err() != nil {
		return quarantine.Abandoned
	}
	return quarantine.ConnectionBroken
}
