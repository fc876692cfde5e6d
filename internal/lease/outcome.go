package lease

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// ReadDone reports the end of an ActionRead: the row, or the error of the read.
// It returns ErrMalformedRecord if the row can't be understood, which a person
// must mend.
func (e *Election) ReadDone(now time.Duration, row platform.Row, err error) error {
	e.noteStoreTime(now, row.StoreTime)
	if errors.Is(err, platform.ErrNotFound) {
		e.observe(now, 0, Record{})
		return nil
	}
	if err != nil {
		e.nextAt = now + e.retryInterval()
		return nil
	}
	record, err := decodeRecord(row.Value)
	if err != nil {
		e.nextAt = now + e.pollInterval()
		return err
	}
	e.observe(now, row.Revision, record)
	return nil
}

// observe takes in the row as a read showed it.
func (e *Election) observe(now time.Duration, revision uint64, record Record) {
	changed := revision != e.row.revision
	if changed {
		e.row = observation{record: record, revision: revision, since: now}
	}
	e.highestToken = max(e.highestToken, record.Token)
	e.mustRead = false
	e.resolve()
	if !e.mine() {
		e.believedUntil = 0
	}
	if e.mine() || record.Holder == "" || e.earlierRun() {
		e.nextAt = now
		return
	}
	e.nextAt = max(now, min(now+e.pollInterval(), e.runsOutAt()))
}

// resolve settles the commit whose answer was lost, by the row that was read.
func (e *Election) resolve() {
	if e.unresolved == nil || e.unresolved.compared == e.row.revision {
		return
	}
	tookEffect := e.row.revision == e.unresolved.compared+1 && e.row.record == e.unresolved.record
	if tookEffect && e.mine() {
		e.believe(e.unresolved.start)
	}
	e.unresolved = nil
}

// believe counts the lease as held from a commit's start: the write took effect
// no earlier, so no challenger began to wait before.
func (e *Election) believe(start time.Duration) {
	e.believedUntil = start + e.settings.Duration - e.settings.Margin
}

// CommitDone reports the end of an ActionCommit.
func (e *Election) CommitDone(now time.Duration, err error) {
	done := e.sent
	e.sent = nil
	if e.resigned {
		return
	}
	switch {
	case err == nil:
		e.committed(now, done)
	case errors.Is(err, platform.ErrConflict):
		e.mustRead = true
		e.nextAt = now
	case errors.Is(err, platform.ErrRateLimited), errors.Is(err, platform.ErrUnavailable):
		e.nextAt = now + e.retryInterval()
	default:
		e.leaveUnresolved(done)
		e.mustRead = true
		e.nextAt = now + e.retryInterval()
	}
}

func (e *Election) committed(now time.Duration, done *commit) {
	e.row = observation{record: done.record, revision: done.compared + 1, since: now}
	e.highestToken = max(e.highestToken, done.record.Token)
	e.unresolved = nil
	e.believe(done.start)
	e.nextAt = max(now, done.start+e.settings.Duration/renewFraction)
}

// leaveUnresolved keeps the earliest start among commits on one revision: the
// row can't tell which of them took effect.
func (e *Election) leaveUnresolved(done *commit) {
	if e.unresolved == nil || e.unresolved.compared != done.compared {
		e.unresolved = done
	}
}
