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

// Timeouts, thresholds and delays of calls to engines.
const (
	statusTimeout   = time.Second
	snapshotTimeout = 10 * time.Second
	// eventTimeoutMargin is added to the wait of a long poll to get its timeout.
	eventTimeoutMargin = 2 * time.Second
	// unreachableFailures is the number of consecutive failed status polls after which an engine
	// that accepts connections is considered unreachable.
	unreachableFailures = 2
	minEngineBackoff    = 100 * time.Millisecond
	maxEngineBackoff    = 2 * time.Second
	// untrackedEventsPause is the delay before checking again whether the placement core tracks the
	// engine's events.
	untrackedEventsPause = 500 * time.Millisecond
)

// engineWatcher follows one owned engine: its status, its cache events and, when events were lost,
// snapshots of its cache.
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
		client:            engine.NewClient(machine.Address, engine.Options{}),
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

// notify signals signal without blocking.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (w *engineWatcher) pollStatus() error {
	var failing outage
	delays := newEngineBackoff()
	for {
		err := w.pollStatusOnce()
		delay := jitter(time.Duration(w.settings.StatusInterval))
		if err != nil {
			w.handleStatusFailure(&failing, err)
			delay = delays.NextBackOff()
		} else {
			w.logRecovery(failing)
			failing = outage{}
			delays.Reset()
		}
		if !w.sleep(delay, w.statusRequested, err == nil) {
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
		return errors.Errorf("status of unexpected engine %q", status.Engine)
	}
	w.statuses.record(status)
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveStatus(now, status) })
	return nil
}

// outage tracks consecutive failed status polls.
type outage struct {
	failures int
	// isReported is set once the engine has been reported as unreachable.
	isReported bool
}

// recordFailure counts a failed poll and reports whether the engine has just become unreachable. A
// refused connection makes it unreachable immediately.
func (o *outage) recordFailure(err error) bool {
	o.failures++
	if o.isReported {
		return false
	}
	var engineErr *engine.Error
	refused := errors.As(err, &engineErr) && !engineErr.Sent
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
	delays := newEngineBackoff()
	for w.tomb.Alive() {
		tracked, err := w.pollEvents()
		switch {
		case err != nil:
			w.metrics.engineErrors.WithLabelValues("events").Inc()
			w.sleep(delays.NextBackOff(), nil, false)
		case !tracked:
			w.sleep(untrackedEventsPause, nil, false)
		default:
			delays.Reset()
			w.sleep(time.Duration(w.settings.EventPause), nil, false)
		}
	}
	return nil
}

func (w *engineWatcher) pollEvents() (tracked bool, err error) {
	var after uint64
	w.placer.do(func(_ time.Duration, core *placement.Core) { after, _, tracked = core.EventsAfter(w.id) })
	if !tracked {
		return false, nil
	}
	wait := time.Duration(w.settings.EventWait)
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), wait+eventTimeoutMargin)
	defer cancel()
	events, err := w.client.PollCacheEvents(ctx, after, wait)
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
	snapshot, err := w.client.CacheSnapshot(ctx)
	if err != nil {
		return err
	}
	w.metrics.resyncs.Inc()
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveCacheSnapshot(now, w.id, snapshot) })
	return nil
}

// sleep waits for duration, or until early is signalled if mayWake is set. It reports whether the
// watcher is still running.
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
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initial
	delays.MaxInterval = maximum
	return delays
}

// jitter returns a random duration between 3/4 and 5/4 of mean, so that nodes don't poll in
// lockstep.
func jitter(mean time.Duration) time.Duration {
	return mean*3/4 + rand.N(mean/2+1)
}
