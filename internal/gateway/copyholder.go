package gateway

import (
	"context"
	"net/url"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/liveness"
)

const (
	// maxHolderAge is how long ago an engine may have been heard that is asked for a copy. One that falls silent
	// between may refuse too late.
	maxHolderAge = 25 * time.Millisecond
	// holderProbeTimeout is how long an engine has to answer before it's asked for a copy. It's longer than that of a
	// suspected one: the stream can still go on where it is.
	holderProbeTimeout = time.Second
)

// awaitHolder reports whether a send must wait until the engine with its copy, its only way on, has answered a probe:
// the refusal of a silent engine would come after the close of the first connection. It starts the probe if there is
// none. answered is an engine that has answered one just now, if any. A stream whose own engine is silent for longer
// than a sound one doesn't wait. The mutex of engineWatch must be held.
func (g *Gateway) awaitHolder(now time.Duration, send *watchedSend, answered fleet.EngineID) bool {
	w, holder := g.engineWatch, send.copyHolder
	if !send.run.HasBegun() || send.canContinue == nil || holder == answered ||
		w.monitor.HeardSince(holder, now-maxHolderAge) || now-w.silentSince[send.run.Engine()] > fleet.MaxSilence {
		return false
	}
	waiting, probing := w.awaiting[holder]
	if !probing {
		worker, known := g.workers.Worker(holder)
		if !known {
			return false
		}
		go g.probeHolder(worker)
	}
	if !slices.Contains(waiting, send.run) {
		w.awaiting[holder] = append(waiting, send.run)
	}
	return true
}

// probeHolder probes an engine with copies, and moves the sends that wait for it once it has answered. Unlike a
// suspected engine it gets requests meanwhile.
func (g *Gateway) probeHolder(worker backends.Worker) {
	ctx, cancel := context.WithTimeout(g.workerCallContext(g.context(), callReport, &worker), holderProbeTimeout)
	defer cancel()
	_, err := g.dependencies.Engines.Report(ctx, worker)
	waiting := g.engineWatch.takeAwaiting(worker.ID)
	var failure *url.Error
	if errors.As(err, &failure) {
		g.metrics.silence.probes.WithLabelValues("unanswered").Inc()
		g.events.line("probe_failed").Str("worker", string(worker.ID)).Err(err).Msg("probe_failed")
		return
	}
	g.metrics.silence.probes.WithLabelValues("answered").Inc()
	g.observeAnswer(worker.ID)
	g.moveSendsAfter(g.now(), waiting, worker.ID)
}

// takeAwaiting returns the sends that wait for an engine's probe, which has ended.
func (w *engineWatch) takeAwaiting(holder fleet.EngineID) []*liveness.Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	waiting := w.awaiting[holder]
	delete(w.awaiting, holder)
	return waiting
}
