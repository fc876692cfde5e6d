package lease

import "time"

// The store's clock lets a process that reads the row for the first time compute when the record
// expires: each renewal writes an upper bound of the store's time into it. A process that has just
// started, or could not reach the store, therefore need not wait for a whole lease duration after
// its first read.

// clockErrorDivisor is the inverse of the relative error allowed for a process's clock when it
// extrapolates the store's time.
const clockErrorDivisor = 10

// storeClockMaxAge is the age, in lease durations, at which a holder reads the store's time again.
const storeClockMaxAge = 2

// storeClockSample is the store's time as returned by a call, with the start and the end of that
// call on the process's clock.
type storeClockSample struct {
	time                                 time.Duration
	requestStartedAt, responseReceivedAt time.Duration
}

// isKnown reports whether the sample holds a store time.
func (s storeClockSample) isKnown() bool { return s.time > 0 }

// upperBound returns an upper bound of the store's time at now.
func (s storeClockSample) upperBound(now time.Duration) time.Duration {
	elapsed := now - s.requestStartedAt
	return s.time + elapsed + elapsed/clockErrorDivisor
}

// recordStoreTime records the store's time from a response received at now. Zero is ignored.
func (e *Election) recordStoreTime(now, storeTime time.Duration) {
	if storeTime > 0 {
		e.storeClock = storeClockSample{time: storeTime, requestStartedAt: e.readStartedAt, responseReceivedAt: now}
	}
}

// isStoreClockStale reports whether a holder must read the row again to refresh the store's time.
func (e *Election) isStoreClockStale(now time.Duration) bool {
	return e.storeClock.isKnown() && now > e.storeClock.requestStartedAt+storeClockMaxAge*e.settings.Duration
}

// storeTimeMillis returns an upper bound of the store's time at now, in milliseconds, or 0 if it is
// not known.
func (e *Election) storeTimeMillis(now time.Duration) int64 {
	if !e.storeClock.isKnown() {
		return 0
	}
	return e.storeClock.upperBound(now).Milliseconds() + 1
}

// expiresAt returns when the observed row expires unless its holder renews it: the duration plus
// Margin after it was first seen or, if sooner, after it was written by the store's clock. Margin
// covers the error of this process's clock in both cases.
func (e *Election) expiresAt() time.Duration {
	record := e.row.record
	if !e.isCurrent() {
		return e.row.firstSeenAt + max(record.Duration(), e.settings.Duration) + e.settings.Margin
	}
	wait := record.Duration() + e.settings.Margin
	at := e.row.firstSeenAt + wait
	written := time.Duration(record.WrittenMillis) * time.Millisecond
	if written > 0 && e.storeClock.isKnown() {
		at = min(at, e.storeClock.responseReceivedAt+written+wait-e.storeClock.time)
	}
	return at
}
