package upstream

import (
	"context"
	"syscall"

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
