package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

const (
	// operatorWait is the longest wait of one call for the operator table. It is also the interval
	// at which the freshness proof is renewed.
	operatorWait = time.Second
	// workersWait is the longest wait of one call for the workers table, which provides no proof.
	// Each change ends a call, so workersPause batches changes in a fleet that isn't small.
	workersWait  = 3 * time.Second
	workersPause = 250 * time.Millisecond
	// followRetry is the pause after a failed call. It grows with each failure up to
	// followRetryMax.
	followRetry    = 100 * time.Millisecond
	followRetryMax = 400 * time.Millisecond
	// maxStoreBackoff bounds the backoff that the store may request, since nothing that it holds can
	// be changed meanwhile.
	maxStoreBackoff = 30 * time.Second
)

// minHistoryRetention is the least time for which a healthy store keeps its change history. If the
// history expires sooner, the store itself has dropped it.
const minHistoryRetention = 5 * time.Second

// gap describes what is unknown about the time of changes.
type gap int

// Kinds of gaps in following a table.
const (
	// gapNone means that the changes are as new as the response that contained them.
	gapNone gap = iota
	// gapHistoryExpired means that the store has just dropped its history.
	gapHistoryExpired
	// gapUnreachable means that the changes may be older, since the store was unreachable or a peer
	// sent them.
	gapUnreachable
)

// storeFollower follows one table at the store while this gateway has the reader role.
type storeFollower struct {
	gateway *Gateway
	table   *table
	// after is the revision up to which the store has returned all changes. hasPosition is set
	// while changes can be followed from there. Only responses of the store count: after the
	// history has expired, the revision may go back to that of a new read.
	after       fleet.Revision
	hasPosition bool
	failures    int
	gap         gap
	// lastResponse is the time of the store's last response.
	lastResponse time.Duration
	clock        storeClock
	// epoch is the highest store epoch that a response has stated.
	epoch fleet.StoreEpoch
	// backoff is the backoff that the store requested in its last response.
	backoff time.Duration
}

// followStore follows a table until the process ends. Only calls that follow changes renew the
// freshness proof, since a full read may return old rows.
func (g *Gateway) followStore(followed *table) error {
	return newStoreFollower(g, followed).run(func() bool { return false })
}

func newStoreFollower(gateway *Gateway, followed *table) *storeFollower {
	return &storeFollower{gateway: gateway, table: followed, gap: gapUnreachable}
}

// run makes calls while this gateway has the reader role, until the process ends or done returns true.
func (f *storeFollower) run(done func() bool) error {
	g := f.gateway
	for !done() {
		if !g.awaitReading() {
			return nil
		}
		pause := f.step(g.context())
		if !g.pause(pause) {
			return nil
		}
	}
	return nil
}

// step makes one call and returns the pause until the next one.
func (f *storeFollower) step(ctx context.Context) time.Duration {
	g := f.gateway
	start := g.now()
	if f.lastResponse != 0 && start-f.lastResponse > minHistoryRetention {
		f.gap = gapUnreachable
	}
	callCtx, stop := g.suspensionSignal.bind(ctx)
	defer stop()
	f.backoff = 0
	previousEpoch := f.epoch
	update, err := f.call(WithNoticeHandler(callCtx, f.handleNotice))
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, ErrTooManyRows) {
		g.logger.Info().Str("table", string(f.table.name)).Msg("read_left_to_others")
		g.sources.awaitRole(g.now())
		return followRetry
	}
	g.sources.recordStoreCall(err == nil)
	if err != nil {
		g.recordStoreCall(string(f.table.name), err, f.failures)
		f.gap = gapAfterFailure(err, f.failures, start-f.lastResponse)
		if f.epoch != previousEpoch {
			f.gap = gapUnreachable
		}
		f.hasPosition = f.hasPosition && !errors.Is(err, ErrHistoryExpired)
		f.failures++
		return max(min(followRetry*time.Duration(f.failures), followRetryMax), f.backoff)
	}
	g.recordStoreCall(string(f.table.name), nil, f.failures)
	f.failures, f.lastResponse = 0, g.now()
	if !update.Complete && update.Revision.Epoch() != f.after.Epoch() {
		// The position is of another epoch, so changes may be missing.
		f.hasPosition = false
		return 0
	}
	provenAt := f.clock.translate(start, f.lastResponse, update.StoreTime)
	f.table.apply(update, f.gap)
	if update.Complete {
		g.logger.Info().Str("table", string(f.table.name)).
			Uint64("epoch", uint64(update.Revision.Epoch())).Uint64("revision", update.Revision.Number()).
			Uint64("previous_epoch", uint64(f.after.Epoch())).Uint64("previous_position", f.after.Number()).
			Int("rows", len(update.Rows)).Msg("table_read")
		f.hasPosition, f.after = true, update.Revision
		return 0
	}
	f.gap = gapNone
	if update.Revision >= f.after {
		f.after = update.Revision
		f.table.cache.Advance(update.Revision)
		f.table.onProof(provenAt)
	}
	if g.roles.Load().SmallFleet {
		return 0
	}
	return f.table.pause
}

// handleNotice handles the notices in a response of the store.
func (f *storeFollower) handleNotice(notice Notice) {
	g := f.gateway
	g.reportInvalidInput("", notice.Invalid)
	g.logUnknownHeaders(noticeSource{worker: storeLogName, kind: callStore}, notice.Unknown)
	g.observeStoreEpoch(notice.StoreEpoch)
	f.observeEpoch(notice.StoreEpoch)
	if notice.RetryAfter == 0 {
		return
	}
	f.backoff = min(notice.RetryAfter, maxStoreBackoff)
	g.metrics.notices.WithLabelValues(noticeRetryAfter, string(callStore)).Inc()
	g.events.line("store_notice").Str("table", string(f.table.name)).Dur("retry_after", notice.RetryAfter).Msg("store_notice")
}

// observeEpoch gives the position up when the store has been restored: the changes since it are
// unknown, their time is too, and the store's clock may have been set.
func (f *storeFollower) observeEpoch(epoch fleet.StoreEpoch) {
	if epoch <= f.epoch {
		return
	}
	f.epoch = epoch
	f.hasPosition = false
	f.gap = gapUnreachable
	f.clock = storeClock{}
}

// call reads the table, or its changes after the current position. The first call after a gap
// doesn't wait, so that it renews the freshness proof at once.
func (f *storeFollower) call(ctx context.Context) (*watchcache.Update, error) {
	store := f.gateway.dependencies.Store
	isPartial := f.table.cache.IsPartial()
	known := f.table.cache.Revision()
	switch {
	case isPartial && known.Epoch() >= f.epoch && !f.gateway.shouldReadAllWorkers():
		f.after, f.hasPosition = known, true
	case isPartial, !f.hasPosition:
		return store.ReadTable(ctx, f.table.name, f.gateway.roleSettled.Load)
	}
	wait := f.table.maxWait
	if f.gap != gapNone {
		wait = 0
	}
	return store.FollowTable(ctx, f.table.name, f.after, wait)
}

// gapAfterFailure returns the gap that a failed call leaves. sinceResponse is the time between the
// previous response and the call.
func gapAfterFailure(err error, failures int, sinceResponse time.Duration) gap {
	if errors.Is(err, ErrHistoryExpired) && failures == 0 && sinceResponse < minHistoryRetention {
		return gapHistoryExpired
	}
	return gapUnreachable
}

// recordStoreCall counts failed calls and logs when the store becomes unreachable or reachable for
// a table.
func (g *Gateway) recordStoreCall(table string, err error, failures int) {
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

// waitsPerProofLifetime is the number of waits that fit into the lifetime of a freshness proof. A
// proof is as old as its call and must last until the next call ends.
const waitsPerProofLifetime = 2.5

// operatorWaitFor returns the longest wait of a call for the operator table that still renews the
// freshness proof in time for a revocation bound.
func operatorWaitFor(revokeWithin time.Duration) time.Duration {
	lifetime := float64(revokeWithin) * freshnessFraction
	return min(operatorWait, time.Duration(lifetime/waitsPerProofLifetime))
}
