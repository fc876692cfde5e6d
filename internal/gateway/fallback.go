package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// stallSlack is added to LeaseGap to get the time without progress after which the rollout
	// counts as stalled. A lost lease holder would have been replaced by then.
	stallSlack = 400 * time.Millisecond
	// progressInterval is the interval at which progress is checked.
	progressInterval = 300 * time.Millisecond
	// maxProgressGap is the longest time between two checks. After a longer gap the measurement
	// restarts, since the progress during the gap is unknown.
	maxProgressGap = 2 * time.Second
	// maxOwnProofAge is the age of the gateway's own freshness proof up to which the gateway counts
	// as having store access.
	maxOwnProofAge = 1500 * time.Millisecond
)

// progressMonitor detects that outdated engines aren't being updated, or that nobody directs a
// delivery. This happens if the few candidates for the lease lose access to the store together.
// Without a fallback, all requests would be refused once the old model versions must no longer be
// used.
type progressMonitor struct {
	checkedAt time.Duration
	// versions holds, by engine, the sum of its model versions at the last check.
	versions map[fleet.EngineID]uint64
	// changedAt is when an engine was last seen to have been updated, or when none was outdated.
	changedAt time.Duration
	// directedAt is when all running deliveries were last seen to be directed.
	directedAt time.Duration
	stalled    bool
}

// rolloutProgress is the state of the engines and deliveries at one check.
type rolloutProgress struct {
	// outdated counts the reachable engines that have an older version than the newest desired one.
	outdated int
	// versionSums holds, by engine, the sum of its model versions.
	versionSums map[fleet.EngineID]uint64
	// undirected is set if a delivery is running that nobody directs.
	undirected bool
}

// isDue reports whether it is time for the next check.
func (m *progressMonitor) isDue(now time.Duration) bool { return now >= m.checkedAt+progressInterval }

// observe records a check and reports whether there has been no progress for longer than timeout.
func (m *progressMonitor) observe(now time.Duration, progress rolloutProgress, timeout time.Duration) bool {
	restart := m.versions == nil || now-m.checkedAt > maxProgressGap
	m.checkedAt = now
	if restart || progress.outdated == 0 || m.hasUpdatedEngine(progress.versionSums) {
		m.changedAt = now
	}
	if restart || !progress.undirected {
		m.directedAt = now
	}
	m.versions = progress.versionSums
	m.stalled = now-min(m.changedAt, m.directedAt) > timeout
	return m.stalled
}

// hasUpdatedEngine reports whether an engine has a newer version than at the last check. Engines
// that have appeared or disappeared don't count.
func (m *progressMonitor) hasUpdatedEngine(sums map[fleet.EngineID]uint64) bool {
	for engine, sum := range sums {
		if previous, known := m.versions[engine]; known && sum > previous {
			return true
		}
	}
	return false
}

// shouldBeFallbackCandidate reports whether this gateway should take the lease although it isn't a
// regular candidate: the rollout has stalled and this gateway has store access. A gateway that
// already holds the lease as a fallback stays one.
func (g *Gateway) shouldBeFallbackCandidate(now time.Duration) bool {
	if g.roles.Load().isCandidate {
		return false
	}
	if _, isHolder := g.lease.Fence(); isHolder {
		return true
	}
	if !g.sources.hasProofWithin(now, maxOwnProofAge) {
		return false
	}
	if !g.progress.isDue(now) {
		return g.progress.stalled
	}
	progress := g.rollout.observeProgress(g.workers.Workers(), g.workers.AllSuspects(now))
	progress.undirected = g.deliveries.hasUndirected(now)
	return g.progress.observe(now, progress, g.settings().LeaseGap+stallSlack)
}

// updateFallbackCandidate updates whether this gateway is a fallback candidate. Its roles follow at
// the next update.
func (g *Gateway) updateFallbackCandidate(now time.Duration) {
	fallback := g.shouldBeFallbackCandidate(now)
	if g.fallbackCandidate.Swap(fallback) != fallback {
		g.logger.Info().Bool("stands_in", fallback).Dur("undone", now-min(g.progress.changedAt, g.progress.directedAt)).Msg("lease_stand_in")
	}
}

// observeProgress returns the progress of the rollout that the workers' rows show. suspects are the
// engines that are presumed to be unreachable.
func (s *rolloutState) observeProgress(workers []backends.Worker, suspects map[fleet.EngineID]bool) rolloutProgress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	progress := rolloutProgress{versionSums: make(map[fleet.EngineID]uint64, len(workers))}
	for index := range workers {
		worker := &workers[index]
		for model, version := range worker.Versions {
			progress.versionSums[worker.ID] += uint64(version)
			pacer := s.pacers[model]
			if pacer != nil && uint64(version) < pacer.Newest() && !worker.Draining && !suspects[worker.ID] {
				progress.outdated++
			}
		}
	}
	return progress
}
