package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

const (
	// quarantineWatchWait is the longest wait of one call that follows the rows. A change ends the
	// call at once, and the rows prove nothing, so a shorter wait would only cost calls.
	quarantineWatchWait = 10 * time.Second
	// orphanedAfter is the time after the last crash from which on any gateway that reads the store
	// may write the missing row of a quarantined request. The gateways that saw the crashes may be
	// gone.
	orphanedAfter = 3 * time.Second
	// maxStoreChanges bounds the rows that one pass writes, and those that it removes.
	maxStoreChanges = 16
	// quarantineRetryMin is the mean pause after a failed pass over the rows to write. It grows with each one up
	// to quarantineRetryMax, which a store that is back waits for at most half as long again: answers and reports
	// of peers ask for a pass at any rate, and many gateways that retried at each would use up the rates of the
	// store.
	quarantineRetryMin = 100 * time.Millisecond
	quarantineRetryMax = time.Second
	// trialTimeout bounds the store calls that acquire a trial.
	trialTimeout = 500 * time.Millisecond
)

// storedQuarantine is the known state of a request's row.
type storedQuarantine struct {
	version     fleet.Revision
	workerCount int
	trials      int
	quarantined bool
}

// newQuarantineTable returns the table of quarantined requests. It isn't part of g.tables: gateways
// that don't read the store receive records from their peers instead of rows.
func (g *Gateway) newQuarantineTable() *table {
	return &table{
		name:       TableQuarantine,
		cache:      watchcache.New(watchcache.Options{LostRows: watchcache.EvictLostRows, RemembersStates: true}),
		maxWait:    quarantineWatchWait,
		pause:      workersPause,
		applyRows:  g.applyQuarantineRows,
		onSnapshot: g.applyQuarantineSnapshot,
		onApplied:  func() {},
		onResult:   g.logUnapplied(TableQuarantine),
		onProof:    func(time.Duration) {},
	}
}

// followQuarantine follows the rows while this gateway reads the store, until the process stops. Before the
// gateway is ready it reads them once: until then every gateway reads the store, and most receive later
// changes from a peer. Those that go on begin with another read, since rows may have come and gone meanwhile.
func (g *Gateway) followQuarantine() error {
	first := newStoreFollower(g, g.quarantineTable)
	if err := first.run(func() bool { return first.hasPosition }); err != nil {
		return err
	}
	select {
	case <-g.readiness.ready:
		return g.followStore(g.quarantineTable)
	case <-g.life.Dying():
		return nil
	}
}

// applyQuarantineRows applies changed rows.
func (g *Gateway) applyQuarantineRows(rows []watchcache.Row, _ gap) {
	decoded, invalid := g.dependencies.Store.DecodeQuarantine(rows)
	g.reportInvalidInput("", invalid)
	for index := range decoded {
		g.applyQuarantineRow(&decoded[index])
	}
}

// applyQuarantineSnapshot removes the rows that are missing from a complete read. A row that this
// gateway wrote before its first read may have been removed in between. Rows that a restored store
// has lost don't end a quarantine, and are written again.
func (g *Gateway) applyQuarantineSnapshot(update *watchcache.Update) {
	present := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		present[row.Key] = true
	}
	g.quarantines.forgetLost(update.Revision.Epoch(), present)
	for _, missing := range g.quarantines.missingFrom(update.Revision, present) {
		g.applyQuarantineRow(&QuarantineRow{Fingerprint: missing, Deleted: true})
	}
	g.recordQuarantineKnown()
}

// missingFrom returns the requests whose known row is at most as new as a revision and isn't in
// present.
func (q *quarantineState) missingFrom(revision fleet.Revision, present map[string]bool) []quarantine.Fingerprint {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var missing []quarantine.Fingerprint
	for fingerprint, stored := range q.stored {
		if stored.version <= revision && !present[fingerprint.String()] {
			missing = append(missing, fingerprint)
		}
	}
	return missing
}

// forgetLost forgets the known state of the rows of former epochs that aren't in present.
func (q *quarantineState) forgetLost(epoch fleet.StoreEpoch, present map[string]bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known := len(q.stored)
	maps.DeleteFunc(q.stored, func(fingerprint quarantine.Fingerprint, stored storedQuarantine) bool {
		return stored.version.Epoch() < epoch && !present[fingerprint.String()]
	})
	if len(q.stored) < known {
		signal(q.storeSignal)
	}
}

// applyQuarantineRow applies one row. Rows hold no times, so their crashes and trials count as of
// now. A removed row ends the quarantine: the request was answered, or an operator removed it.
func (g *Gateway) applyQuarantineRow(row *QuarantineRow) {
	now := g.now()
	if row.Deleted {
		if g.quarantines.deleteStored(row.Fingerprint) {
			g.handleQuarantineChange("row_removed", g.quarantines.release(now, row.Fingerprint))
		}
		return
	}
	g.handleQuarantineChange("store", g.quarantines.mergeRow(now, row))
}

// mergeRow records the state of a stored row and merges what it says, both at once: a known row without a record
// would be removed as one of no use.
func (q *quarantineState) mergeRow(now time.Duration, row *QuarantineRow) quarantineChange {
	return q.update(now, []quarantine.Fingerprint{row.Fingerprint}, func(tracker *quarantine.Tracker, fingerprint quarantine.Fingerprint) bool {
		q.rememberStored(row)
		record := tracker.StoredRecord(now, fingerprint, row.StoredCrashes, row.Trials, row.Quarantined)
		tracker.Merge(now, &record)
		return !fingerprint.IsPart() && tracker.IsAheadOf(&record)
	})
}

// setStored records the state of a stored row.
func (q *quarantineState) setStored(row *QuarantineRow) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.rememberStored(row)
}

// rememberStored is setStored for callers that hold the mutex.
func (q *quarantineState) rememberStored(row *QuarantineRow) {
	q.stored[row.Fingerprint] = storedQuarantine{version: row.Version, workerCount: len(row.Workers), trials: row.Trials, quarantined: row.Quarantined}
}

// deleteStored records that the store holds no row of a request, and reports whether one was known.
func (q *quarantineState) deleteStored(fingerprint quarantine.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, found := q.stored[fingerprint]
	delete(q.stored, fingerprint)
	return found
}

// storedVersion returns the last known version of a request's row, 0 if there is none.
func (q *quarantineState) storedVersion(fingerprint quarantine.Fingerprint) fleet.Revision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.stored[fingerprint].version
}

// storeChanges holds the rows to write to the store and those to remove.
type storeChanges struct {
	write  []QuarantineRow
	remove []quarantine.Fingerprint
}

// pendingStoreChanges returns the rows that this gateway is to write and to remove. It writes the
// requests that were in flight here when a worker crashed and, if it reads the store, orphaned
// ones. It removes rows of requests that it took part in, or any row if it holds the lease.
func (q *quarantineState) pendingStoreChanges(now time.Duration, isReader, isHolder bool) storeChanges {
	if !q.active.Load() {
		return storeChanges{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var changes storeChanges
	shared := make(map[quarantine.Fingerprint]bool)
	for _, record := range q.tracker.RecordsWithCrashes(sharedCrashes) {
		shared[record.Fingerprint] = true
		verdict := q.tracker.Check(now, record.Fingerprint)
		orphaned := isReader && verdict.Quarantined && verdict.LastAge > orphanedAfter
		known := q.stored[record.Fingerprint]
		row := q.rowFromRecord(&record)
		outdated := known.workerCount < q.requiredWorkers(&row) || known.trials < record.Trials || (record.Quarantined && !known.quarantined)
		if outdated && (q.local[record.Fingerprint] || orphaned) && len(changes.write) < maxStoreChanges {
			changes.write = append(changes.write, row)
		}
	}
	for fingerprint := range q.stored {
		// What explains a part's crashes may change; its row goes once answers do or it is released.
		if fingerprint.IsPart() && q.tracker.IsSuspect(fingerprint) {
			continue
		}
		if !shared[fingerprint] && (isHolder || q.local[fingerprint]) && len(changes.remove) < maxStoreChanges {
			changes.remove = append(changes.remove, fingerprint)
		}
	}
	return changes
}

// rowFromRecord returns the row of a record. The mutex must be held.
func (q *quarantineState) rowFromRecord(record *quarantine.Record) QuarantineRow {
	return QuarantineRow{
		Fingerprint: record.Fingerprint, StoredCrashes: q.tracker.StoredCrashes(record), Trials: record.Trials, Quarantined: record.Quarantined,
	}
}

// requiredWorkers returns how many workers a stored row must list. That of a quarantined part lists all, so
// that it still explains the crashes of other parts after a restart.
func (q *quarantineState) requiredWorkers(row *QuarantineRow) int {
	if row.Quarantined {
		return len(row.Workers)
	}
	return min(len(row.Workers), q.tracker.Threshold())
}

// syncQuarantineStore keeps the store's rows up to date until the process stops. After a failed pass it makes
// another one by itself, since nothing else may change.
func (g *Gateway) syncQuarantineStore() error {
	pauses := newQuarantineBackoff()
	for {
		select {
		case <-g.quarantines.storeSignal:
		case <-g.life.Dying():
			return nil
		}
		_, isHolder := g.lease.Fence()
		isReader, _ := g.sources.readsStore()
		changes := g.quarantines.pendingStoreChanges(g.now(), isReader, isHolder)
		if g.applyStoreChanges(&changes) {
			pauses.Reset()
			continue
		}
		signal(g.quarantines.storeSignal)
		if !g.pause(pauses.NextBackOff()) {
			return nil
		}
	}
}

// newQuarantineBackoff returns the pauses between failed passes, each half to one and a half times its mean, so
// that the gateways don't retry in lockstep.
func newQuarantineBackoff() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = quarantineRetryMin, quarantineRetryMax
	return pauses
}

// applyStoreChanges writes and removes rows, and reports whether no call failed. It leaves the rest to the next
// pass once the store doesn't take calls. The order is random, so that a row on which the store always fails
// doesn't keep the others back.
func (g *Gateway) applyStoreChanges(changes *storeChanges) bool {
	rand.Shuffle(len(changes.write), func(one, other int) {
		changes.write[one], changes.write[other] = changes.write[other], changes.write[one]
	})
	succeeded := true
	for _, row := range changes.write {
		err := g.writeQuarantine(row)
		if takesNoCalls(err) {
			return false
		}
		succeeded = succeeded && !isFailedWrite(err)
	}
	for _, fingerprint := range changes.remove {
		err := g.removeQuarantine(fingerprint)
		if takesNoCalls(err) {
			return false
		}
		succeeded = succeeded && !isFailedWrite(err)
	}
	return succeeded
}

// isFailedWrite reports whether a write is to be repeated. After a conflict the stored row counts.
func isFailedWrite(err error) bool { return err != nil && !errors.Is(err, platform.ErrConflict) }

// takesNoCalls reports whether further writes are likely to fail like one that returned err.
func takesNoCalls(err error) bool { return isFailedWrite(err) && !errors.Is(err, platform.ErrInvalid) }

// writeQuarantine writes one row. On a conflict it applies the stored row.
func (g *Gateway) writeQuarantine(row QuarantineRow) error {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	stored, err := g.dependencies.Store.WriteQuarantine(ctx, row, g.quarantines.storedVersion(row.Fingerprint))
	switch {
	case err == nil:
		g.quarantines.setStored(&stored)
	case errors.Is(err, platform.ErrConflict) && stored.Version != 0:
		g.applyQuarantineRow(&stored)
	case errors.Is(err, platform.ErrConflict):
		g.quarantines.deleteStored(row.Fingerprint)
	}
	line := g.events.line("quarantine_recorded").Str("fingerprint", row.Fingerprint.String()).Int("ends", len(row.Workers)).
		Str("workers", workerNames(row.Workers)).Bool("quarantined", row.Quarantined).Int("trials", row.Trials)
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("quarantine_recorded")
	return err
}

// workerNames returns the workers of a row for a log line, separated by commas.
func workerNames(workers []fleet.EngineID) string {
	names := make([]string, len(workers))
	for index, worker := range workers {
		names[index] = string(worker)
	}
	return strings.Join(names, ",")
}

// removeQuarantine removes the row of a request.
func (g *Gateway) removeQuarantine(fingerprint quarantine.Fingerprint) error {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	err := g.dependencies.Store.RemoveQuarantine(ctx, fingerprint, g.quarantines.storedVersion(fingerprint))
	if err == nil || errors.Is(err, platform.ErrConflict) {
		g.quarantines.deleteStored(fingerprint)
	}
	line := g.events.line("quarantine_removed").Str("fingerprint", fingerprint.String())
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("quarantine_removed")
	return err
}

// acquireTrial reports whether this gateway may try a quarantined request now. The conditional
// write to the store ensures that no other gateway runs the same trial.
func (g *Gateway) acquireTrial(current *callerRequest, verdict quarantine.Verdict) bool {
	row, known := g.quarantines.row(verdict.Fingerprint)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(current.request.Context(), trialTimeout)
	defer cancel()
	row.Trials = verdict.Trials + 1
	stored, err := g.dependencies.Store.WriteQuarantine(ctx, row, g.quarantines.storedVersion(verdict.Fingerprint))
	if errors.Is(err, platform.ErrConflict) && stored.Trials == verdict.Trials {
		stored, err = g.dependencies.Store.WriteQuarantine(ctx, row, stored.Version)
	}
	line := g.logger.Warn().Str("request_id", current.metadata.RequestID).Str("fingerprint", verdict.Fingerprint.String()).Int("trial", row.Trials)
	if err != nil {
		line.Err(err).Msg("quarantine_trial_refused")
		return false
	}
	g.quarantines.setStored(&stored)
	g.quarantines.beginTrial(g.now(), verdict.Fingerprint, row.Trials)
	line.Msg("quarantine_trial")
	return true
}

// row returns the row of a request's record, if there is a record.
func (q *quarantineState) row(fingerprint quarantine.Fingerprint) (QuarantineRow, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	record, known := q.tracker.Record(fingerprint)
	if !known {
		return QuarantineRow{}, false
	}
	return q.rowFromRecord(&record), true
}

// beginTrial records that this gateway tries a quarantined request.
func (q *quarantineState) beginTrial(now time.Duration, fingerprint quarantine.Fingerprint, trials int) {
	q.update(now, []quarantine.Fingerprint{fingerprint}, func(tracker *quarantine.Tracker, _ quarantine.Fingerprint) bool {
		tracker.BeginTrial(now, fingerprint, trials)
		return true
	})
}
