package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// Times of following the store.
const (
	// operatorWait is the longest wait of one call for the operator's rows: the
	// proof of freshness is renewed as often.
	operatorWait = time.Second
	// workersWait is the same for workers' rows, which prove nothing. Each change
	// of a worker ends a call, so workersPause gathers some in a larger fleet.
	workersWait  = 3 * time.Second
	workersPause = 250 * time.Millisecond
	// followRetry is the pause after a call that failed, followRetryMax after many.
	followRetry    = 100 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
	// mostStoreBackoff bounds the pause that the store may ask for: without the store nothing
	// that it holds can be changed.
	mostStoreBackoff = 30 * time.Second
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
	// gapUnreached: the changes may be older, since the store was out of reach, or
	// since a peer told of them.
	gapUnreached
)

// storeFeed follows one table at the store while it is this node's part to read.
type storeFeed struct {
	gateway *Gateway
	table   *table
	// after is the revision up to which the store has told all, and known is set
	// while changes can be followed from there. Only the store's word counts here:
	// after lost history the revision goes back to that of the read.
	after    fleet.Revision
	known    bool
	failures int
	since    gap
	// answered is when the store last answered.
	answered time.Duration
	clock    storeClock
	// asked is for how long the store wanted no calls by its last answer.
	asked time.Duration
}

// followStore follows a table until the process ends. Only a call that follows
// changes proves anything: a whole read may be behind.
func (g *Gateway) followStore(followed *table) error {
	feed := &storeFeed{gateway: g, table: followed, since: gapUnreached}
	for {
		if !g.awaitReading() {
			return nil
		}
		pause := feed.step(g.context())
		if !g.pause(pause) {
			return nil
		}
	}
}

// step makes one call and returns the pause until the next.
func (f *storeFeed) step(ctx context.Context) time.Duration {
	g := f.gateway
	begun := g.now()
	if f.answered != 0 && begun-f.answered > historyKept {
		f.since = gapUnreached
	}
	calling, stop := g.resumptions.bind(ctx)
	defer stop()
	f.asked = 0
	update, err := f.call(WithNotices(calling, f.notice))
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, ErrManyRows) {
		g.logger.Info().Str("table", string(f.table.name)).Msg("read_left_to_others")
		g.sources.awaitRole(g.now())
		return followRetry
	}
	g.sources.storeAnswered(err == nil)
	if err != nil {
		g.noteStore(string(f.table.name), err, f.failures)
		f.since = gapAfter(err, f.failures, begun-f.answered)
		f.known = f.known && !errors.Is(err, ErrHistoryGone)
		f.failures++
		return max(min(followRetry*time.Duration(f.failures), followRetryMax), f.asked)
	}
	g.noteStore(string(f.table.name), nil, f.failures)
	f.failures, f.answered = 0, g.now()
	provenAt := f.clock.translate(begun, f.answered, update.StoreTime)
	f.table.apply(update, f.since)
	if update.Complete {
		f.known, f.after = true, update.Revision
		return 0
	}
	f.since = gapNone
	if update.Revision >= f.after {
		f.after = update.Revision
		f.table.cache.Advance(update.Revision)
		f.table.proven(provenAt)
	}
	if g.roles.Load().Small {
		return 0
	}
	return f.table.pause
}

// notice takes in what an answer of the store says of it.
func (f *storeFeed) notice(notice Notice) {
	g := f.gateway
	g.noteUnreadable("", notice.Unreadable)
	g.noteUnknown(noticed{worker: storeName, kind: callStore}, notice.Unknown)
	if notice.RetryAfter == 0 {
		return
	}
	f.asked = min(notice.RetryAfter, mostStoreBackoff)
	g.metrics.notices.WithLabelValues(noticeRetryAfter, string(callStore)).Inc()
	g.events.line("store_notice").Str("table", string(f.table.name)).Dur("retry_after", notice.RetryAfter).Msg("store_notice")
}

// call reads the table, or what changed after its position. The first call
// after a break doesn't wait, so that there is a proof at once.
func (f *storeFeed) call(ctx context.Context) (*watchcache.Update, error) {
	store := f.gateway.outside.Platform
	partial := f.table.cache.IsPartial()
	switch {
	case partial && !f.gateway.readsAll():
		f.after, f.known = f.table.cache.Revision(), true
	case partial, !f.known:
		return store.ReadTable(ctx, f.table.name, f.gateway.settled.Load)
	}
	wait := f.table.wait
	if f.since != gapNone {
		wait = 0
	}
	return store.FollowTable(ctx, f.table.name, f.after, wait)
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
