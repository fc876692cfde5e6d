package backends

import (
	"slices"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// drainingRetention is how long a draining run is remembered after it was forgotten, long enough
// for the run to end.
const drainingRetention = time.Hour

// drainingRecord remembers a run that was draining when it was forgotten. It expires at expiresAt;
// 0 means that the time is not yet set.
type drainingRecord struct {
	startTime StartTime
	expiresAt time.Duration
}

// DrainingRun identifies a run that is shutting down. StartTime is 0 if unknown.
type DrainingRun struct {
	Worker    fleet.EngineID
	StartTime StartTime
}

// ObserveDraining records that a run has announced its shutdown by other means than its row. A row
// does not revoke this, since a worker that cannot reach the store cannot update its row.
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

// isDifferentRun reports whether two start times belong to different runs. An unknown start time
// matches any run.
func isDifferentRun(first, second StartTime) bool {
	return first != 0 && second != 0 && first != second
}

// wasDraining reports whether the run was draining when it was forgotten, or is older than one that
// was. The mutex must be held.
func (r *Registry) wasDraining(id fleet.EngineID, startTime StartTime) bool {
	record, found := r.forgottenDraining[id]
	return found && (record.startTime == 0 || startTime <= record.startTime)
}

// expireForgottenDraining drops expired records. The mutex must be held.
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

// IsDraining reports whether a worker is shutting down.
func (r *Registry) IsDraining(id fleet.EngineID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state := r.workers[id]; state != nil {
		return state.worker.Draining
	}
	return r.wasDraining(id, 0)
}

// UnpublishedDraining returns the runs that are draining although their rows do not say so, sorted
// by identifier.
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

// CanSend reports whether a request may still be sent to a worker that was chosen earlier.
func (r *Registry) CanSend(now time.Duration, worker *Worker) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.workers[worker.ID]
	if state == nil {
		return !r.wasDraining(worker.ID, worker.StartTime)
	}
	return !state.worker.Draining && (!state.gone || state.isLapsed(now))
}
