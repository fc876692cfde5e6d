package delivery

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Times of writes to the store.
const (
	// writeRetryInterval is the time between two tries of a write, writeTimeout that after which
	// a write without an answer is tried again.
	writeRetryInterval = 300 * time.Millisecond
	writeTimeout       = 3 * time.Second
)

// directorState is a director's state of one order.
type directorState struct {
	self      fleet.NodeID
	order     Order
	startedAt time.Duration
	schedule  schedule
	stage     Stage
	reason    string
	rejected  []fleet.SoftwareVersion
	meter     meter
	judge     *judge

	// verdict is the final stage that was decided but isn't written yet, 0 before.
	verdict Stage
	// recorded is set once the store holds a record of the order.
	recorded bool
	// nextWriteAt is when a record may be written, again after a try that failed.
	nextWriteAt time.Duration
	// finalAt is when the final stage was known to be written.
	finalAt time.Duration

	// The rest is what the last directive asks for.
	sequence        uint64
	changed         bool
	shares          map[RouteName]float64
	defaultShare    float64
	sharesSetAt     time.Duration
	shiftAt         time.Duration
	shifting        bool
	canaries        []fleet.EngineID
	suspected       map[fleet.EngineID]bool
	targetOnlySince time.Duration
	refusalReported bool
	startReported   bool
	endReported     bool
	evaluatedAt     time.Duration
	// hasSingleTarget is set while the target lists a single worker.
	hasSingleTarget bool
}

// extend gives an order whose deadline is past, or close, the time that a delivery
// needs. A shift can't be squeezed into less without more exposure.
func (s *directorState) extend(now time.Duration) {
	early := now <= s.schedule.deadline-minRemaining || now-s.schedule.start < minRemaining
	if early && now < s.schedule.deadline {
		return
	}
	s.schedule.start = now
	s.schedule.deadline = now + extendedDuration
}

// resume goes on after a pause in which nothing was seen or could be decided. A shift has
// lapsed everywhere by then; a completion may have been written, the store will tell.
func (s *directorState) resume(now time.Duration, reason string) Event {
	if s.verdict == StageCompleted {
		s.verdict = 0
		s.reason = ""
		s.nextWriteAt = now
	}
	s.shifting = false
	s.shiftAt = 0
	s.changed = true
	s.extend(now)
	return s.newEvent(now, EventExtended, reason)
}

// restart goes by another start of the same order.
func (s *directorState) restart(now, start time.Duration) {
	s.startedAt = start
	s.schedule.start = start
	s.schedule.deadline = start + s.order.Duration
	s.extend(now)
}

// mergeOlderRecord takes over from the record of an older order what became of it.
func (s *directorState) mergeOlderRecord(found Record) {
	for _, version := range found.Rejected {
		s.rejected = appendUnique(s.rejected, version)
	}
	if found.Stage == StageCompleted {
		s.rejected = slices.DeleteFunc(s.rejected, func(version fleet.SoftwareVersion) bool {
			return version == found.Order.Target
		})
	}
	s.changed = true
}

// finish takes in a final record. at is when it became known.
func (s *directorState) finish(record Record, at time.Duration) {
	s.stage = record.Stage
	s.reason = record.Reason
	s.finalAt = at
	s.recorded = true
	s.rejected = slices.Clone(record.Rejected)
	if s.stage == StageRolledBack {
		s.rejected = appendUnique(s.rejected, s.order.Target)
	}
	s.changed = true
}

// refuse answers an order for a service that the configuration doesn't hold.
func (s *directorState) refuse(now time.Duration) Decision {
	if s.refusalReported {
		return Decision{}
	}
	s.refusalReported = true
	return Decision{Event: s.newEvent(now, EventRefused, ReasonUnknownService)}
}

func (s *directorState) conditions(now time.Duration) conditions {
	return conditions{now: now, singleCanary: !s.shifting && len(s.canaries) == 1, surging: s.shifting}
}

// directive returns what is asked of all nodes now. storeNow numbers changes across
// directors: it only grows, and is one clock for all of them.
func (s *directorState) directive(now, storeNow time.Duration) *Directive {
	if s.changed {
		s.changed = false
		s.sequence = max(s.sequence+1, uint64(max(0, storeNow.Microseconds())))
	}
	issued := &Directive{
		Service:  s.order.Service,
		Target:   s.order.Target,
		Revision: s.order.Revision,
		Sequence: s.sequence,
		Stage:    StageCanary,
		Issuer:   s.self,
		IssuedAt: now,
		Rejected: slices.Clone(s.rejected),
	}
	switch {
	case s.stage.IsFinal():
		issued.Stage = s.stage
		issued.IssuedAt = s.finalAt
	case s.shifting:
		issued.Stage = StageShifting
		issued.DefaultShare = 1
	case s.verdict == 0 && s.hasEnoughCanaries(now):
		issued.Shares = s.shares
		issued.DefaultShare = s.defaultShare
		issued.Canaries = slices.Clone(s.canaries)
		issued.ShiftAt = s.shiftAt
	}
	return issued
}

// pendingRecord returns the record that the store lacks: that the order has begun, or its end.
func (s *directorState) pendingRecord(now, sinceStore time.Duration) *Record {
	if s.stage.IsFinal() || s.recorded && s.verdict == 0 {
		return nil
	}
	if now < s.nextWriteAt {
		return nil
	}
	s.nextWriteAt = now + writeTimeout
	record := &Record{
		Order:     s.order,
		StartedAt: s.startedAt - sinceStore,
		Stage:     s.recordStage(),
		Rejected:  slices.Clone(s.rejected),
	}
	if s.verdict != 0 {
		record.Reason = s.reason
	}
	if s.verdict == StageRolledBack {
		record.Rejected = appendUnique(record.Rejected, s.order.Target)
	}
	return record
}

// recordStage returns the stage that the store's record is to have.
func (s *directorState) recordStage() Stage {
	if s.verdict != 0 {
		return s.verdict
	}
	return StageCanary
}

// currentStage returns the stage, or the verdict that is to be written.
func (s *directorState) currentStage() Stage {
	switch {
	case s.stage.IsFinal():
		return s.stage
	case s.verdict != 0:
		return s.verdict
	case s.shifting:
		return StageShifting
	}
	return StageCanary
}
