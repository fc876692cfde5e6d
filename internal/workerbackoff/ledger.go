// Package workerbackoff keeps for how long workers want no requests from this node.
//
// A worker that rejects a request may name a time. Until it is over the worker is closed. Then it
// is half open: one request at a time is sent, until one has been answered by something else than
// another such time. The end is spread, since many nodes may have been asked at once.
//
// The ledger has no I/O and no clock: times are passed in, on the process's steady clock. It isn't
// safe for concurrent use.
package workerbackoff

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of the end of a backoff.
const (
	// jitterFraction is the part of a backoff over which its end is spread, mostSpread its bound.
	jitterFraction = 0.1
	maxJitter      = 500 * time.Millisecond
	// trialTimeout is how long a half-open worker is left alone with one request that isn't
	// answered.
	trialTimeout = time.Second
)

// Run names a run of a worker. Born is when it started, by its clock; 0 if that isn't known.
type Run struct {
	Worker    fleet.EngineID
	StartTime uint64
}

// Tracker holds the backoffs of all workers that have asked for one.
type Tracker struct {
	random  *rand.Rand
	entries map[fleet.EngineID]*entry
}

// entry is the backoff of one run.
type entry struct {
	startTime uint64
	// requestedUntil is the end of the longest time that was asked for, reopensAt when this node sends
	// again.
	requestedUntil, reopensAt time.Duration
	// trialUntil is until when one request is under way to the half-open worker.
	trialUntil time.Duration
}

// NewTracker returns an empty ledger. random spreads the ends of backoffs.
func NewTracker(random *rand.Rand) *Tracker {
	return &Tracker{random: random, entries: make(map[fleet.EngineID]*entry)}
}

// Extend takes in that a run wants no requests for a time from now on. A time that ends before one
// asked for earlier changes nothing. It tells whether the backoff has become longer.
func (l *Tracker) Extend(now time.Duration, run Run, wait time.Duration) bool {
	known := l.entries[run.Worker]
	switch {
	case known == nil || (known.startTime != 0 && run.StartTime > known.startTime):
		known = &entry{}
		l.entries[run.Worker] = known
	case run.StartTime != 0 && run.StartTime < known.startTime:
		return false
	}
	known.startTime = max(known.startTime, run.StartTime)
	if now+wait <= known.requestedUntil {
		return false
	}
	known.requestedUntil = now + wait
	known.reopensAt = known.requestedUntil + l.jitter(wait)
	known.trialUntil = 0
	return true
}

// jitter returns how much after its end a backoff ends at this node.
func (l *Tracker) jitter(wait time.Duration) time.Duration {
	return time.Duration(l.random.Float64() * float64(min(time.Duration(float64(wait)*jitterFraction), maxJitter)))
}

// ClosedFor returns for how long a run is to get no request; 0 if it may get one.
func (l *Tracker) ClosedFor(now time.Duration, run Run) time.Duration {
	known := l.entryOf(run)
	if known == nil {
		return 0
	}
	return max(known.reopensAt-now, known.trialUntil-now, 0)
}

// BeginRequest is called right before a request is sent to a run. It returns for how long none may be
// sent; if 0, and the run is half open, others wait for the answer of this one.
func (l *Tracker) BeginRequest(now time.Duration, run Run) time.Duration {
	closed := l.ClosedFor(now, run)
	if known := l.entryOf(run); closed == 0 && known != nil {
		known.trialUntil = now + trialTimeout
	}
	return closed
}

// ObserveAnswer takes in that a run has answered a request without asking for another backoff. It
// opens the run, unless the request was sent before the backoff was over.
func (l *Tracker) ObserveAnswer(run Run, sentAt time.Duration) {
	if known := l.entryOf(run); known != nil && sentAt >= known.requestedUntil {
		delete(l.entries, run.Worker)
	}
}

// entryOf returns the backoff entryOf a run, nil if it has none.
func (l *Tracker) entryOf(run Run) *entry {
	known := l.entries[run.Worker]
	if known == nil || (known.startTime != 0 && run.StartTime > known.startTime) {
		return nil
	}
	return known
}

// Forget drops the backoff of a worker whose run has ended.
func (l *Tracker) Forget(worker fleet.EngineID) { delete(l.entries, worker) }

// ClosedWorkers returns the workers that are to get no request at a time, by identifier.
func (l *Tracker) ClosedWorkers(now time.Duration) []fleet.EngineID {
	var closing []fleet.EngineID
	for worker, known := range l.entries {
		if now < known.reopensAt {
			closing = append(closing, worker)
		}
	}
	slices.Sort(closing)
	return closing
}

// IsEmpty tells whether no run has a backoff or is half open.
func (l *Tracker) IsEmpty() bool { return len(l.entries) == 0 }
