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
	// quarantineWait is the longest wait of one call that follows the rows. They prove nothing,
	// and a change ends the call at once, so a shorter wait would only cost calls.
	quarantineWait = 10 * time.Second
	// strandedAfter is how long after its last end a held request without a row is written
	// by any node that reads the store: those that lost runs to it may all be gone.
	strandedAfter = 3 * time.Second
	// storedAtOnce bounds the rows that are written or removed in one look.
	storedAtOnce = 16
	// trialTimeout bounds the store's answer to a node that wants to try a held request.
	trialTimeout = 500 * time.Millisecond
)

// storedQuarantine is what is known of a request's row.
type storedQuarantine struct {
	version fleet.Revision
	workers int
	trials  int
}

// newQuarantineTable returns the table of requests under which workers ended. Nodes that don't
// read the store aren't told of its rows but of the records, so that it is none of g.tables.
func (g *Gateway) newQuarantineTable() *table {
	return &table{
		name:   TableQuarantine,
		cache:  watchcache.New(0),
		wait:   quarantineWait,
		pause:  workersPause,
		take:   g.takeQuarantineRows,
		whole:  g.takeWholeQuarantine,
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

// takeQuarantineRows takes in changed rows.
func (g *Gateway) takeQuarantineRows(rows []watchcache.Row, _ gap) {
	decoded, unreadable := g.outside.Platform.DecodeQuarantine(rows)
	g.noteUnreadable("", unreadable)
	for index := range decoded {
		g.takeQuarantineRow(&decoded[index])
	}
}

// takeWholeQuarantine takes in what a whole read of the rows lacks. A row that this node wrote
// itself before it read any may have been removed since.
func (g *Gateway) takeWholeQuarantine(update *watchcache.Update) {
	named := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		named[row.Key] = true
	}
	for _, missing := range g.quarantines.storedBefore(update.Revision, named) {
		g.takeQuarantineRow(&QuarantineRow{Fingerprint: missing, Gone: true})
	}
}

// storedBefore returns the requests with a row of a revision at the latest that isn't named.
func (q *quarantines) storedBefore(revision fleet.Revision, named map[string]bool) []quarantine.Fingerprint {
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

// takeQuarantineRow takes one row in. Since it names no times, what it tells counts as if it
// had happened now. A row that was removed, by a node that saw the request answered or by an
// operator, ends the hold.
func (g *Gateway) takeQuarantineRow(row *QuarantineRow) {
	now := g.now()
	if row.Gone {
		if g.quarantines.forgetStored(row.Fingerprint) {
			g.noteQuarantine(row.Fingerprint, "row_removed", g.quarantines.release(now, row.Fingerprint))
		}
		return
	}
	g.quarantines.noteStored(row)
	record := quarantine.Record{Fingerprint: row.Fingerprint, Trials: row.Trials}
	if row.Trials > 0 {
		record.LastTrialAt = now
	}
	for _, worker := range row.Workers {
		record.Crashes = append(record.Crashes, quarantine.Crash{Worker: worker, At: now})
	}
	g.noteQuarantine(row.Fingerprint, "store", g.quarantines.merge(now, &record))
}

// noteStored notes what the store holds.
func (q *quarantines) noteStored(row *QuarantineRow) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.stored[row.Fingerprint] = storedQuarantine{version: row.Version, workers: len(row.Workers), trials: row.Trials}
}

// forgetStored notes that the store holds no row of a request, and tells whether that is news.
func (q *quarantines) forgetStored(fingerprint quarantine.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, found := q.stored[fingerprint]
	delete(q.stored, fingerprint)
	return found
}

// storedVersion returns the version that a request's row is believed to have; 0 for none.
func (q *quarantines) storedVersion(fingerprint quarantine.Fingerprint) fleet.Revision {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.stored[fingerprint].version
}

// storeWork is what is to be done at the store.
type storeWork struct {
	write  []QuarantineRow
	remove []quarantine.Fingerprint
}

// work returns what this node is to write and to remove. It writes what was under way at its
// own lost runs; what others have left unwritten it writes if it reads the store. It removes
// what it had a part in, or anything if it holds the lease.
func (q *quarantines) work(now time.Duration, reads, leads bool) storeWork {
	if !q.any.Load() {
		return storeWork{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var work storeWork
	shared := make(map[quarantine.Fingerprint]bool)
	for _, record := range q.ledger.RecordsWithCrashes(sharedEnds) {
		shared[record.Fingerprint] = true
		verdict := q.ledger.Check(now, record.Fingerprint)
		stranded := reads && verdict.Quarantined && verdict.LastAge > strandedAfter
		known := q.stored[record.Fingerprint]
		lacks := known.workers < min(verdict.Crashes, q.ledger.Threshold()) || known.trials < record.Trials
		if lacks && (q.own[record.Fingerprint] || stranded) && len(work.write) < storedAtOnce {
			work.write = append(work.write, rowOf(&record, verdict.Crashes))
		}
	}
	for fingerprint := range q.stored {
		if !shared[fingerprint] && (leads || q.own[fingerprint]) && len(work.remove) < storedAtOnce {
			work.remove = append(work.remove, fingerprint)
		}
	}
	return work
}

// rowOf returns the row of a record, of which the last ends count.
func rowOf(record *quarantine.Record, counted int) QuarantineRow {
	row := QuarantineRow{Fingerprint: record.Fingerprint, Trials: record.Trials}
	for _, end := range record.Crashes[len(record.Crashes)-counted:] {
		row.Workers = append(row.Workers, end.Worker)
	}
	return row
}

// storeQuarantine keeps the store's rows in step with what this node knows, until the process
// ends. What fails, such as while the store is out of reach, is tried again with the next
// look, which the housekeeping asks for.
func (g *Gateway) storeQuarantine() error {
	for {
		select {
		case <-g.quarantines.unstored:
		case <-g.life.Dying():
			return nil
		}
		_, leads := g.keeper.Fence()
		reads, _ := g.sources.reads()
		work := g.quarantines.work(g.now(), reads, leads)
		g.carryOut(&work)
	}
}

// carryOut writes and removes rows.
func (g *Gateway) carryOut(work *storeWork) {
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
		g.quarantines.noteStored(&stored)
	case errors.Is(err, platform.ErrConflict) && stored.Version != 0:
		g.takeQuarantineRow(&stored)
	case errors.Is(err, platform.ErrConflict):
		g.quarantines.forgetStored(row.Fingerprint)
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
		g.quarantines.forgetStored(fingerprint)
	}
	line := g.events.line("quarantine_removed").Str("fingerprint", fingerprint.String())
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("quarantine_removed")
}

// beginTrial tells whether a held request may be tried here and now: the store has taken this
// node's word that it is, so that no other node tries it too.
func (g *Gateway) beginTrial(current *carried, verdict quarantine.Verdict) bool {
	record, known := g.quarantines.record(current.fingerprint)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(current.request.Context(), trialTimeout)
	defer cancel()
	row := rowOf(&record, verdict.Crashes)
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
	g.quarantines.noteStored(&stored)
	g.quarantines.beginTrial(g.now(), current.fingerprint, row.Trials)
	line.Msg("quarantine_trial")
	return true
}

// record returns what is known of a request.
func (q *quarantines) record(fingerprint quarantine.Fingerprint) (quarantine.Record, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.ledger.Record(fingerprint)
}

// beginTrial notes that a held request is tried at this node.
func (q *quarantines) beginTrial(now time.Duration, fingerprint quarantine.Fingerprint, trials int) {
	q.update(now, fingerprint, func(ledger *quarantine.Tracker) bool {
		ledger.BeginTrial(now, fingerprint, trials)
		return true
	})
}
