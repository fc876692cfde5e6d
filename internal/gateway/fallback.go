package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of standing in for the candidates of the lease.
const (
	// stallSlack is added to the lease's duration: after both without any change of an
	// engine that is due one, a holder that was lost would have been replaced.
	stallSlack = 400 * time.Millisecond
	// progressInterval is the time between two looks at whether the duty is done.
	progressInterval = 300 * time.Millisecond
	// maxProgressGap is the time between two looks after which the time begins anew: what
	// happened meanwhile isn't known.
	maxProgressGap = 2 * time.Second
	// maxOwnProofAge is the age of this node's own proof by the store up to which it
	// counts as in the store's reach.
	maxOwnProofAge = 1500 * time.Millisecond
)

// progressMonitor notices that engines wait for new weights and nobody changes them, or that
// nobody directs a delivery. The
// few candidates for the lease can be out of the store's reach together: then no engine is
// changed, and all requests are refused once the old weights must not be used any more.
type progressMonitor struct {
	checkedAt time.Duration
	// versions are the sums of the engines' versions at the last look.
	versions map[fleet.EngineID]uint64
	// changedAt is when an engine was last seen to have taken a newer version, or when
	// none waited for one.
	changedAt time.Duration
	// directedAt is when no delivery was last seen to be without a director.
	directedAt time.Duration
	stalled    bool
}

// rolloutProgress is what a look shows of the engines.
type rolloutProgress struct {
	// outdated counts those that can be reached and have older weights than the newest
	// named.
	outdated int
	// versionSums holds, by engine, the sum of the versions of its models.
	versionSums map[fleet.EngineID]uint64
	// undirected is set if a delivery runs that nobody directs.
	undirected bool
}

// isDue tells whether it is time for another look.
func (d *progressMonitor) isDue(now time.Duration) bool { return now >= d.checkedAt+progressInterval }

// observe takes in a look and tells whether the duty has lain undone for longer than
// within.
func (d *progressMonitor) observe(now time.Duration, seen rolloutProgress, within time.Duration) bool {
	begins := d.versions == nil || now-d.checkedAt > maxProgressGap
	d.checkedAt = now
	if begins || seen.outdated == 0 || d.hasUpdatedEngine(seen.versionSums) {
		d.changedAt = now
	}
	if begins || !seen.undirected {
		d.directedAt = now
	}
	d.versions = seen.versionSums
	d.stalled = now-min(d.changedAt, d.directedAt) > within
	return d.stalled
}

// hasUpdatedEngine tells whether an engine has taken a newer version since the last look. Engines
// that came or went say nothing.
func (d *progressMonitor) hasUpdatedEngine(sums map[fleet.EngineID]uint64) bool {
	for id, sum := range sums {
		if before, known := d.versions[id]; known && sum > before {
			return true
		}
	}
	return false
}

// shouldBeFallbackCandidate tells whether this node is to take the lease although it isn't among the
// candidates: nobody does the duty, and this node itself reaches the store. A node that
// holds the lease so goes on.
func (g *Gateway) shouldBeFallbackCandidate(now time.Duration) bool {
	if g.roles.Load().isCandidate {
		return false
	}
	if _, holds := g.lease.Fence(); holds {
		return true
	}
	if !g.sources.hasProofWithin(now, maxOwnProofAge) {
		return false
	}
	if !g.progress.isDue(now) {
		return g.progress.stalled
	}
	seen := g.rollout.observeProgress(g.workers.Workers(), g.workers.Doubtful(now))
	seen.undirected = g.deliveries.undirected(now)
	return g.progress.observe(now, seen, g.settings().LeaseGap+stallSlack)
}

// updateFallbackCandidate notes whether this node stands in; its roles follow at the next look.
func (g *Gateway) updateFallbackCandidate(now time.Duration) {
	stands := g.shouldBeFallbackCandidate(now)
	if g.fallbackCandidate.Swap(stands) != stands {
		g.logger.Info().Bool("stands_in", stands).Dur("undone", now-min(g.progress.changedAt, g.progress.directedAt)).Msg("lease_stand_in")
	}
}

// observeProgress returns what the workers show of the engines' versions. doubtful are those that
// can't be reached, by what is known.
func (w *rolloutState) observeProgress(workers []backends.Worker, doubtful map[fleet.EngineID]bool) rolloutProgress {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	seen := rolloutProgress{versionSums: make(map[fleet.EngineID]uint64, len(workers))}
	for index := range workers {
		worker := &workers[index]
		for model, version := range worker.Versions {
			seen.versionSums[worker.ID] += uint64(version)
			pacer := w.pacers[model]
			if pacer != nil && uint64(version) < pacer.Newest() && !worker.Draining && !doubtful[worker.ID] {
				seen.outdated++
			}
		}
	}
	return seen
}
