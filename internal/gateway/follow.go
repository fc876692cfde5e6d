package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// Times of following the store.
const (
	// operatorWait is the longest wait of one call for the operator's rows: the
	// proof of freshness is renewed as often.
	operatorWait = time.Second
	// workersWait is the same for workers' rows, which prove nothing.
	workersWait = 3 * time.Second
	// followRetry is the pause after a call that failed, followRetryMax after many.
	followRetry    = 100 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
)

// historyKept is a time for which the store keeps its history at the least while
// nothing ails it: one that is gone sooner was dropped.
const historyKept = 5 * time.Second

// gap tells what is unknown of when changes were made.
type gap int

// Gaps in following a table.
const (
	// gapNone: the changes are as new as the answer that brought them.
	gapNone gap = iota
	// gapDropped: the store itself dropped its history a moment ago.
	gapDropped
	// gapUnreached: the store was out of reach, so changes may be older.
	gapUnreached
)

// followed is one table that is followed: read whole, then by its changes.
type followed struct {
	name string
	// read reads all rows and takes them in; it returns their revision.
	read func(ctx context.Context, since gap) (fleet.Revision, error)
	// follow takes in the changes after a revision and returns the new one.
	follow func(ctx context.Context, after fleet.Revision, wait time.Duration, since gap) (fleet.Revision, error)
	wait   time.Duration
	// proven is called with the start of each call that followed the changes
	// without a gap.
	proven func(at time.Duration)
}

// run follows a table until the process ends. Only a call that follows changes
// proves anything: a whole read may be behind.
func (g *Gateway) run(table followed) error {
	ctx := g.context()
	var after fleet.Revision
	known := false
	wait := time.Duration(0)
	failures := 0
	since := gapUnreached
	var answered time.Duration
	for {
		begun := g.now()
		var revision fleet.Revision
		var err error
		if known {
			revision, err = table.follow(ctx, after, wait, since)
		} else {
			revision, err = table.read(ctx, since)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.noteStore(table.name, err, failures)
			since = gapAfter(err, failures, begun-answered)
			known = known && !errors.Is(err, ErrHistoryGone)
			failures++
			if !g.pause(min(followRetry*time.Duration(failures), followRetryMax)) {
				return nil
			}
			continue
		}
		g.noteStore(table.name, nil, failures)
		failures, answered = 0, g.now()
		if !known {
			known, wait, after = true, 0, revision
			continue
		}
		wait, since = table.wait, gapNone
		if revision >= after {
			after = revision
			table.proven(begun)
		}
	}
}

// gapAfter returns the gap that a failed call leaves. unanswered is the time from
// the answer before to the call.
func gapAfter(err error, failures int, unanswered time.Duration) gap {
	if errors.Is(err, ErrHistoryGone) && failures == 0 && unanswered < historyKept {
		return gapDropped
	}
	return gapUnreached
}

// noteStore logs that a table was lost or regained.
func (g *Gateway) noteStore(table string, err error, failures int) {
	switch {
	case err == nil && failures > 0:
		g.logger.Info().Str("dependency", "store").Str("table", table).Int("failures", failures).Msg("dependency_regained")
	case err != nil && failures == 0:
		g.logger.Warn().Str("dependency", "store").Str("table", table).Err(err).Msg("dependency_lost")
	}
	if err != nil {
		g.metrics.storeFailures.WithLabelValues(table).Inc()
	}
}

// proofsWithinBound is how many waits fit into the time for which a proof counts:
// a proof is as old as its call, and lasts until the next call has ended.
const proofsWithinBound = 2.5

// operatorWaitFor returns the wait of a call for the operator's rows with which
// proofs are renewed before they are too old for a bound on revocations.
func operatorWaitFor(revokeWithin time.Duration) time.Duration {
	counts := float64(revokeWithin) * freshPart
	return min(operatorWait, time.Duration(counts/proofsWithinBound))
}

func (g *Gateway) followOperator() error {
	return g.run(followed{
		name: "operator",
		wait: operatorWaitFor(g.settings().RevokeWithin),
		read: func(ctx context.Context, since gap) (fleet.Revision, error) {
			rows, err := g.outside.Platform.ReadOperator(ctx)
			if err != nil {
				return 0, err
			}
			g.takeOperator(rows, since)
			return rows.Revision, nil
		},
		follow: func(ctx context.Context, after fleet.Revision, wait time.Duration, since gap) (fleet.Revision, error) {
			rows, err := g.outside.Platform.FollowOperator(ctx, after, wait)
			if err != nil {
				return 0, err
			}
			g.takeOperator(rows, since)
			return rows.Revision, nil
		},
		proven: g.fresh.Prove,
	})
}

// takeOperator takes in what the operator has written.
func (g *Gateway) takeOperator(rows *OperatorRows, since gap) {
	now := g.now()
	at, known := g.changedAt(now, since)
	for _, named := range rows.Weights {
		if g.weights.name(at, known, named) {
			g.logger.Info().Str("model", string(named.Model)).Uint64("version", uint64(named.Version)).
				Uint64("revision", uint64(rows.Revision)).Dur("age", now-at).Bool("age_known", known).Msg("weights_named")
		}
	}
	if rows.Document != nil {
		g.takeDocument(now, rows)
	}
}

// changedAt returns when changes that are heard of now were made at the latest;
// false if that isn't known. If the store was out of this node's reach they may
// be as old as the last proof that any reachable node had; if it was out of
// everybody's, their time begins now, as for versions named before.
func (g *Gateway) changedAt(now time.Duration, since gap) (time.Duration, bool) {
	if since != gapUnreached {
		return now, true
	}
	age, proven := g.fresh.Age(now)
	switch {
	case !proven:
		return now, false
	case age > storeLostAfter:
		return now, true
	default:
		return now - age, true
	}
}

// takeDocument takes a configuration over. One that can't be used is refused,
// and the one in force stays.
func (g *Gateway) takeDocument(now time.Duration, rows *OperatorRows) {
	table, err := routes.Compile(*rows.Document)
	if err != nil {
		g.logger.Error().Uint64("version", uint64(rows.Document.Version)).Err(err).Msg("configuration_refused")
		return
	}
	if g.holder.Offer(now, rows.DocumentRevision, table) {
		g.logger.Info().Uint64("version", uint64(table.Version())).Uint64("revision", uint64(rows.DocumentRevision)).
			Int("routes", len(rows.Document.Routes)).Int("tenants", len(rows.Document.Tenants)).Msg("configuration_in_force")
	}
}

func (g *Gateway) followWorkers() error {
	return g.run(followed{
		name: "workers",
		wait: workersWait,
		read: func(ctx context.Context, _ gap) (fleet.Revision, error) {
			rows, err := g.outside.Platform.ReadWorkers(ctx)
			if err != nil {
				return 0, err
			}
			g.takeAllWorkers(rows)
			return rows.Revision, nil
		},
		follow: func(ctx context.Context, after fleet.Revision, wait time.Duration, _ gap) (fleet.Revision, error) {
			rows, err := g.outside.Platform.FollowWorkers(ctx, after, wait)
			if err != nil {
				return 0, err
			}
			g.takeWorkers(rows)
			return rows.Revision, nil
		},
		proven: func(time.Duration) {},
	})
}

// takeWorkers takes in changed rows.
func (g *Gateway) takeWorkers(rows *WorkerRows) {
	now := g.now()
	for _, row := range rows.Rows {
		var change backends.Change
		if row.Gone {
			change = g.workers.ObserveGone(now, row.Revision, row.Worker.ID)
		} else {
			change = g.workers.Observe(row.Revision, row.Worker)
		}
		g.noteWorker(row.Worker, row.Revision, change)
	}
}

// takeAllWorkers takes in a whole list: who isn't in it is gone.
func (g *Gateway) takeAllWorkers(rows *WorkerRows) {
	g.takeWorkers(rows)
	named := make(map[fleet.EngineID]bool, len(rows.Rows))
	for _, row := range rows.Rows {
		named[row.Worker.ID] = true
	}
	for _, id := range g.workers.ObserveAll(g.now(), rows.Revision, named) {
		g.noteWorker(backends.Worker{ID: id}, rows.Revision, backends.Gone)
	}
	g.workersKnown.Store(true)
}

func (g *Gateway) noteWorker(worker backends.Worker, revision fleet.Revision, change backends.Change) {
	if change == backends.Unchanged {
		return
	}
	if change == backends.Gone || change == backends.Began {
		g.upstreams.Forget(worker.ID)
	}
	g.logger.Info().Str("worker", string(worker.ID)).Str("address", string(worker.Address)).
		Str("service", string(worker.Service)).Uint64("revision", uint64(revision)).
		Str("change", string(change)).Msg("worker_changed")
}
