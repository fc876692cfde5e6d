package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// Times and bounds of keeping requests that end workers in the store.
const (
	// quarantineWatchWait is the longest wait of one call that follows the rows. They prove nothing,
	// and a change ends the call at once, so a shorter wait would only cost calls.
	quarantineWatchWait = 10 * time.Second
	// orphanedAfter is how long after its last end a held request without a row is written
	// by any node that reads the store: those that lost runs to it may all be gone.
	orphanedAfter = 3 * time.Second
	// maxStoreChanges bounds the rows that are written or removed in one look.
	maxStoreChanges = 16
	// trialTimeout bounds the store's answer to a node that wants to try a held request.
	trialTimeout = 500 * time.Millisecond
)

// storedQuarantine is what is known of a request's row.
type storedQuarantine struct {
	version     fleet.Revision
	workerCount int
	trials      int
}

// newQuarantineTable returns the table of requests under which workers ended. Nodes that don't
// read the store aren't told of its rows but of the records, so that it is none of g.tables.
func (g *Gateway) newQuarantineTable() *table {
	return &table{
		name:   TableQuarantine,
		cache:  watchcache.New(0),
		wait:   quarantineWatchWait,
		pause:  workersPause,
		take:   g.applyQuarantineRows,
		whole:  g.applyQuarantineSnapshot,
		taken:  func() {},
		proven: func(time.Duration) {},
	}
}

// followQuarantine follows the rows while this node reads the store, until the process ends.
// It begins once this node knows what it needs to serve: until then each node reads, and most
// are told of the records by a reader a moment later.
func (g *Gateway) followQuarantine() error {
	select {
	case <-g.readiness.known:
		return g.followStore(g.quarantineTable)
	case <-g.life.Dying():
		return nil
	}
}

// applyQuarantineRows takes in changed rows.
func (g *Gateway) applyQuarantineRows(rows []watchcache.Row, _ gap) {
	decoded, unreadable := g.outside.Platform.DecodeQuarantine(rows)
	g.noteUnreadable("", unreadable)
	for index := range decoded {
		g.applyQuarantineRow(&decoded[index])
	}
}

// applyQuarantineSnapshot takes in what a whole read of the rows lacks. A row that this node wrote
// itself before it read any may have been removed since.
func (g *Gateway) applyQuarantineSnapshot(update *watchcache.Update) {
	named := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		named[row.Key] = true
	}
	for _, missing := range g.quarantines.missingFrom(update.Revision, named) {
		g.applyQuarantineRow(&QuarantineRow{Fingerprint: missing, Gone: true})
	}
}

// missingFrom returns the requests with a row of a revision at the latest that isn't named.
func (q *quarantineState) missingFrom(revision fleet.Revision, named map[string]bool) []quarantine.Fingerprint {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var missing []quarantine.Fingerprint
	for fingerprint, stored := range q.stored {
		if stored.version <= revision && !named[fingerprint.String()] {
			missing = append(missing, fingerprint)
		}
	}
	return missing
}

// applyQuarantineRow takes one row in. Since it names no times, what it tells counts as if it
// had happened now. A row that was removed, by a node that saw the request answered or by an
// operator, ends the hold.
func (g *Gateway) applyQuarantineRow(row *QuarantineRow) {
	now := g.now()
	if row.Gone {
		if g.quarantines.deleteStored(row.Fingerprint) {
			g.handleQuarantineChange(row.Fingerprint, "row_removed", g.quarantines.release(now, row.Fingerprint))
		}
		return
	}
	g.quarantines.setStored(row)
	record := quarantine.Record{Fingerprint: row.Fingerprint, Trials: row.Trials}
	if row.Trials > 0 {
		record.TriedAt = now
	}
	for _, worker := range row.Workers {
		record.Ends = append(record.Ends, quarantine.End{Worker: worker, At: now})
	}
	g.handleQuarantineChange(row.Fingerprint, "store", g.quarantines.merge(now, &record))
}

// setStored notes what the store holds.
func (q *quarantineState) setStored(row *QuarantineRow) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.stored[row.Fingerprint] = storedQuarantine{version: row.Version, workerCount: len(row.Workers), trials: row.Trials}
}

// deleteStored notes that the store holds no row of a request, and tells whether that is news.
func (q *quarantineState) deleteStored(fingerprint quarantine.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, found := q.stored[fingerprint]
	delete(q.stored, fingerprint)
	return found
}

// storedVersion returns the version that a request's row is believed to have; 0 for none.
func (q *quarantineState) storedVersion(fingerprint quarantine.Fingerprint) fleet.Revision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.stored[fingerprint].version
}

// storeChanges is what is to be done at the store.
type storeChanges struct {
	write  []QuarantineRow
	remove []quarantine.Fingerprint
}

// pendingStoreChanges returns what this node is to write and to remove. It writes what was under way at its
// own lost runs; what others have left unwritten it writes if it reads the store. It removes
// what it had a part in, or anything if it holds the lease.
func (q *quarantineState) pendingStoreChanges(now time.Duration, reads, leads bool) storeChanges {
	if !q.active.Load() {
		return storeChanges{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var work storeChanges
	shared := make(map[quarantine.Fingerprint]bool)
	for _, record := range q.ledger.AtLeast(sharedCrashes) {
		shared[record.Fingerprint] = true
		verdict := q.ledger.Check(now, record.Fingerprint)
		stranded := reads && verdict.Held && verdict.LastAge > orphanedAfter
		known := q.stored[record.Fingerprint]
		lacks := known.workerCount < min(verdict.Ends, q.ledger.Threshold()) || known.trials < record.Trials
		if lacks && (q.local[record.Fingerprint] || stranded) && len(work.write) < maxStoreChanges {
			work.write = append(work.write, rowFromRecord(&record, verdict.Ends))
		}
	}
	for fingerprint := range q.stored {
		if !shared[fingerprint] && (leads || q.local[fingerprint]) && len(work.remove) < maxStoreChanges {
			work.remove = append(work.remove, fingerprint)
		}
	}
	return work
}

// rowFromRecord returns the row of a record, of which the last ends count.
func rowFromRecord(record *quarantine.Record, counted int) QuarantineRow {
	row := QuarantineRow{Fingerprint: record.Fingerprint, Trials: record.Trials}
	for _, end := range record.Ends[len(record.Ends)-counted:] {
		row.Workers = append(row.Workers, end.Worker)
	}
	return row
}

// syncQuarantineStore keeps the store's rows in step with what this node knows, until the process
// ends. What fails, such as while the store is out of reach, is tried again with the next
// look, which the housekeeping asks for.
func (g *Gateway) syncQuarantineStore() error {
	for {
		select {
		case <-g.quarantines.storeSignal:
		case <-g.life.Dying():
			return nil
		}
		_, leads := g.keeper.Fence()
		reads, _ := g.sources.reads()
		work := g.quarantines.pendingStoreChanges(g.now(), reads, leads)
		g.applyStoreChanges(&work)
	}
}

// applyStoreChanges writes and removes rows.
func (g *Gateway) applyStoreChanges(work *storeChanges) {
	for _, row := range work.write {
		g.writeQuarantine(row)
	}
	for _, fingerprint := range work.remove {
		g.removeQuarantine(fingerprint)
	}
}

// writeQuarantine writes one row, together with what the store holds of the request.
func (g *Gateway) writeQuarantine(row QuarantineRow) {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	stored, err := g.outside.Platform.WriteQuarantine(ctx, row, g.quarantines.storedVersion(row.Fingerprint))
	switch {
	case err == nil:
		g.quarantines.setStored(&stored)
	case errors.Is(err, platform.ErrConflict) && stored.Version != 0:
		g.applyQuarantineRow(&stored)
	case errors.Is(err, platform.ErrConflict):
		g.quarantines.deleteStored(row.Fingerprint)
	}
	line := g.events.line("quarantine_recorded").Str("fingerprint", row.Fingerprint.String()).Int("ends", len(row.Workers)).Int("trials", row.Trials)
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("quarantine_recorded")
}

// removeQuarantine removes one row.
func (g *Gateway) removeQuarantine(fingerprint quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(g.context(), deliveryCallTimeout)
	defer cancel()
	err := g.outside.Platform.RemoveQuarantine(ctx, fingerprint, g.quarantines.storedVersion(fingerprint))
	if err == nil || errors.Is(err, platform.ErrConflict) {
		g.quarantines.deleteStored(fingerprint)
	}
	line := g.events.line("quarantine_removed").Str("fingerprint", fingerprint.String())
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("quarantine_removed")
}

// acquireTrial tells whether a held request may be tried here and now: the store has taken this
// node's word that it is, so that no other node tries it too.
func (g *Gateway) acquireTrial(current *carried, verdict quarantine.Verdict) bool {
	record, known := g.quarantines.record(current.fingerprint)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(current.request.Context(), trialTimeout)
	defer cancel()
	row := rowFromRecord(&record, verdict.Ends)
	row.Trials = verdict.Trials + 1
	stored, err := g.outside.Platform.WriteQuarantine(ctx, row, g.quarantines.storedVersion(current.fingerprint))
	if errors.Is(err, platform.ErrConflict) && stored.Trials == verdict.Trials {
		stored, err = g.outside.Platform.WriteQuarantine(ctx, row, stored.Version)
	}
	line := g.logger.Warn().Str("request_id", current.metadata.RequestID).Str("fingerprint", current.fingerprint.String()).Int("trial", row.Trials)
	if err != nil {
		line.Err(err).Msg("quarantine_trial_refused")
		return false
	}
	g.quarantines.setStored(&stored)
	g.quarantines.beginTrial(g.now(), current.fingerprint, row.Trials)
	line.Msg("quarantine_trial")
	return true
}

// record returns what is known of a request.
func (q *quarantineState) record(fingerprint quarantine.Fingerprint) (quarantine.Record, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.ledger.Record(fingerprint)
}

// beginTrial notes that a held request is tried at this node.
func (q *quarantineState) beginTrial(now time.Duration, fingerprint quarantine.Fingerprint, trials int) {
	q.update(now, fingerprint, func(ledger *quarantine.Ledger) bool {
		ledger.BeginTrial(now, fingerprint, trials)
		return true
	})
}
