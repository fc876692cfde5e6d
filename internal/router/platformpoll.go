package router

import (
	"time"
)

// Backoff after failed calls to the platform, which is rate-limited and may have long outages.
const (
	minPlatformBackoff = 500 * time.Millisecond
	maxPlatformBackoff = 30 * time.Second
)

// pollMachines keeps the list of machines up to date until the router stops.
func (r *Router) pollMachines() error {
	return r.pollPlatform("machines", r.machineFollower.interval, r.machineFollower.refresh)
}

// applyMachines passes each new list of machines to the engine fleet.
func (r *Router) applyMachines() error {
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-r.machines.changed:
			r.engines.setMachines(r.machines.current())
			r.listed.Store(true)
			r.configFollower.RefreshNodeCount()
		}
	}
}

// pollPlatform repeats read at a mean interval, with jitter, and backs off while it fails.
func (r *Router) pollPlatform(call string, interval func() time.Duration, read func() error) error {
	delays := newBackoff(minPlatformBackoff, maxPlatformBackoff)
	failing := false
	for {
		err := read()
		delay := jitter(interval())
		if err != nil && r.tomb.Alive() {
			r.metrics.platformErrors.WithLabelValues(call).Inc()
			delay = max(delays.NextBackOff(), delay)
			if !failing {
				r.logger.Warn().Str("call", call).Err(err).Msg("platform_failed")
			}
		} else {
			delays.Reset()
			if failing {
				r.logger.Info().Str("call", call).Msg("platform_recovered")
			}
		}
		failing = err != nil
		if !r.sleep(delay) {
			return nil
		}
	}
}

// sleep waits for delay and reports whether the router is still running.
func (r *Router) sleep(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-r.tomb.Dying():
		return false
	case <-timer.C:
		return true
	}
}
