package delivery

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Times of writes to the store.
const (
	// writeRetry is the time between two tries of a write, writeTimeout that after which
	// a write without an answer is tried again.
	writeRetry   = 300 * time.Millisecond
	writeTimeout = 3 * time.Second
)

// directed is a director's state of one order.
type directed struct {
	self      fleet.NodeID
	order     Order
	start     time.Duration
	schedule  schedule
	stage     Stage
	reason    string
	condemned []fleet.SoftwareVersion
	meter     meter
	judge     *judge

	// verdict is the final stage that was decided but isn't written yet, 0 before.
	verdict Stage
	// recorded is set once the store holds a record of the order.
	recorded bool
	// retryAt is when a record may be written, again after a try that failed.
	retryAt time.Duration
	// settled is when the final stage was known to be written.
	settled time.Duration

	// The rest is what the last directive asks for.
	sequence  uint64
	changed   bool
	shares    map[RouteName]float64
	share     float64
	sharesAt  time.Duration
	shiftAt   time.Duration
	shifting  bool
	canaries  []fleet.EngineID
	suspected map[fleet.EngineID]bool
	noOldFrom time.Duration
	refused   bool
	started   bool
	toldEnd   bool
	lookedAt  time.Duration
	// onlyOne is set while the target lists a single worker.
	onlyOne bool
}

// extend gives an order whose deadline is past, or close, the time that a delivery
// needs. A shift can't be squeezed into less without more exposure.
func (s *directed) extend(now time.Duration) {
	early := now <= s.schedule.deadline-shortestRest || now-s.schedule.start < shortestRest
	if early && now < s.schedule.deadline {
		return
	}
	s.schedule.start = now
	s.schedule.deadline = now + shortestLate
}

// resume goes on after a pause in which nothing was seen or could be decided. A shift has
// lapsed everywhere by then; a completion may have been written, the store will tell.
func (s *directed) resume(now time.Duration, reason string) Event {
	if s.verdict == StageCompleted {
		s.verdict = 0
		s.reason = ""
		s.retryAt = now
	}
	s.shifting = false
	s.shiftAt = 0
	s.changed = true
	s.extend(now)
	return s.event(now, EventExtended, reason)
}

// restart goes by another start of the same order.
func (s *directed) restart(now, start time.Duration) {
	s.start = start
	s.schedule.start = start
	s.schedule.deadline = start + s.order.Duration
	s.extend(now)
}

// inherit takes over from the record of an older order what became of it.
func (s *directed) inherit(found Record) {
	for _, version := range found.Condemned {
		s.condemned = include(s.condemned, version)
	}
	if found.Stage == StageCompleted {
		s.condemned = slices.DeleteFunc(s.condemned, func(version fleet.SoftwareVersion) bool {
			return version == found.Order.Target
		})
	}
	s.changed = true
}

// settle takes in a final record. at is when it became known.
func (s *directed) settle(record Record, at time.Duration) {
	s.stage = record.Stage
	s.reason = record.Reason
	s.settled = at
	s.recorded = true
	s.condemned = slices.Clone(record.Condemned)
	if s.stage == StageRolledBack {
		s.condemned = include(s.condemned, s.order.Target)
	}
	s.changed = true
}

// refuse answers an order for a service that the configuration doesn't hold.
func (s *directed) refuse(now time.Duration) Step {
	if s.refused {
		return Step{}
	}
	s.refused = true
	return Step{Event: s.event(now, EventRefused, ReasonUnknownService)}
}

func (s *directed) situation(now time.Duration) situation {
	return situation{now: now, single: !s.shifting && len(s.canaries) == 1, surging: s.shifting}
}

// directive returns what is asked of all nodes now. storeNow numbers changes across
// directors: it only grows, and is one clock for all of them.
func (s *directed) directive(now, storeNow time.Duration) *Directive {
	if s.changed {
		s.changed = false
		s.sequence = max(s.sequence+1, uint64(max(0, storeNow.Microseconds())))
	}
	issued := &Directive{
		Service:   s.order.Service,
		Target:    s.order.Target,
		Revision:  s.order.Revision,
		Sequence:  s.sequence,
		Stage:     StageCanary,
		Issuer:    s.self,
		IssuedAt:  now,
		Condemned: slices.Clone(s.condemned),
	}
	switch {
	case s.stage.Final():
		issued.Stage = s.stage
		issued.IssuedAt = s.settled
	case s.shifting:
		issued.Stage = StageShifting
		issued.DefaultShare = 1
	case s.verdict == 0 && s.canariesReady(now):
		issued.Shares = s.shares
		issued.DefaultShare = s.share
		issued.Canaries = slices.Clone(s.canaries)
		issued.ShiftAt = s.shiftAt
	}
	return issued
}

// write returns the record that the store lacks: that the order has begun, or its end.
func (s *directed) write(now, sinceStore time.Duration) *Record {
	if s.stage.Final() || s.recorded && s.verdict == 0 {
		return nil
	}
	if now < s.retryAt {
		return nil
	}
	s.retryAt = now + writeTimeout
	record := &Record{
		Order:     s.order,
		StartedAt: s.start - sinceStore,
		Stage:     s.wantedStage(),
		Condemned: slices.Clone(s.condemned),
	}
	if s.verdict != 0 {
		record.Reason = s.reason
	}
	if s.verdict == StageRolledBack {
		record.Condemned = include(record.Condemned, s.order.Target)
	}
	return record
}

// wantedStage returns the stage that the store's record is to have.
func (s *directed) wantedStage() Stage {
	if s.verdict != 0 {
		return s.verdict
	}
	return StageCanary
}

// currentStage returns the stage, or the verdict that is to be written.
func (s *directed) currentStage() Stage {
	switch {
	case s.stage.Final():
		return s.stage
	case s.verdict != 0:
		return s.verdict
	case s.shifting:
		return StageShifting
	}
	return StageCanary
}
