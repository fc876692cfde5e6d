package router

import (
	"time"
)

// Pauses after failed calls to the platform, which is rate-limited and may be
// down for long: they grow to the second bound.
const (
	minPlatformBackoff = 500 * time.Millisecond
	maxPlatformBackoff = 30 * time.Second
)

// pollMachines keeps the list of machines up to date until the router stops.
func (r *Router) pollMachines() error {
	return r.pollPlatform("machines", r.machineFollower.interval, r.machineFollower.refresh)
}

// applyMachines hands each new list of machines on.
func (r *Router) applyMachines() error {
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-r.machines.changed:
			r.engines.setMachines(r.machines.current())
			r.listed.Store(true)
			r.configFollower.Recount()
		}
	}
}

// pollPlatform repeats a read at a mean interval, with jitter, and backs off
// while it fails.
func (r *Router) pollPlatform(call string, interval func() time.Duration, read func() error) error {
	pauses := newBackoff(minPlatformBackoff, maxPlatformBackoff)
	failing := false
	for {
		err := read()
		pause := jitter(interval())
		if err != nil && r.tomb.Alive() {
			r.metrics.platformErrors.WithLabelValues(call).Inc()
			pause = max(pauses.NextBackOff(), pause)
			if !failing {
				r.logger.Warn().Str("call", call).Err(err).Msg("platform_failed")
			}
		} else {
			pauses.Reset()
			if failing {
				r.logger.Info().Str("call", call).Msg("platform_recovered")
			}
		}
		failing = err != nil
		if !r.sleep(pause) {
			return nil
		}
	}
}

// sleep waits and tells whether the router goes on.
func (r *Router) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-r.tomb.Dying():
		return false
	case <-timer.C:
		return true
	}
}
