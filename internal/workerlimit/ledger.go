package workerlimit

import (
	"slices"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// endedFor is how long the end of a limit is remembered and told: some rounds of reports, so
// that a node which still believes in the limit doesn't tell it anew.
const endedFor = 10 * time.Second

// Change tells what an observation has changed.
type Change uint8

// Changes of a belief.
const (
	Unchanged Change = iota
	// Began means that the worker has a limit and had none, Altered that it has another.
	Began
	Altered
	// Ended means that it has none any more.
	Ended
)

// String returns the change's name.
func (c Change) String() string {
	return [...]string{"unchanged", "began", "altered", "ended"}[c]
}

// Ledger is what one node believes of workers' limits. It holds nothing while no worker has
// one.
type Ledger struct {
	entries map[fleet.EngineID]*entry
}

// entry is the belief on one worker.
type entry struct {
	observation Observation
	// closed is until when there is no room, by priority.
	closed [Priorities]time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: make(map[fleet.EngineID]*entry)}
}

// Observe takes in an observation, this node's own or another's, and tells what it has changed.
func (l *Ledger) Observe(observation Observation) Change {
	known := l.entries[observation.Worker]
	if known == nil {
		if !observation.Limited {
			return Unchanged
		}
		l.entries[observation.Worker] = &entry{observation: observation}
		return Began
	}
	before := known.observation
	switch {
	case !otherRun(before.Born, observation.Born):
		known.observation = merge(before, observation)
		known.observation.Born = max(before.Born, observation.Born)
	case observation.Born > before.Born:
		known.observation = observation
	}
	change := changeOf(&before, &known.observation)
	if change != Unchanged {
		known.closed = [Priorities]time.Duration{}
	}
	return change
}

// changeOf tells what a belief that takes another's place changes.
func changeOf(before, after *Observation) Change {
	switch {
	case after.same(before):
		return Unchanged
	case !after.Limited:
		return Ended
	case !before.Limited:
		return Began
	default:
		return Altered
	}
}

// otherRun tells whether two starts, of which either may be unknown, are those of two runs.
func otherRun(one, another uint64) bool { return one != 0 && another != 0 && one != another }

// Limit returns the limit of a worker's run; false if it has none.
func (l *Ledger) Limit(worker fleet.EngineID, born uint64) (Rate, bool) {
	known := l.entries[worker]
	if known == nil || !known.observation.Limited || otherRun(known.observation.Born, born) {
		return 0, false
	}
	return known.observation.Rate, true
}

// Close takes in that a worker with a limit had no room for a request of a priority.
func (l *Ledger) Close(now time.Duration, worker fleet.EngineID, priority int, refused Grant) {
	known := l.entries[worker]
	if known == nil {
		return
	}
	for other := range known.closed {
		wait := refused.Wait
		if other < priority {
			wait = refused.Refill
		}
		known.closed[other] = max(known.closed[other], now+wait)
	}
}

// Closed returns how long a worker with a limit has no room for a request of a priority, by
// what was last found; 0 if it may have.
func (l *Ledger) Closed(now time.Duration, worker fleet.EngineID, priority int) time.Duration {
	known := l.entries[worker]
	if known == nil || !known.observation.Limited {
		return 0
	}
	return max(known.closed[min(max(priority, 0), Priorities-1)]-now, 0)
}

// Observation returns what is believed of a worker; false if nothing is.
func (l *Ledger) Observation(worker fleet.EngineID) (Observation, bool) {
	known := l.entries[worker]
	if known == nil {
		return Observation{}, false
	}
	return known.observation, true
}

// Observations returns what is believed of all workers, by identifier, the ends of late among it.
func (l *Ledger) Observations(now time.Duration) []Observation {
	observations := make([]Observation, 0, len(l.entries))
	for worker, known := range l.entries {
		if !known.observation.Limited && now >= known.observation.Answered+endedFor {
			delete(l.entries, worker)
			continue
		}
		observations = append(observations, known.observation)
	}
	slices.SortFunc(observations, func(a, b Observation) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return observations
}

// Empty tells whether nothing is believed of any worker.
func (l *Ledger) Empty() bool { return len(l.entries) == 0 }

// Forget drops what is believed of a worker whose run has ended.
func (l *Ledger) Forget(worker fleet.EngineID) { delete(l.entries, worker) }
