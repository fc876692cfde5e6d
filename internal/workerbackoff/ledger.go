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
	// spreadPart is the part of a backoff over which its end is spread, mostSpread its bound.
	spreadPart = 0.1
	mostSpread = 500 * time.Millisecond
	// trialTimeout is how long a half-open worker is left alone with one request that isn't
	// answered.
	trialTimeout = time.Second
)

// Run names a run of a worker. Born is when it started, by its clock; 0 if that isn't known.
type Run struct {
	Worker fleet.EngineID
	Born   uint64
}

// Ledger holds the backoffs of all workers that have asked for one.
type Ledger struct {
	random  *rand.Rand
	entries map[fleet.EngineID]*entry
}

// entry is the backoff of one run.
type entry struct {
	born uint64
	// until is the end of the longest time that was asked for, reopens when this node sends
	// again.
	until, reopens time.Duration
	// trialUntil is until when one request is under way to the half-open worker.
	trialUntil time.Duration
}

// NewLedger returns an empty ledger. random spreads the ends of backoffs.
func NewLedger(random *rand.Rand) *Ledger {
	return &Ledger{random: random, entries: make(map[fleet.EngineID]*entry)}
}

// Ask takes in that a run wants no requests for a time from now on. A time that ends before one
// asked for earlier changes nothing. It tells whether the backoff has become longer.
func (l *Ledger) Ask(now time.Duration, run Run, wait time.Duration) bool {
	known := l.entries[run.Worker]
	switch {
	case known == nil || (known.born != 0 && run.Born > known.born):
		known = &entry{}
		l.entries[run.Worker] = known
	case run.Born != 0 && run.Born < known.born:
		return false
	}
	known.born = max(known.born, run.Born)
	if now+wait <= known.until {
		return false
	}
	known.until = now + wait
	known.reopens = known.until + l.spread(wait)
	known.trialUntil = 0
	return true
}

// spread returns how much after its end a backoff ends at this node.
func (l *Ledger) spread(wait time.Duration) time.Duration {
	return time.Duration(l.random.Float64() * float64(min(time.Duration(float64(wait)*spreadPart), mostSpread)))
}

// Closed returns for how long a run is to get no request; 0 if it may get one.
func (l *Ledger) Closed(now time.Duration, run Run) time.Duration {
	known := l.of(run)
	if known == nil {
		return 0
	}
	return max(known.reopens-now, known.trialUntil-now, 0)
}

// Begin is called right before a request is sent to a run. It returns for how long none may be
// sent; if 0, and the run is half open, others wait for the answer of this one.
func (l *Ledger) Begin(now time.Duration, run Run) time.Duration {
	closed := l.Closed(now, run)
	if known := l.of(run); closed == 0 && known != nil {
		known.trialUntil = now + trialTimeout
	}
	return closed
}

// Answered takes in that a run has answered a request without asking for another backoff. It
// opens the run, unless the request was sent before the backoff was over.
func (l *Ledger) Answered(run Run, sentAt time.Duration) {
	if known := l.of(run); known != nil && sentAt >= known.until {
		delete(l.entries, run.Worker)
	}
}

// of returns the backoff of a run, nil if it has none.
func (l *Ledger) of(run Run) *entry {
	known := l.entries[run.Worker]
	if known == nil || (known.born != 0 && run.Born > known.born) {
		return nil
	}
	return known
}

// Forget drops the backoff of a worker whose run has ended.
func (l *Ledger) Forget(worker fleet.EngineID) { delete(l.entries, worker) }

// Closing returns the workers that are to get no request at a time, by identifier.
func (l *Ledger) Closing(now time.Duration) []fleet.EngineID {
	var closing []fleet.EngineID
	for worker, known := range l.entries {
		if now < known.reopens {
			closing = append(closing, worker)
		}
	}
	slices.Sort(closing)
	return closing
}

// Empty tells whether no run has a backoff or is half open.
func (l *Ledger) Empty() bool { return len(l.entries) == 0 }
