package workerlimit

import (
	"slices"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// removalRetention is how long the end of a limit is remembered and told: some rounds of reports, so
// that a node which still believes in the limit doesn't tell it anew.
const removalRetention = 10 * time.Second

// Change tells what an observation has changed.
type Change uint8

// Changes of a belief.
const (
	Unchanged Change = iota
	// LimitAdded means that the worker has a limit and had none, Altered that it has another.
	LimitAdded
	LimitChanged
	// LimitRemoved means that it has none any more.
	LimitRemoved
)

// String returns the change's name.
func (c Change) String() string {
	return [...]string{"unchanged", "began", "altered", "ended"}[c]
}

// Tracker is what one node believes of workers' limits. It holds nothing while no worker has
// one.
type Tracker struct {
	entries map[fleet.EngineID]*entry
}

// entry is the belief on one worker.
type entry struct {
	observation Observation
	// closedUntil is until when there is no room, by priority.
	closedUntil [PriorityLevels]time.Duration
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker {
	return &Tracker{entries: make(map[fleet.EngineID]*entry)}
}

// Observe takes in an observation, this node's own or another's, and tells what it has changed.
func (l *Tracker) Observe(observation Observation) Change {
	known := l.entries[observation.Worker]
	if known == nil {
		if !observation.Limited {
			return Unchanged
		}
		l.entries[observation.Worker] = &entry{observation: observation}
		return LimitAdded
	}
	before := known.observation
	switch {
	case !areDifferentRuns(before.StartTime, observation.StartTime):
		known.observation = merge(before, observation)
		known.observation.StartTime = max(before.StartTime, observation.StartTime)
	case observation.StartTime > before.StartTime:
		known.observation = observation
	}
	change := changeOf(&before, &known.observation)
	if change != Unchanged {
		known.closedUntil = [PriorityLevels]time.Duration{}
	}
	return change
}

// changeOf tells what a belief that takes another's place changes.
func changeOf(before, after *Observation) Change {
	switch {
	case after.isSame(before):
		return Unchanged
	case !after.Limited:
		return LimitRemoved
	case !before.Limited:
		return LimitAdded
	default:
		return LimitChanged
	}
}

// areDifferentRuns tells whether two starts, of which either may be unknown, are those of two runs.
func areDifferentRuns(one, another uint64) bool { return one != 0 && another != 0 && one != another }

// Limit returns the limit of a worker's run; false if it has none.
func (l *Tracker) Limit(worker fleet.EngineID, born uint64) (Rate, bool) {
	known := l.entries[worker]
	if known == nil || !known.observation.Limited || areDifferentRuns(known.observation.StartTime, born) {
		return 0, false
	}
	return known.observation.Rate, true
}

// ObserveRefusal takes in that a worker with a limit had no room for a request of a priority.
func (l *Tracker) ObserveRefusal(now time.Duration, worker fleet.EngineID, priority int, refused Grant) {
	known := l.entries[worker]
	if known == nil {
		return
	}
	for other := range known.closedUntil {
		wait := refused.Wait
		if other < priority {
			wait = refused.Refill
		}
		known.closedUntil[other] = max(known.closedUntil[other], now+wait)
	}
}

// ClosedFor returns how long a worker with a limit has no room for a request of a priority, by
// what was last found; 0 if it may have.
func (l *Tracker) ClosedFor(now time.Duration, worker fleet.EngineID, priority int) time.Duration {
	known := l.entries[worker]
	if known == nil || !known.observation.Limited {
		return 0
	}
	return max(known.closedUntil[min(max(priority, 0), PriorityLevels-1)]-now, 0)
}

// Observation returns what is believed of a worker; false if nothing is.
func (l *Tracker) Observation(worker fleet.EngineID) (Observation, bool) {
	known := l.entries[worker]
	if known == nil {
		return Observation{}, false
	}
	return known.observation, true
}

// Observations returns what is believed of all workers, by identifier, the ends of late among it.
func (l *Tracker) Observations(now time.Duration) []Observation {
	observations := make([]Observation, 0, len(l.entries))
	for worker, known := range l.entries {
		if !known.observation.Limited && now >= known.observation.AnsweredAt+removalRetention {
			delete(l.entries, worker)
			continue
		}
		observations = append(observations, known.observation)
	}
	slices.SortFunc(observations, func(a, b Observation) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return observations
}

// IsEmpty tells whether nothing is believed of any worker.
func (l *Tracker) IsEmpty() bool { return len(l.entries) == 0 }

// Forget drops what is believed of a worker whose run has ended.
func (l *Tracker) Forget(worker fleet.EngineID) { delete(l.entries, worker) }
