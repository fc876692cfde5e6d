package lease

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// The table service may be restored from an older copy. Its row then names an earlier holder, or
// none, while the last one still relies on its lease. A row that was written in another epoch than
// it is read in therefore doesn't say who holds the lease: the last holder writes it again while its
// lease lasts, and everybody else waits for as long as that can be.

// tokenBits is the number of low bits of a token that count the holders of one epoch. Tokens that
// the table service has lost are so never given out again.
const tokenBits = 20

// ObserveEpoch records the epoch of the table service as of now. It may be called with an epoch that
// was learned by other calls to the same store; challengers' waits begin there.
func (e *Election) ObserveEpoch(now time.Duration, epoch fleet.StoreEpoch) {
	if e.epochObserved && epoch <= e.epoch {
		return
	}
	e.sawRestore = e.epochObserved
	e.epochObserved = true
	e.epoch, e.epochSeenAt = epoch, now
}

// isCurrent reports whether the row was written in the epoch in which it was read. An epoch of 0 is
// that of a service that isn't restored.
func (e *Election) isCurrent() bool { return e.row.record.Epoch == e.row.epoch }

// isUnused reports whether the lease has never been held.
func (e *Election) isUnused() bool {
	return e.settings.NeverHeld && e.row.revision == 0 && !e.sawRestore
}

// observeRestoredRow records the row as read for the first time in an epoch. A commit of the epoch
// before whose outcome is unknown is lost. The row of another epoch has been there since the
// restore.
func (e *Election) observeRestoredRow(now time.Duration, row platform.Row, record Record) {
	e.unresolvedCommit = nil
	e.row = observation{record: record, revision: row.Revision, epoch: row.Epoch, firstSeenAt: now}
	if !e.isCurrent() {
		e.row.firstSeenAt = e.epochSeenAt
	}
}

// nextToken returns the token of a new holder.
func (e *Election) nextToken() fleet.FencingToken {
	next := e.highestToken + 1
	if e.isCurrent() || e.isUnused() {
		return next
	}
	return max(next, fleet.FencingToken(e.row.epoch)<<tokenBits)
}

// idleTime returns how long the lease has been unused at least when a new holder takes it over from
// none. After a restore the last holder's lease ended twice the margin before.
func (e *Election) idleTime() time.Duration {
	if !e.isCurrent() && !e.isUnused() {
		return 2 * e.settings.Margin
	}
	return time.Duration(e.row.record.IdleMillis) * time.Millisecond
}
