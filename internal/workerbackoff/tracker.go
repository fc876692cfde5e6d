// Package workerbackoff tracks for how long workers have asked this node to send no requests.
//
// A worker that rejects a request may ask for a backoff: a time during which no requests are sent to
// it. Until its end the worker is closed. Then it is half open: one request at a time is sent, until
// one is answered without another backoff. The end of a backoff is jittered, since many nodes may
// have received it at the same time.
//
// The package has no I/O and no clock: times are passed in, on the process's steady clock.
package workerbackoff

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// jitterFraction is the fraction of a backoff over which its end is jittered, up to maxJitter.
	jitterFraction = 0.1
	maxJitter      = 500 * time.Millisecond
	// trialTimeout is how long an unanswered request to a half-open worker holds back the next one.
	trialTimeout = time.Second
)

// Run identifies a run of a worker. StartTime is by the worker's clock; 0 if it isn't known.
type Run struct {
	Worker    fleet.EngineID
	StartTime uint64
}

// Tracker holds the backoffs of all workers that have asked for one. It isn't safe for concurrent
// use.
type Tracker struct {
	random  *rand.Rand
	entries map[fleet.EngineID]*entry
}

// entry is the backoff of one run.
type entry struct {
	startTime uint64
	// requestedUntil is the latest end that the worker has asked for, reopensAt the jittered end
	// after which this node sends again.
	requestedUntil, reopensAt time.Duration
	// trialUntil is when the trial request to a half-open worker times out.
	trialUntil time.Duration
}

// NewTracker returns an empty tracker. random jitters the ends of backoffs.
func NewTracker(random *rand.Rand) *Tracker {
	return &Tracker{random: random, entries: make(map[fleet.EngineID]*entry)}
}

// Extend records that a run has asked for a backoff from now on, and reports whether that extends
// its backoff. A requested backoff that ends before the current one changes nothing.
func (t *Tracker) Extend(now time.Duration, run Run, wait time.Duration) bool {
	known := t.entries[run.Worker]
	switch {
	case known == nil || (known.startTime != 0 && run.StartTime > known.startTime):
		known = &entry{}
		t.entries[run.Worker] = known
	case run.StartTime != 0 && run.StartTime < known.startTime:
		return false
	}
	known.startTime = max(known.startTime, run.StartTime)
	if now+wait <= known.requestedUntil {
		return false
	}
	known.requestedUntil = now + wait
	known.reopensAt = known.requestedUntil + t.jitter(wait)
	known.trialUntil = 0
	return true
}

// jitter returns how much later than requested this node ends a backoff.
func (t *Tracker) jitter(wait time.Duration) time.Duration {
	return time.Duration(t.random.Float64() * float64(min(time.Duration(float64(wait)*jitterFraction), maxJitter)))
}

// ClosedFor returns for how long a run is to get no request; 0 if it may get one.
func (t *Tracker) ClosedFor(now time.Duration, run Run) time.Duration {
	known := t.entryOf(run)
	if known == nil {
		return 0
	}
	return max(known.reopensAt-now, known.trialUntil-now, 0)
}

// BeginRequest is called right before a request is sent to a run. It returns for how long none may
// be sent; 0 means that the request may be sent. In that case, if the run is half open, further
// requests wait for the answer.
func (t *Tracker) BeginRequest(now time.Duration, run Run) time.Duration {
	closed := t.ClosedFor(now, run)
	if known := t.entryOf(run); closed == 0 && known != nil {
		known.trialUntil = now + trialTimeout
	}
	return closed
}

// ObserveAnswer records that a run has answered a request without asking for a backoff. It ends the
// backoff unless the request was sent before the requested end.
func (t *Tracker) ObserveAnswer(run Run, sentAt time.Duration) {
	if known := t.entryOf(run); known != nil && sentAt >= known.requestedUntil {
		delete(t.entries, run.Worker)
	}
}

// entryOf returns the backoff of a run, nil if it has none.
func (t *Tracker) entryOf(run Run) *entry {
	known := t.entries[run.Worker]
	if known == nil || (known.startTime != 0 && run.StartTime > known.startTime) {
		return nil
	}
	return known
}

// Forget drops the backoff of a worker whose run has ended.
func (t *Tracker) Forget(worker fleet.EngineID) { delete(t.entries, worker) }

// ClosedWorkers returns the workers whose backoff isn't over, sorted by identifier.
func (t *Tracker) ClosedWorkers(now time.Duration) []fleet.EngineID {
	var closed []fleet.EngineID
	for worker, known := range t.entries {
		if now < known.reopensAt {
			closed = append(closed, worker)
		}
	}
	slices.Sort(closed)
	return closed
}

// IsEmpty reports whether no run has a backoff or is half open.
func (t *Tracker) IsEmpty() bool { return len(t.entries) == 0 }
