package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// endProbeDelay is how long after the end of a response that ends with its connection the worker is probed:
// a process that crashes closes its connections and its listener one after the other.
const endProbeDelay = 20 * time.Millisecond

// errEndUnproven means that a response ended with its connection and its worker no longer answers.
var errEndUnproven = errors.New("connection closed, and the worker can't be reached")

// confirmEnd returns an error if a response that ended with its connection may have been cut, since its
// worker doesn't answer any more. All other responses show their end themselves.
func (g *Gateway) confirmEnd(ctx context.Context, current *callerRequest, placement *backends.Placement, response *upstream.Response) error {
	if !response.EndsWithConnection {
		return nil
	}
	timer := time.NewTimer(endProbeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	liveness := g.upstreams.ProbeRun(ctx, g.destination(current, &placement.Worker))
	g.metrics.probedEnds.WithLabelValues(liveness.String()).Inc()
	if liveness != upstream.Alive {
		return errEndUnproven
	}
	return nil
}
