package lease

import "time"

// The time of the store decides when a record runs out for a process that sees it
// for the first time: whoever renewed it wrote down until when it counts at the most. So
// a process that saw nothing of the last renewal, since it has just started or the
// store was out of reach, need not wait for the whole duration from its first look.

// clockErrorDivisor is the part of a time by which a process's clock may be wrong: a
// process that translates the store's time allows for it, as Margin does for holders.
const clockErrorDivisor = 10

// storeClockMaxAge is how many durations of the lease a holder translates the store's time
// by the same answer, before it reads again.
const storeClockMaxAge = 2

// storeClockSample is an answer of the store by which its time is translated: it was
// given between the start and the end of a call, on the process's clock.
type storeClockSample struct {
	time                                 time.Duration
	requestStartedAt, responseReceivedAt time.Duration
}

// isKnown tells whether there was such an answer.
func (r storeClockSample) isKnown() bool { return r.time > 0 }

// upperBound returns a time that the store's clock doesn't exceed at now.
func (r storeClockSample) upperBound(now time.Duration) time.Duration {
	elapsed := now - r.requestStartedAt
	return r.time + elapsed + elapsed/clockErrorDivisor
}

// recordStoreTime takes in the store's time in an answer that came at now.
func (e *Election) recordStoreTime(now, storeTime time.Duration) {
	if storeTime > 0 {
		e.storeClock = storeClockSample{time: storeTime, requestStartedAt: e.readStartedAt, responseReceivedAt: now}
	}
}

// isStoreClockStale tells whether a holder must read again to write the store's time.
func (e *Election) isStoreClockStale(now time.Duration) bool {
	return e.storeClock.isKnown() && now > e.storeClock.requestStartedAt+storeClockMaxAge*e.settings.Duration
}

// storeTimeMillis returns the store's time at the most at now, for a record; 0 if it
// isn't known.
func (e *Election) storeTimeMillis(now time.Duration) int64 {
	if !e.storeClock.isKnown() {
		return 0
	}
	return e.storeClock.upperBound(now).Milliseconds() + 1
}

// expiresAt returns when the row as last seen has run out, if its holder doesn't renew
// it: the duration after it was first seen, or after the time at which it was written by
// the store's clock, whichever is sooner. Margin allows for the error of this process's
// clock in both.
func (e *Election) expiresAt() time.Duration {
	record := e.row.record
	wait := record.Duration() + e.settings.Margin
	at := e.row.firstSeenAt + wait
	written := time.Duration(record.WrittenMillis) * time.Millisecond
	if written > 0 && e.storeClock.isKnown() {
		at = min(at, e.storeClock.responseReceivedAt+written+wait-e.storeClock.time)
	}
	return at
}
