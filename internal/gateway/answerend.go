package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/rollout"
	"github.com/tillerfall/tillerfall/internal/tcpend"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// runCheckTimeout bounds the first question for a worker's run, which a full worker answers once it has a
	// slot. It doubles with each further one up to maxRunCheckTimeout.
	runCheckTimeout    = 500 * time.Millisecond
	maxRunCheckTimeout = 4 * time.Second
	// runCheckPause is the time between the first two attempts to find out whether a run is alive. It doubles up to
	// maxRunCheckPause.
	runCheckPause    = 100 * time.Millisecond
	maxRunCheckPause = 500 * time.Millisecond
)

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
	worker, lastBytesAt := &placement.Worker, g.now()-response.SilenceBeforeEnd()
	// A process that crashes closes its connections and its listener one after the other, so the probe comes last.
	if err := response.AwaitEnd(ctx); err != nil {
		// Any other error means that the request itself has ended.
		if errors.Is(err, tcpend.ErrReset) {
			g.metrics.probedEnds.WithLabelValues(labelReset).Inc()
			g.logUnprovenEnd(current, worker, err)
		}
		return err
	}
	liveness := g.awaitRun(ctx, current, worker, lastBytesAt)
	g.metrics.probedEnds.WithLabelValues(liveness.String()).Inc()
	if liveness != upstream.Alive {
		g.logUnprovenEnd(current, worker, errEndUnproven)
		return errEndUnproven
	}
	return nil
}

// awaitRun finds out whether the run that sent a response is alive. A silent worker is asked until the request
// ends, or for fleet.MaxSilence if the request may be sent elsewhere.
func (g *Gateway) awaitRun(ctx context.Context, current *callerRequest, worker *backends.Worker, lastBytesAt time.Duration) upstream.Liveness {
	if current.attempts.CanBreakOff() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, fleet.MaxSilence)
		defer cancel()
	}
	timeout, pause := runCheckTimeout, runCheckPause
	for {
		liveness := g.probeEnd(ctx, current, worker, lastBytesAt, timeout)
		if liveness != upstream.LivenessUnknown {
			return liveness
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return upstream.LivenessUnknown
		}
		timeout, pause = min(2*timeout, maxRunCheckTimeout), min(2*pause, maxRunCheckPause)
	}
}

func (g *Gateway) logUnprovenEnd(current *callerRequest, worker *backends.Worker, cause error) {
	g.events.line("end_unproven").Str("request_id", current.metadata.RequestID).Str("worker", string(worker.ID)).
		Str("relay", string(current.relay)).Err(cause).Msg("end_unproven")
}

// probeEnd finds out whether the run that sent a response to a request is alive. lastBytesAt is when the last
// bytes of the response arrived.
func (g *Gateway) probeEnd(ctx context.Context, current *callerRequest, worker *backends.Worker, lastBytesAt, timeout time.Duration) upstream.Liveness {
	destination := g.destination(current, worker)
	if !g.mayHaveSuccessor(current, lastBytesAt) {
		// A successor may have come while the connection was being opened.
		liveness := g.upstreams.ProbeRun(ctx, destination)
		if liveness != upstream.Alive || !g.mayHaveSuccessor(current, lastBytesAt) {
			return liveness
		}
	}
	if g.upstreams.HasOpenSince(destination, g.now()-current.sentAt) {
		return upstream.Alive
	}
	return g.identifyRun(ctx, worker, current.service.HealthPath, timeout)
}

// mayHaveSuccessor reports whether another worker may have taken the address of the one that sent a response: the
// process was paused, or the last bytes came long ago, as they have while packets are lost. A new connection
// proves nothing then.
func (g *Gateway) mayHaveSuccessor(current *callerRequest, lastBytesAt time.Duration) bool {
	now := g.now()
	return now >= lastBytesAt+quarantine.SuccessorDelay || g.pauses.PausedSince(current.sentAt, now)
}

// identifyRun finds out whether the run at a worker's address is the one that was known before. A worker tells
// its identifier, which a restarted one may have kept. Its row tells when it started.
func (g *Gateway) identifyRun(ctx context.Context, worker *backends.Worker, healthPath string, timeout time.Duration) upstream.Liveness {
	ctx, cancel := context.WithTimeout(g.workerCallContext(ctx, callHealth, worker), timeout)
	defer cancel()
	err := g.dependencies.Engines.CheckRun(ctx, *worker, healthPath)
	isRefused := errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		err = g.checkStartTime(ctx, worker)
	}
	switch {
	case err == nil:
		return upstream.Alive
	case isRefused, errors.Is(err, rollout.ErrDifferentRun):
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
