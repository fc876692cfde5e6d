package workerlimit

import (
	"slices"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// removalRetention is how long the removal of a limit is kept and reported. It spans several rounds
// of reports, so that a node which still has the limit doesn't restore it at others.
const removalRetention = 10 * time.Second

// Change is the effect of an observation on a worker's limit.
type Change uint8

// Changes of a limit.
const (
	Unchanged Change = iota
	// LimitAdded means that the worker has a limit and had none.
	LimitAdded
	// LimitChanged means that the worker has a different limit.
	LimitChanged
	// LimitRemoved means that the worker no longer has a limit.
	LimitRemoved
)

// String returns the change's name.
func (c Change) String() string {
	return [...]string{"unchanged", "began", "altered", "ended"}[c]
}

// Tracker is one node's view of the workers' limits. It is empty while no worker has a limit.
type Tracker struct {
	entries map[fleet.EngineID]*entry
}

// entry is the view of one worker.
type entry struct {
	observation Observation
	// closedUntil is until when the worker has no room, by priority.
	closedUntil [PriorityCount]time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{entries: make(map[fleet.EngineID]*entry)}
}

// Observe applies an observation of this node or another one and returns its effect.
func (t *Tracker) Observe(observation Observation) Change {
	known := t.entries[observation.Worker]
	if known == nil {
		if !observation.Limited {
			return Unchanged
		}
		t.entries[observation.Worker] = &entry{observation: observation}
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
		known.closedUntil = [PriorityCount]time.Duration{}
	}
	return change
}

// changeOf returns the change from one observation to the next.
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

// areDifferentRuns reports whether two start times belong to different runs. A start time of 0 is
// unknown and matches any run.
func areDifferentRuns(one, other uint64) bool { return one != 0 && other != 0 && one != other }

// Limit returns the limit of a worker's run; false if it has none.
func (t *Tracker) Limit(worker fleet.EngineID, startTime uint64) (Rate, bool) {
	known := t.entries[worker]
	if known == nil || !known.observation.Limited || areDifferentRuns(known.observation.StartTime, startTime) {
		return 0, false
	}
	return known.observation.Rate, true
}

// ObserveRefusal records that a worker with a limit had no room for a request of a priority.
func (t *Tracker) ObserveRefusal(now time.Duration, worker fleet.EngineID, priority int, refusal Grant) {
	known := t.entries[worker]
	if known == nil {
		return
	}
	for other := range known.closedUntil {
		wait := refusal.Wait
		if other < priority {
			wait = refusal.Refill
		}
		known.closedUntil[other] = max(known.closedUntil[other], now+wait)
	}
}

// ClosedFor returns how long a worker with a limit has no room for a request of a priority,
// according to the last refusal; 0 if it may have room.
func (t *Tracker) ClosedFor(now time.Duration, worker fleet.EngineID, priority int) time.Duration {
	known := t.entries[worker]
	if known == nil || !known.observation.Limited {
		return 0
	}
	return max(known.closedUntil[min(max(priority, 0), PriorityCount-1)]-now, 0)
}

// Observation returns the current observation of a worker; false if there is none.
func (t *Tracker) Observation(worker fleet.EngineID) (Observation, bool) {
	known := t.entries[worker]
	if known == nil {
		return Observation{}, false
	}
	return known.observation, true
}

// Observations returns the current observations of all workers, sorted by worker. They include
// limits removed within removalRetention; older removals are dropped.
func (t *Tracker) Observations(now time.Duration) []Observation {
	observations := make([]Observation, 0, len(t.entries))
	for worker, known := range t.entries {
		if !known.observation.Limited && now >= known.observation.AnsweredAt+removalRetention {
			delete(t.entries, worker)
			continue
		}
		observations = append(observations, known.observation)
	}
	slices.SortFunc(observations, func(a, b Observation) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return observations
}

// IsEmpty reports whether there is no observation of any worker.
func (t *Tracker) IsEmpty() bool { return len(t.entries) == 0 }

// Forget drops the observation of a worker whose run has ended.
func (t *Tracker) Forget(worker fleet.EngineID) { delete(t.entries, worker) }
