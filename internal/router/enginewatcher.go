package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// Limits of the calls to engines.
const (
	statusTimeout   = time.Second
	snapshotTimeout = 10 * time.Second
	// eventTimeoutMargin is how much longer than the poll's wait an answer may take.
	eventTimeoutMargin = 2 * time.Second
	// unreachableFailures is the number of failed status polls in a row after which
	// an engine that accepts connections counts as unreachable.
	unreachableFailures = 2
	minEngineBackoff    = 100 * time.Millisecond
	maxEngineBackoff    = 2 * time.Second
	// untrackedEventsPause is how long to wait while the core follows no events.
	untrackedEventsPause = 500 * time.Millisecond
)

// engineWatcher follows one owned engine: its status, its cache events and,
// after lost events, its whole cache.
type engineWatcher struct {
	id       fleet.EngineID
	address  fleet.Address
	client   *engine.Client
	placer   *placer
	statuses *statusCache
	metrics  *metrics
	settings Settings
	logger   zerolog.Logger
	tomb     tomb.Tomb

	statusRequested   chan struct{}
	snapshotRequested chan struct{}
}

func newEngineWatcher(machine platform.Machine, engines *engineFleet) *engineWatcher {
	return &engineWatcher{
		id:                fleet.EngineID(machine.ID),
		address:           machine.Address,
		client:            engine.New(machine.Address, engine.Options{}),
		placer:            engines.placer,
		statuses:          engines.statuses,
		metrics:           engines.metrics,
		settings:          engines.settings,
		logger:            engines.logger.With().Str("engine", machine.ID).Str("address", string(machine.Address)).Logger(),
		statusRequested:   make(chan struct{}, 1),
		snapshotRequested: make(chan struct{}, 1),
	}
}

func (w *engineWatcher) start() {
	w.tomb.Go(func() error {
		w.tomb.Go(w.followEvents)
		w.tomb.Go(w.fetchSnapshots)
		return w.pollStatus()
	})
}

func (w *engineWatcher) stop() {
	w.tomb.Kill(nil)
	_ = w.tomb.Wait()
	w.client.CloseIdle()
}

// notify asks for an extra poll without waiting.
func notify(wanted chan<- struct{}) {
	select {
	case wanted <- struct{}{}:
	default:
	}
}

func (w *engineWatcher) pollStatus() error {
	var failing outage
	pauses := newEngineBackoff()
	for {
		err := w.pollStatusOnce()
		pause := jitter(time.Duration(w.settings.StatusInterval))
		if err != nil {
			w.handleStatusFailure(&failing, err)
			pause = pauses.NextBackOff()
		} else {
			w.logRecovery(failing)
			failing = outage{}
			pauses.Reset()
		}
		if !w.sleep(pause, w.statusRequested, err == nil) {
			return nil
		}
	}
}

func (w *engineWatcher) pollStatusOnce() error {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), statusTimeout)
	defer cancel()
	status, err := w.client.Status(ctx)
	if err != nil {
		return err
	}
	if status.Engine != w.id {
		return errors.Errorf("engine %q answers at this address", status.Engine)
	}
	w.statuses.record(status)
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveStatus(now, status) })
	return nil
}

// outage counts failed status polls in a row.
type outage struct {
	failures int
	// isReported is set once the engine counts as unreachable.
	isReported bool
}

// recordFailure counts a failure and tells whether the engine counts as unreachable from
// now on: at once if it accepts no connection.
func (o *outage) recordFailure(err error) bool {
	o.failures++
	if o.isReported {
		return false
	}
	var exchange *engine.Error
	refused := errors.As(err, &exchange) && !exchange.Sent
	o.isReported = refused || o.failures >= unreachableFailures
	return o.isReported
}

func (w *engineWatcher) handleStatusFailure(failing *outage, err error) {
	if !w.tomb.Alive() {
		return
	}
	w.metrics.engineErrors.WithLabelValues("status").Inc()
	if !failing.recordFailure(err) {
		return
	}
	w.logger.Warn().Err(err).Msg("engine_unreachable")
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveUnreachable(now, w.id) })
}

func (w *engineWatcher) logRecovery(failing outage) {
	if failing.isReported {
		w.logger.Info().Int("failures", failing.failures).Msg("engine_reachable")
	}
}

func (w *engineWatcher) followEvents() error {
	pauses := newEngineBackoff()
	for w.tomb.Alive() {
		followed, err := w.pollEvents()
		switch {
		case err != nil:
			w.metrics.engineErrors.WithLabelValues("events").Inc()
			w.sleep(pauses.NextBackOff(), nil, false)
		case !followed:
			w.sleep(untrackedEventsPause, nil, false)
		default:
			pauses.Reset()
			w.sleep(time.Duration(w.settings.EventPause), nil, false)
		}
	}
	return nil
}

func (w *engineWatcher) pollEvents() (followed bool, err error) {
	var after uint64
	w.placer.do(func(_ time.Duration, core *placement.Core) { after, _, followed = core.EventsAfter(w.id) })
	if !followed {
		return false, nil
	}
	wait := time.Duration(w.settings.EventWait)
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), wait+eventTimeoutMargin)
	defer cancel()
	events, err := w.client.Events(ctx, after, wait)
	if err != nil {
		return true, err
	}
	w.metrics.eventsReceived.Add(float64(len(events.Events)))
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveCacheEvents(now, w.id, events) })
	return true, nil
}

func (w *engineWatcher) fetchSnapshots() error {
	for {
		select {
		case <-w.tomb.Dying():
			return nil
		case <-w.snapshotRequested:
		}
		if err := w.fetchSnapshot(); err != nil && w.tomb.Alive() {
			w.metrics.engineErrors.WithLabelValues("snapshot").Inc()
			w.logger.Debug().Err(err).Msg("cache_snapshot_failed")
		}
	}
}

func (w *engineWatcher) fetchSnapshot() error {
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), snapshotTimeout)
	defer cancel()
	snapshot, err := w.client.Cache(ctx)
	if err != nil {
		return err
	}
	w.metrics.resyncs.Inc()
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveCacheSnapshot(now, w.id, snapshot) })
	return nil
}

// sleep waits, unless woken early, and tells whether the watcher goes on.
func (w *engineWatcher) sleep(duration time.Duration, early <-chan struct{}, mayWake bool) bool {
	if !mayWake {
		early = nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-w.tomb.Dying():
		return false
	case <-early:
	case <-timer.C:
	}
	return true
}

func newEngineBackoff() *backoff.ExponentialBackOff {
	return newBackoff(minEngineBackoff, maxEngineBackoff)
}

func newBackoff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = initial
	pauses.MaxInterval = maximum
	return pauses
}

// jitter returns a time between three quarters of mean and five quarters of it,
// so that many nodes don't poll in step.
func jitter(mean time.Duration) time.Duration {
	return mean*3/4 + rand.N(mean/2+1)
}
