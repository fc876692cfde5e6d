package backends

import (
	"slices"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// drainingRetention is how long a draining run is remembered once it is forgotten otherwise: by then it
// has ended, also where it served on for long.
const drainingRetention = time.Hour

// drainingRecord is a run that was draining when it was forgotten. It is remembered until a time, 0 if
// that isn't set yet.
type drainingRecord struct {
	startTime StartTime
	expiresAt time.Duration
}

// DrainingRun names a run that shuts down. Born is 0 if its start isn't known.
type DrainingRun struct {
	Worker    fleet.EngineID
	StartTime StartTime
}

// ObserveDraining takes in that a run has said, other than by its row, that it shuts down. No
// row takes that back: the worker may not reach the store.
func (r *Registry) ObserveDraining(run DrainingRun) Change {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[run.Worker]
	if state == nil {
		r.forgottenDraining[run.Worker] = drainingRecord{startTime: max(r.forgottenDraining[run.Worker].startTime, run.StartTime)}
		return Unchanged
	}
	if state.worker.Draining || isDifferentRun(state.worker.StartTime, run.StartTime) {
		return Unchanged
	}
	state.worker.Draining = true
	r.unpublishedDraining[run.Worker] = true
	r.changes++
	r.updatePool(state)
	return StartedDraining
}

// isDifferentRun tells whether two starts, of which either may be unknown, are those of two runs.
func isDifferentRun(first, second StartTime) bool {
	return first != 0 && second != 0 && first != second
}

// wasDraining tells whether a run was draining when it was forgotten, or is older than one that
// was; the mutex is held.
func (r *Registry) wasDraining(id fleet.EngineID, startTime StartTime) bool {
	record, found := r.forgottenDraining[id]
	return found && (record.startTime == 0 || startTime <= record.startTime)
}

// expireForgottenDraining drops the runs that were forgotten long ago; the mutex is held.
func (r *Registry) expireForgottenDraining(now time.Duration) {
	for id, record := range r.forgottenDraining {
		switch {
		case record.expiresAt == 0:
			record.expiresAt = now + drainingRetention
			r.forgottenDraining[id] = record
		case now >= record.expiresAt:
			delete(r.forgottenDraining, id)
		}
	}
}

// IsDraining tells whether a worker is known to shut down.
func (r *Registry) IsDraining(id fleet.EngineID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		return state.worker.Draining
	}
	return r.wasDraining(id, 0)
}

// UnpublishedDraining returns the runs that are known to shut down and whose rows don't say so, by
// identifier.
func (r *Registry) UnpublishedDraining() []DrainingRun {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	runs := make([]DrainingRun, 0, len(r.unpublishedDraining))
	for id := range r.unpublishedDraining {
		runs = append(runs, DrainingRun{Worker: id, StartTime: r.workers[id].worker.StartTime})
	}
	slices.SortFunc(runs, func(a, b DrainingRun) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return runs
}

// CanSend tells whether a request may still be sent to a worker that was chosen before.
func (r *Registry) CanSend(now time.Duration, worker *Worker) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[worker.ID]
	if state == nil {
		return !r.wasDraining(worker.ID, worker.StartTime)
	}
	return !state.worker.Draining && (!state.gone || state.isLapsed(now))
}
