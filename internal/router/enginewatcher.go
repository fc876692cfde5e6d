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
	// eventGrace is how much longer than the poll's wait an answer may take.
	eventGrace = 2 * time.Second
	// unreachableAfter is the number of failed status polls in a row after which
	// an engine that accepts connections counts as unreachable.
	unreachableAfter = 2
	minEngineBackoff = 100 * time.Millisecond
	maxEngineBackoff = 2 * time.Second
	// unfollowedPause is how long to wait while the core follows no events.
	unfollowedPause = 500 * time.Millisecond
)

// engineWatcher follows one owned engine: its status, its cache events and,
// after lost events, its whole cache.
type engineWatcher struct {
	id       fleet.EngineID
	address  fleet.Address
	client   *engine.Client
	placer   *placer
	board    *statusBoard
	metrics  *metrics
	settings Settings
	logger   zerolog.Logger
	life     tomb.Tomb

	statusWanted   chan struct{}
	snapshotWanted chan struct{}
}

func newEngineWatcher(machine platform.Machine, engines *engineFleet) *engineWatcher {
	return &engineWatcher{
		id:             fleet.EngineID(machine.ID),
		address:        machine.Address,
		client:         engine.New(machine.Address, engine.Options{}),
		placer:         engines.placer,
		board:          engines.board,
		metrics:        engines.metrics,
		settings:       engines.settings,
		logger:         engines.logger.With().Str("engine", machine.ID).Str("address", string(machine.Address)).Logger(),
		statusWanted:   make(chan struct{}, 1),
		snapshotWanted: make(chan struct{}, 1),
	}
}

func (w *engineWatcher) start() {
	w.life.Go(func() error {
		w.life.Go(w.followEvents)
		w.life.Go(w.fetchSnapshots)
		return w.pollStatus()
	})
}

func (w *engineWatcher) stop() {
	w.life.Kill(nil)
	_ = w.life.Wait()
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
			w.statusFailed(&failing, err)
			pause = pauses.NextBackOff()
		} else {
			w.statusRecovered(failing)
			failing = outage{}
			pauses.Reset()
		}
		if !w.pause(pause, w.statusWanted, err == nil) {
			return nil
		}
	}
}

func (w *engineWatcher) pollStatusOnce() error {
	ctx, cancel := context.WithTimeout(w.life.Context(context.Background()), statusTimeout)
	defer cancel()
	status, err := w.client.Status(ctx)
	if err != nil {
		return err
	}
	if status.Engine != w.id {
		return errors.Errorf("engine %q answers at this address", status.Engine)
	}
	w.board.note(status)
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveStatus(now, status) })
	return nil
}

// outage counts failed status polls in a row.
type outage struct {
	failures int
	// reported is set once the engine counts as unreachable.
	reported bool
}

// add counts a failure and tells whether the engine counts as unreachable from
// now on: at once if it accepts no connection.
func (o *outage) add(err error) bool {
	o.failures++
	if o.reported {
		return false
	}
	var exchange *engine.Error
	refused := errors.As(err, &exchange) && !exchange.Sent
	o.reported = refused || o.failures >= unreachableAfter
	return o.reported
}

func (w *engineWatcher) statusFailed(failing *outage, err error) {
	if !w.life.Alive() {
		return
	}
	w.metrics.engineErrors.WithLabelValues("status").Inc()
	if !failing.add(err) {
		return
	}
	w.logger.Warn().Err(err).Msg("engine_unreachable")
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveUnreachable(now, w.id) })
}

func (w *engineWatcher) statusRecovered(failing outage) {
	if failing.reported {
		w.logger.Info().Int("failures", failing.failures).Msg("engine_reachable")
	}
}

func (w *engineWatcher) followEvents() error {
	pauses := newEngineBackoff()
	for w.life.Alive() {
		followed, err := w.pollEvents()
		switch {
		case err != nil:
			w.metrics.engineErrors.WithLabelValues("events").Inc()
			w.pause(pauses.NextBackOff(), nil, false)
		case !followed:
			w.pause(unfollowedPause, nil, false)
		default:
			pauses.Reset()
			w.pause(time.Duration(w.settings.EventPause), nil, false)
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
	ctx, cancel := context.WithTimeout(w.life.Context(context.Background()), wait+eventGrace)
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
		case <-w.life.Dying():
			return nil
		case <-w.snapshotWanted:
		}
		if err := w.fetchSnapshot(); err != nil && w.life.Alive() {
			w.metrics.engineErrors.WithLabelValues("snapshot").Inc()
			w.logger.Debug().Err(err).Msg("cache_snapshot_failed")
		}
	}
}

func (w *engineWatcher) fetchSnapshot() error {
	ctx, cancel := context.WithTimeout(w.life.Context(context.Background()), snapshotTimeout)
	defer cancel()
	snapshot, err := w.client.CacheSnapshot(ctx)
	if err != nil {
		return err
	}
	w.metrics.resyncs.Inc()
	w.placer.do(func(now time.Duration, core *placement.Core) { core.ObserveCacheSnapshot(now, w.id, snapshot) })
	return nil
}

// pause waits, unless woken early, and tells whether the watcher goes on.
func (w *engineWatcher) pause(duration time.Duration, early <-chan struct{}, mayWake bool) bool {
	if !mayWake {
		early = nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-w.life.Dying():
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
