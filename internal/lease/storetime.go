package lease

import "time"

// The time of the store decides when a record runs out for a process that sees it
// for the first time: whoever renewed it wrote down until when it counts at the most. So
// a process that saw nothing of the last renewal, since it has just started or the
// store was out of reach, need not wait for the whole duration from its first look.

// clockErrorPart is the part of a time by which a process's clock may be wrong: a
// process that translates the store's time allows for it, as Margin does for holders.
const clockErrorPart = 10

// referenceFor is how many durations of the lease a holder translates the store's time
// by the same answer, before it reads again.
const referenceFor = 2

// storeReference is an answer of the store by which its time is translated: it was
// given between the start and the end of a call, on the process's clock.
type storeReference struct {
	time       time.Duration
	begun, end time.Duration
}

// known tells whether there was such an answer.
func (r storeReference) known() bool { return r.time > 0 }

// atMost returns a time that the store's clock doesn't exceed at now.
func (r storeReference) atMost(now time.Duration) time.Duration {
	elapsed := now - r.begun
	return r.time + elapsed + elapsed/clockErrorPart
}

// noteStoreTime takes in the store's time in an answer that came at now.
func (e *Election) noteStoreTime(now, storeTime time.Duration) {
	if storeTime > 0 {
		e.reference = storeReference{time: storeTime, begun: e.readBegun, end: now}
	}
}

// referenceTooOld tells whether a holder must read again to write the store's time.
func (e *Election) referenceTooOld(now time.Duration) bool {
	return e.reference.known() && now > e.reference.begun+referenceFor*e.settings.Duration
}

// writtenMillis returns the store's time at the most at now, for a record; 0 if it
// isn't known.
func (e *Election) writtenMillis(now time.Duration) int64 {
	if !e.reference.known() {
		return 0
	}
	return e.reference.atMost(now).Milliseconds() + 1
}

// runsOutAt returns when the row as last seen has run out, if its holder doesn't renew
// it: the duration after it was first seen, or after the time at which it was written by
// the store's clock, whichever is sooner. Margin allows for the error of this process's
// clock in both.
func (e *Election) runsOutAt() time.Duration {
	record := e.row.record
	wait := record.Duration() + e.settings.Margin
	at := e.row.since + wait
	written := time.Duration(record.WrittenMillis) * time.Millisecond
	if written > 0 && e.reference.known() {
		at = min(at, e.reference.end+written+wait-e.reference.time)
	}
	return at
}
