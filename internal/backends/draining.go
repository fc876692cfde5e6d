package backends

import (
	"slices"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// drainedKept is how long a draining run is remembered once it is forgotten otherwise: by then it
// has ended, also where it served on for long.
const drainedKept = time.Hour

// drainedRun is a run that was draining when it was forgotten. It is remembered until a time, 0 if
// that isn't set yet.
type drainedRun struct {
	born  StartTime
	until time.Duration
}

// DrainingRun names a run that shuts down. Born is 0 if its start isn't known.
type DrainingRun struct {
	Worker fleet.EngineID
	Born   StartTime
}

// ObserveDraining takes in that a run has said, other than by its row, that it shuts down. No
// row takes that back: the worker may not reach the store.
func (r *Registry) ObserveDraining(run DrainingRun) Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.workers[run.Worker]
	if known == nil {
		r.drained[run.Worker] = drainedRun{born: max(r.drained[run.Worker].born, run.Born)}
		return Unchanged
	}
	if known.worker.Draining || otherRun(known.worker.Born, run.Born) {
		return Unchanged
	}
	known.worker.Draining = true
	r.unlisted[run.Worker] = true
	r.changes++
	r.enlist(known)
	return Began
}

// otherRun tells whether two starts, of which either may be unknown, are those of two runs.
func otherRun(one, another StartTime) bool { return one != 0 && another != 0 && one != another }

// wasDraining tells whether a run was draining when it was forgotten, or is older than one that
// was; the mutex is held.
func (r *Registry) wasDraining(id fleet.EngineID, born StartTime) bool {
	drained, found := r.drained[id]
	return found && (drained.born == 0 || born <= drained.born)
}

// sweepDrained drops the runs that were forgotten long ago; the mutex is held.
func (r *Registry) sweepDrained(now time.Duration) {
	for id, drained := range r.drained {
		switch {
		case drained.until == 0:
			drained.until = now + drainedKept
			r.drained[id] = drained
		case now >= drained.until:
			delete(r.drained, id)
		}
	}
}

// Draining tells whether a worker is known to shut down.
func (r *Registry) Draining(id fleet.EngineID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.workers[id]; known != nil {
		return known.worker.Draining
	}
	return r.wasDraining(id, 0)
}

// DrainingUnlisted returns the runs that are known to shut down and whose rows don't say so, by
// identifier.
func (r *Registry) DrainingUnlisted() []DrainingRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make([]DrainingRun, 0, len(r.unlisted))
	for id := range r.unlisted {
		runs = append(runs, DrainingRun{Worker: id, Born: r.workers[id].worker.Born})
	}
	slices.SortFunc(runs, func(a, b DrainingRun) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return runs
}

// Sendable tells whether a request may still be sent to a worker that was chosen before.
func (r *Registry) Sendable(now time.Duration, worker *Worker) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.workers[worker.ID]
	if known == nil {
		return !r.wasDraining(worker.ID, worker.Born)
	}
	return !known.worker.Draining && (!known.gone || known.lapsed(now))
}
