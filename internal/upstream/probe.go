package upstream

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Liveness is the result of probing a worker.
type Liveness int

// Results of a probe.
const (
	// LivenessUnknown means that the worker could not be probed or did not answer in time.
	LivenessUnknown Liveness = iota
	// Alive means that the worker accepted a connection.
	Alive
	// Dead means that the worker's address refused the connection.
	Dead
)

// String returns the name of the result.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// ProbeRun finds out whether a run of a worker is still alive. An open idle connection to it is proof, since
// a crash closes all of them; otherwise it opens a new one, also if MaxConnections are open.
func (p *Pool) ProbeRun(ctx context.Context, destination Destination) Liveness {
	if p.HasOpenSince(destination, 0) {
		return Alive
	}
	destination.MaxConnections = 0
	return p.Probe(ctx, destination)
}

// HasOpenSince reports whether an idle connection to a run of a worker is open that was opened at least some
// time ago.
func (p *Pool) HasOpenSince(destination Destination, age time.Duration) bool {
	now := time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.workers[destination.Engine]
	if state == nil {
		return false
	}
	return slices.ContainsFunc(state.idle, func(idle *connection) bool {
		return idle.address == destination.Address && now.Sub(idle.openedAt) >= age && idle.isUsable()
	})
}

// Probe opens a connection to a worker to find out whether it is alive. The connection is kept for
// the next exchange.
func (p *Pool) Probe(ctx context.Context, destination Destination) Liveness {
	if !p.reserve(destination) {
		return LivenessUnknown
	}
	conn, err := p.dial(ctx, destination)
	switch {
	case err == nil:
		p.release(conn)
		return Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return Dead
	default:
		return LivenessUnknown
	}
}
