package delivery

import (
	"slices"
	"time"
)

// When a stage is begun or ended.
const (
	// neededSlots is the part of the old side's slots that the target must list before
	// everything is sent there.
	neededSlots = 0.7
	// leastSlots is the same where a single worker makes up more than the rest.
	leastSlots = 0.5
	// suspiciousScore is the score, without the worst worker's part, from which a shift
	// isn't begun.
	suspiciousScore = 2.5
	// undecidedScore is the same from which a version is rolled back at the deadline.
	undecidedScore = 3.0
	// settledShift is the time after a shift from which an idle old side counts: all
	// nodes have heard of it, and loads are newer than it.
	settledShift = 600 * time.Millisecond
	// longestPause is the time without a look after which what was known is out of date.
	longestPause = time.Second
	// noOldSettles is the time for which no old worker must have been listed before
	// a delivery ends for want of them.
	noOldSettles = time.Second
)

// workforce is what is listed of a service.
type workforce struct {
	target      []TargetWorker
	targetSlots int
	oldSlots    int
	oldInFlight int
	oldListed   int
}

// count sorts the listed workers into sides. Workers of condemned versions are on none.
func (s *directed) count(workers []TargetWorker) workforce {
	var counted workforce
	for _, worker := range workers {
		switch {
		case worker.Version == s.order.Target:
			if worker.Doubtful {
				continue
			}
			counted.target = append(counted.target, worker)
			counted.targetSlots += worker.Slots
		case slices.Contains(s.condemned, worker.Version):
		default:
			counted.oldListed++
			counted.oldSlots += worker.Slots
			if !worker.Doubtful {
				counted.oldInFlight += worker.InFlight
			}
		}
	}
	return counted
}

// advance does what is due and tells of it.
func (s *directed) advance(now time.Duration, workers []TargetWorker) Event {
	if s.stage.Final() {
		return s.tellEnd(now)
	}
	counted := s.count(workers)
	paused := s.lookedAt != 0 && now-s.lookedAt > longestPause
	s.lookedAt = now
	if paused && s.verdict != StageRolledBack {
		return s.resume(now, ReasonPaused)
	}
	s.meter.tick(now, s.asked)
	s.onlyOne = len(counted.target) == 1
	if event := s.decide(now, counted); event.Name != "" {
		return event
	}
	if s.verdict != 0 {
		return Event{}
	}
	s.setShares(now, len(counted.target))
	s.chooseCanaries(now, counted.target)
	if event := s.planShift(now, counted); event.Name != "" {
		return event
	}
	if !s.started {
		s.started = true
		return s.event(now, EventStarted, "")
	}
	return Event{}
}

// tellEnd returns the event of a final state, once.
func (s *directed) tellEnd(now time.Duration) Event {
	if s.toldEnd {
		return Event{}
	}
	s.toldEnd = true
	if s.stage == StageCompleted {
		return s.event(now, EventCompleted, s.reason)
	}
	return s.event(now, EventRolledBack, s.reason)
}

// decide sets the verdict once there is one. A completion that isn't known to be
// written gives way to evidence: the store decides which write was first.
func (s *directed) decide(now time.Duration, counted workforce) Event {
	if s.verdict != StageRolledBack && slices.Contains(s.condemned, s.order.Target) {
		return s.rollBack(now, ReasonCondemned)
	}
	if s.verdict != StageRolledBack && s.judge.condemns() {
		return s.rollBack(now, ReasonBad)
	}
	if s.verdict != 0 {
		return Event{}
	}
	if s.alone(now, counted) {
		return s.complete(now, ReasonNoOld)
	}
	if s.idle(now, counted) {
		return s.complete(now, ReasonIdle)
	}
	if now < s.schedule.deadline-finishReserve {
		return Event{}
	}
	return s.decideLast(now, counted)
}

// alone tells whether only the target has been listed for a while.
func (s *directed) alone(now time.Duration, counted workforce) bool {
	if counted.oldListed > 0 || len(counted.target) == 0 {
		s.noOldFrom = 0
		return false
	}
	if s.noOldFrom == 0 {
		s.noOldFrom = now
	}
	return now-s.noOldFrom >= noOldSettles
}

// idle tells whether the old side has ended its runs after a shift.
func (s *directed) idle(now time.Duration, counted workforce) bool {
	return s.shifting && now-s.shiftAt >= settledShift && counted.oldInFlight == 0 &&
		s.ready(now, counted)
}

// ready tells whether nothing speaks against sending everything to the target.
func (s *directed) ready(now time.Duration, counted workforce) bool {
	return enough(counted) && !s.meter.silent(now) && s.suspicion() < suspiciousScore
}

// decideLast decides at the last moment before the deadline.
func (s *directed) decideLast(now time.Duration, counted workforce) Event {
	switch {
	case len(counted.target) == 0:
		return s.rollBack(now, ReasonNoWorkers)
	case !enough(counted):
		return s.rollBack(now, ReasonFewWorkers)
	case s.meter.silent(now):
		return s.resume(now, ReasonNoEvidence)
	case !s.shifting || s.suspicion() >= undecidedScore:
		return s.rollBack(now, ReasonUndecided)
	}
	return s.complete(now, ReasonLastMoment)
}

// enough tells whether the target lists the slots that the service needs. Of few workers
// one may be missing.
func enough(counted workforce) bool {
	if counted.targetSlots == 0 || counted.oldListed == 0 {
		return counted.targetSlots > 0
	}
	old := float64(counted.oldSlots)
	oneLess := old - old/float64(counted.oldListed)
	needed := max(leastSlots*old, min(neededSlots*old, oneLess))
	return float64(counted.targetSlots) >= needed
}

// suspicion returns the strongest score without its worst worker's part.
func (s *directed) suspicion() float64 {
	strongest, _ := s.judge.strongest()
	if s.onlyOne {
		return strongest.value
	}
	return strongest.value - strongest.workers[strongest.worst()]
}

func (s *directed) rollBack(now time.Duration, reason string) Event {
	s.verdict = StageRolledBack
	s.reason = reason
	s.shifting = false
	s.shiftAt = 0
	s.retryAt = now
	s.changed = true
	return s.event(now, EventDecided, reason)
}

func (s *directed) complete(now time.Duration, reason string) Event {
	s.verdict = StageCompleted
	s.reason = reason
	s.shifting = true
	s.retryAt = now
	s.changed = true
	return s.event(now, EventDecided, reason)
}

// planShift announces the shift, takes it back, or begins it.
func (s *directed) planShift(now time.Duration, counted workforce) Event {
	if s.shifting {
		return s.keepShift(now, counted)
	}
	begin := s.schedule.deadline - s.schedule.shift(now, s.meter.traffic(now))
	if s.shiftAt == 0 {
		begin = max(begin, now+2*LookInterval)
	}
	ready := s.ready(now, counted)
	switch {
	case !ready && s.shiftAt != 0:
		s.shiftAt = 0
		s.changed = true
		return s.event(now, EventHeld, s.holdReason(now, counted))
	case !ready || now < begin-shiftNotice || begin > s.schedule.deadline-finishReserve:
		return Event{}
	case s.shiftAt == 0:
		s.shiftAt = begin
		s.changed = true
		return s.event(now, EventAnnounced, "")
	case now >= s.shiftAt:
		s.shifting = true
		s.changed = true
		return s.event(now, EventShifting, "")
	}
	return Event{}
}

// keepShift ends a shift for which too few workers are left.
func (s *directed) keepShift(now time.Duration, counted workforce) Event {
	if enough(counted) {
		return Event{}
	}
	s.shifting = false
	s.shiftAt = 0
	s.changed = true
	return s.event(now, EventHeld, ReasonFewWorkers)
}

func (s *directed) holdReason(now time.Duration, counted workforce) string {
	switch {
	case !enough(counted):
		return ReasonFewWorkers
	case s.meter.silent(now):
		return ReasonNoEvidence
	default:
		return ReasonUndecided
	}
}
