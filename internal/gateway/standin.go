package gateway

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of standing in for the candidates of the lease.
const (
	// undoneSlack is added to the lease's duration: after both without any change of an
	// engine that is due one, a holder that was lost would have been replaced.
	undoneSlack = 400 * time.Millisecond
	// undoneInterval is the time between two looks at whether the duty is done.
	undoneInterval = 300 * time.Millisecond
	// undoneBreak is the time between two looks after which the time begins anew: what
	// happened meanwhile isn't known.
	undoneBreak = 2 * time.Second
	// ownProofWithin is the age of this node's own proof by the store up to which it
	// counts as in the store's reach.
	ownProofWithin = 1500 * time.Millisecond
)

// dutyWatch notices that engines wait for new weights and nobody changes them, or that
// nobody directs a delivery. The
// few candidates for the lease can be out of the store's reach together: then no engine is
// changed, and all requests are refused once the old weights must not be used any more.
type dutyWatch struct {
	lookedAt time.Duration
	// versions are the sums of the engines' versions at the last look.
	versions map[fleet.EngineID]uint64
	// changedAt is when an engine was last seen to have taken a newer version, or when
	// none waited for one.
	changedAt time.Duration
	// directedAt is when no delivery was last seen to be without a director.
	directedAt time.Duration
	undone     bool
}

// engineVersions is what a look shows of the engines.
type engineVersions struct {
	// waiting counts those that can be reached and have older weights than the newest
	// named.
	waiting int
	// sums holds, by engine, the sum of the versions of its models.
	sums map[fleet.EngineID]uint64
	// undirected is set if a delivery runs that nobody directs.
	undirected bool
}

// due tells whether it is time for another look.
func (d *dutyWatch) due(now time.Duration) bool { return now >= d.lookedAt+undoneInterval }

// observe takes in a look and tells whether the duty has lain undone for longer than
// within.
func (d *dutyWatch) observe(now time.Duration, seen engineVersions, within time.Duration) bool {
	begins := d.versions == nil || now-d.lookedAt > undoneBreak
	d.lookedAt = now
	if begins || seen.waiting == 0 || d.changed(seen.sums) {
		d.changedAt = now
	}
	if begins || !seen.undirected {
		d.directedAt = now
	}
	d.versions = seen.sums
	d.undone = now-min(d.changedAt, d.directedAt) > within
	return d.undone
}

// changed tells whether an engine has taken a newer version since the last look. Engines
// that came or went say nothing.
func (d *dutyWatch) changed(sums map[fleet.EngineID]uint64) bool {
	for id, sum := range sums {
		if before, known := d.versions[id]; known && sum > before {
			return true
		}
	}
	return false
}

// standsIn tells whether this node is to take the lease although it isn't among the
// candidates: nobody does the duty, and this node itself reaches the store. A node that
// holds the lease so goes on.
func (g *Gateway) standsIn(now time.Duration) bool {
	if g.roles.Load().candidate {
		return false
	}
	if _, holds := g.keeper.Fence(); holds {
		return true
	}
	if !g.sources.provenWithin(now, ownProofWithin) {
		return false
	}
	if !g.duty.due(now) {
		return g.duty.undone
	}
	seen := g.weights.seen(g.workers.Workers(), g.workers.AllSuspects(now))
	seen.undirected = g.deliveries.undirected(now)
	return g.duty.observe(now, seen, g.settings().LeaseGap+undoneSlack)
}

// noteStandIn notes whether this node stands in; its roles follow at the next look.
func (g *Gateway) noteStandIn(now time.Duration) {
	stands := g.standsIn(now)
	if g.standIn.Swap(stands) != stands {
		g.logger.Info().Bool("stands_in", stands).Dur("undone", now-min(g.duty.changedAt, g.duty.directedAt)).Msg("lease_stand_in")
	}
}

// seen returns what the workers show of the engines' versions. doubtful are those that
// can't be reached, by what is known.
func (w *weights) seen(workers []backends.Worker, doubtful map[fleet.EngineID]bool) engineVersions {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	seen := engineVersions{sums: make(map[fleet.EngineID]uint64, len(workers))}
	for index := range workers {
		worker := &workers[index]
		for model, version := range worker.Versions {
			seen.sums[worker.ID] += uint64(version)
			pacer := w.pacers[model]
			if pacer != nil && uint64(version) < pacer.Newest() && !worker.Draining && !doubtful[worker.ID] {
				seen.waiting++
			}
		}
	}
	return seen
}
