package delivery

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// writeRetryInterval is the delay after a failed write, writeTimeout the time after which a
	// write without a result is retried.
	writeRetryInterval = 300 * time.Millisecond
	writeTimeout       = 3 * time.Second
)

// directorState is the director's state of one order.
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

	// verdict is the final stage that is decided but not stored yet; 0 before the decision.
	verdict Stage
	// recorded is set once the store holds a record of the order.
	recorded bool
	// nextWriteAt is the earliest time of the next write.
	nextWriteAt time.Duration
	// finalAt is when the final stage was known to be stored.
	finalAt time.Duration

	// The following fields hold the state of the last directive and of event reporting.
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
	// hasSingleTarget is set while a single reachable worker of the target is listed.
	hasSingleTarget bool
}

// extend restarts the schedule of an order whose deadline has passed or is too close for a shift. A
// shorter shift would need more exposure.
func (s *directorState) extend(now time.Duration) {
	early := now <= s.schedule.deadline-minRemaining || now-s.schedule.start < minRemaining
	if early && now < s.schedule.deadline {
		return
	}
	s.schedule.start = now
	s.schedule.deadline = now + extendedDuration
}

// resume continues after a time without evaluations or evidence. By then a shift has expired on all
// nodes. A completion that isn't known to be stored is withdrawn. If it was stored, the next write
// finds it.
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

// restart reschedules the order from another start time.
func (s *directorState) restart(now, start time.Duration) {
	s.startedAt = start
	s.schedule.start = start
	s.schedule.deadline = start + s.order.Duration
	s.extend(now)
}

// mergeOlderRecord applies the outcome of an older order of the service.
func (s *directorState) mergeOlderRecord(stored Record) {
	for _, version := range stored.Rejected {
		s.rejected = appendUnique(s.rejected, version)
	}
	if stored.Stage == StageCompleted {
		s.rejected = slices.DeleteFunc(s.rejected, func(version fleet.SoftwareVersion) bool {
			return version == stored.Order.Target
		})
	}
	s.changed = true
}

// finish applies a final record. at is when it became known.
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

// refuse reports once that the order's service isn't in the configuration.
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

// directive returns the current directive. storeNow is the store's monotonic clock, from which
// sequence numbers are derived, so that they increase across directors.
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

// pendingRecord returns the record that is to be stored: the start of the delivery or its end. It
// returns nil if there is none or a write is under way.
func (s *directorState) pendingRecord(now, storeOffset time.Duration) *Record {
	if s.recorded && (s.stage.IsFinal() || s.verdict == 0) {
		return nil
	}
	if now < s.nextWriteAt {
		return nil
	}
	s.nextWriteAt = now + writeTimeout
	record := &Record{
		Order:     s.order,
		StartedAt: s.startedAt - storeOffset,
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

// recordStage returns the stage for the stored record.
func (s *directorState) recordStage() Stage {
	if s.verdict != 0 {
		return s.verdict
	}
	return StageCanary
}

// currentStage returns the stage, including a verdict that isn't stored yet.
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
