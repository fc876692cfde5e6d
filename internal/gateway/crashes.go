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
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// probeDelay is how long after a broken exchange its worker is asked whether it is still
	// there: a process that ends closes its connections and its listener one after the other.
	probeDelay = 50 * time.Millisecond
	// namedRuns bounds the fingerprints that one line names.
	namedRuns = 8
)

// crashes finds out which workers have ended, and what ended with them. It is safe for
// concurrent use.
type crashes struct {
	mutex sync.Mutex
	lost  *quarantine.LostRuns
}

func newCrashes() *crashes { return &crashes{lost: quarantine.NewLostRuns()} }

func (c *crashes) note(now time.Duration, worker fleet.EngineID, fingerprint quarantine.Fingerprint, loss quarantine.Loss) (blamed, check bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lost.Observe(now, worker, fingerprint, loss)
}

func (c *crashes) ended(now time.Duration, worker fleet.EngineID, proof quarantine.Evidence) []quarantine.Fingerprint {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lost.WorkerCrashed(now, worker, proof)
}

func (c *crashes) alive(worker fleet.EngineID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost.WorkerAlive(worker)
}

func (c *crashes) undecided(worker fleet.EngineID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost.ProbeInconclusive(worker)
}

func (c *crashes) sweep(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost.Sweep(now)
}

// fingerprintOf returns the fingerprint of a request whose body has been read.
func fingerprintOf(current *carried) quarantine.Fingerprint {
	subject := quarantine.RequestIdentity{
		Method: current.request.Method,
		Host:   current.request.Host,
		Target: current.request.RequestURI,
		Body:   current.body,
	}
	if current.tenant != nil {
		subject.Caller = string(current.tenant.Name)
	}
	return subject.Fingerprint()
}

// noteLostRun takes in that a run brought no whole answer, and has its worker asked whether it
// has ended if its side broke off.
func (g *Gateway) noteLostRun(current *carried, placement *backends.Placement, loss quarantine.Loss) {
	worker := placement.Worker.ID
	blamed, check := g.crashes.note(g.now(), worker, current.fingerprint, loss)
	switch {
	case blamed:
		g.blame(worker, quarantine.ConnectionRefused, []quarantine.Fingerprint{current.fingerprint})
	case check:
		go g.probeWorker(g.destination(current, &placement.Worker))
	}
}

// probeWorker finds out whether a worker has ended.
func (g *Gateway) probeWorker(destination upstream.Destination) {
	if !g.pause(probeDelay) {
		return
	}
	switch g.upstreams.Probe(g.context(), destination) {
	case upstream.Alive:
		g.crashes.alive(destination.Engine)
	case upstream.Dead:
		g.noteWorkerEnded(destination.Engine, quarantine.ConnectionRefused)
	default:
		g.crashes.undecided(destination.Engine)
	}
}

// noteUnreachable takes in that no connection to a worker could be made.
func (g *Gateway) noteUnreachable(worker fleet.EngineID, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.noteWorkerEnded(worker, quarantine.ConnectionRefused)
	}
}

// noteWorkerEnded takes in that a worker has ended without word that it was leaving.
func (g *Gateway) noteWorkerEnded(worker fleet.EngineID, proof quarantine.Evidence) {
	if blamed := g.crashes.ended(g.now(), worker, proof); len(blamed) > 0 {
		g.blame(worker, proof, blamed)
	}
}

// fingerprintText returns the first of some fingerprints.
func fingerprintText(fingerprints []quarantine.Fingerprint) string {
	named := fingerprints[:min(len(fingerprints), namedRuns)]
	texts := make([]string, len(named))
	for index, fingerprint := range named {
		texts[index] = fingerprint.Short()
	}
	return strings.Join(texts, ",")
}

// abandonedBy tells whether the context of a send ended before its worker's connection.
func abandonedBy(ctx context.Context) quarantine.Loss {
	if ctx.Err() != nil {
		return quarantine.Abandoned
	}
	return quarantine.ConnectionBroken
}
