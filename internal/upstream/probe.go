package upstream

import (
	"context"
	"syscall"

	"github.com/go-faster/errors"
)

// Liveness tells whether a worker takes new connections.
type Liveness int

// Livenesses.
const (
	// LivenessUnknown means that it couldn't be asked, or didn't answer in time.
	LivenessUnknown Liveness = iota
	// Alive means that it has taken one.
	Alive
	// Dead means that its address refuses them.
	Dead
)

// Probe makes a connection to a worker to find out whether it is still there. One that
// the worker takes is kept for the next exchange.
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
