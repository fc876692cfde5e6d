package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/rollout"
	"github.com/tillerfall/tillerfall/internal/tcpend"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// runCheckTimeout bounds the time that a worker has to tell its run. A full one may take a while.
const runCheckTimeout = 500 * time.Millisecond

// labelReset is the value of the metric's label for a connection that was reset after its end.
const labelReset = "reset"

// errEndUnproven means that a response ended with its connection and its worker no longer answers.
var errEndUnproven = errors.New("connection closed, and the worker can't be reached")

// confirmEnd returns an error if a response that ended with its connection may have been cut: the connection
// was reset, or the worker doesn't answer any more. All other responses show their end themselves.
func (g *Gateway) confirmEnd(ctx context.Context, current *callerRequest, placement *backends.Placement, response *upstream.Response) error {
	if !response.EndsWithConnection {
		return nil
	}
	worker := &placement.Worker
	// A process that crashes closes its connections and its listener one after the other, so the probe comes last.
	if err := response.AwaitEnd(ctx); err != nil {
		// Any other error means that the request itself has ended.
		if errors.Is(err, tcpend.ErrReset) {
			g.metrics.probedEnds.WithLabelValues(labelReset).Inc()
			g.logUnprovenEnd(current, worker, err)
		}
		return err
	}
	liveness := g.probeEnd(ctx, current, worker, response.SilenceBeforeEnd())
	g.metrics.probedEnds.WithLabelValues(liveness.String()).Inc()
	if liveness != upstream.Alive {
		g.logUnprovenEnd(current, worker, errEndUnproven)
		return errEndUnproven
	}
	return nil
}

func (g *Gateway) logUnprovenEnd(current *callerRequest, worker *backends.Worker, cause error) {
	g.events.line("end_unproven").Str("request_id", current.metadata.RequestID).Str("worker", string(worker.ID)).
		Str("relay", string(current.relay)).Err(cause).Msg("end_unproven")
}

// probeEnd finds out whether the run that sent a response to a request is alive. Another worker may have taken its
// address if the process was paused meanwhile, or if the connection was silent for long before its end, as it is
// while packets are lost. A new connection proves nothing then.
func (g *Gateway) probeEnd(ctx context.Context, current *callerRequest, worker *backends.Worker, silence time.Duration) upstream.Liveness {
	destination, now := g.destination(current, worker), g.now()
	mayHaveSuccessor := silence >= quarantine.SuccessorDelay || g.pauses.PausedSince(current.sentAt, now)
	switch {
	case !mayHaveSuccessor:
		return g.upstreams.ProbeRun(ctx, destination)
	case g.upstreams.HasOpenSince(destination, now-current.sentAt):
		return upstream.Alive
	default:
		return g.identifyRun(ctx, worker, current.service.HealthPath)
	}
}

// identifyRun finds out whether the run at a worker's address is the one that was known before. A worker tells
// its identifier, which a restarted one may have kept. Its row tells when it started.
func (g *Gateway) identifyRun(ctx context.Context, worker *backends.Worker, healthPath string) upstream.Liveness {
	ctx, cancel := context.WithTimeout(g.workerCallContext(ctx, callHealth, worker), runCheckTimeout)
	defer cancel()
	err := g.dependencies.Engines.CheckRun(ctx, *worker, healthPath)
	if err == nil {
		err = g.checkStartTime(ctx, worker)
	}
	switch {
	case err == nil:
		return upstream.Alive
	case errors.Is(err, rollout.ErrDifferentRun):
		return upstream.Dead
	default:
		g.events.line("run_unchecked").Str("worker", string(worker.ID)).Err(err).Msg("run_unchecked")
		return upstream.LivenessUnknown
	}
}

// checkStartTime returns rollout.ErrDifferentRun unless a worker's row still has the start time that was known
// before. A worker whose start time isn't known has a new identifier after each restart.
func (g *Gateway) checkStartTime(ctx context.Context, worker *backends.Worker) error {
	if worker.StartTime == 0 {
		return nil
	}
	row, err := g.dependencies.Store.ReadWorker(ctx, worker.ID)
	if err != nil {
		return errors.Wrap(err, "read row")
	}
	if row.Deleted || row.Worker.StartTime != worker.StartTime {
		return rollout.ErrDifferentRun
	}
	return nil
}
