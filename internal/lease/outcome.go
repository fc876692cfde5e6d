package lease

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// ReadDone reports the result of an ActionRead: the row or the read error. It returns
// ErrMalformedRecord if the row cannot be decoded, which requires an operator to repair it.
func (e *Election) ReadDone(now time.Duration, row platform.Row, err error) error {
	e.recordStoreTime(now, row.StoreTime)
	if errors.Is(err, platform.ErrNotFound) {
		e.observe(now, row, Record{})
		return nil
	}
	if err != nil {
		e.nextActionAt = now + e.retryInterval()
		return nil
	}
	record, err := decodeRecord(row.Value)
	if err != nil {
		e.nextActionAt = now + e.pollInterval()
		return err
	}
	e.observe(now, row, record)
	return nil
}

// observe records the row as returned by a read.
func (e *Election) observe(now time.Duration, row platform.Row, record Record) {
	e.ObserveEpoch(now, row.Epoch)
	if row.Epoch != e.row.epoch {
		e.observeRestoredRow(now, row, record)
	} else if row.Revision != e.row.revision {
		e.row = observation{record: record, revision: row.Revision, epoch: row.Epoch, firstSeenAt: now}
	}
	e.highestToken = max(e.highestToken, record.Token)
	e.mustRead = false
	e.resolveCommit()
	if e.isCurrent() && !e.isRecordedHolder() {
		e.validUntil = 0
	}
	if e.row.epoch < e.epoch {
		// A response of the former epoch has come late.
		e.nextActionAt = now + e.retryInterval()
		return
	}
	if e.canWrite(now) {
		e.nextActionAt = now
		return
	}
	e.nextActionAt = max(now, min(now+e.pollInterval(), e.expiresAt()))
}

// resolveCommit determines from the row just read whether the commit with an unknown outcome took
// effect.
func (e *Election) resolveCommit() {
	if e.unresolvedCommit == nil || e.unresolvedCommit.expectedRevision == e.row.revision {
		return
	}
	tookEffect := e.row.revision == e.unresolvedCommit.expectedRevision+1 && e.row.record == e.unresolvedCommit.record
	if tookEffect && e.isRecordedHolder() {
		e.extendFrom(e.unresolvedCommit)
	}
	e.unresolvedCommit = nil
}

// extendFrom extends the lease from a commit's start. The write took effect no earlier, so no
// challenger's wait began before it.
func (e *Election) extendFrom(written *commit) {
	e.heldToken = written.record.Token
	e.validUntil = written.startedAt + e.settings.Duration - e.settings.Margin
}

// CommitDone reports the result of an ActionCommit.
func (e *Election) CommitDone(now time.Duration, err error) {
	done := e.pendingCommit
	e.pendingCommit = nil
	if e.resigned {
		return
	}
	switch {
	case err == nil:
		e.applyCommit(now, done)
	case errors.Is(err, platform.ErrConflict):
		e.mustRead = true
		e.nextActionAt = now
	case errors.Is(err, platform.ErrRateLimited), errors.Is(err, platform.ErrUnavailable):
		e.nextActionAt = now + e.retryInterval()
	default:
		e.keepUnresolved(done)
		e.mustRead = true
		e.nextActionAt = now + e.retryInterval()
	}
}

func (e *Election) applyCommit(now time.Duration, done *commit) {
	e.row = observation{record: done.record, revision: done.expectedRevision + 1, epoch: done.record.Epoch, firstSeenAt: now}
	e.highestToken = max(e.highestToken, done.record.Token)
	e.unresolvedCommit = nil
	if !e.isRecordedHolder() {
		e.validUntil = 0
		e.nextActionAt = now + e.pollInterval()
		return
	}
	e.extendFrom(done)
	e.nextActionAt = max(now, done.startedAt+e.settings.Duration/renewalsPerDuration)
}

// keepUnresolved remembers a commit with an unknown outcome. Among commits on the same revision it
// keeps the earliest, because the row does not show which of them took effect.
func (e *Election) keepUnresolved(done *commit) {
	if e.unresolvedCommit == nil || e.unresolvedCommit.expectedRevision != done.expectedRevision {
		e.unresolvedCommit = done
	}
}
