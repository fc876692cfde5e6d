package delivery

import (
	"slices"
	"time"
)

// Thresholds and times for changes of the stage.
const (
	// requiredSlotFraction is the fraction of the old workers' slots that the target must have
	// before the shift.
	requiredSlotFraction = 0.7
	// minSlotFraction is the lower limit for services with few workers, of which one may be
	// missing.
	minSlotFraction = 0.5
	// holdShiftScore is the score, without the worst worker's contribution, at which a shift isn't
	// started.
	holdShiftScore = 2.5
	// deadlineRollbackScore is the same score at which a version is rolled back at the deadline.
	deadlineRollbackScore = 3.0
	// shiftPropagation is the time after the start of a shift until all nodes have shifted and the
	// observed loads are newer than the shift.
	shiftPropagation = 600 * time.Millisecond
	// maxEvaluationGap is the time without an evaluation after which the observations are stale.
	maxEvaluationGap = time.Second
	// targetOnlyDelay is how long no old worker must be listed before the delivery completes for
	// that reason.
	targetOnlyDelay = time.Second
)

// workerCounts summarizes the listed workers of a service.
type workerCounts struct {
	target      []Worker
	targetSlots int
	oldSlots    int
	oldInFlight int
	oldListed   int
}

// countWorkers sorts the listed workers by target and old versions. Workers of rejected versions
// count as neither.
func (s *directorState) countWorkers(workers []Worker) workerCounts {
	var counts workerCounts
	for _, worker := range workers {
		switch {
		case worker.Version == s.order.Target:
			if worker.Unreachable {
				continue
			}
			counts.target = append(counts.target, worker)
			counts.targetSlots += worker.Slots
		case slices.Contains(s.rejected, worker.Version):
		default:
			counts.oldListed++
			counts.oldSlots += worker.Slots
			if !worker.Unreachable {
				counts.oldInFlight += worker.InFlight
			}
		}
	}
	return counts
}

// advance performs the next step of the delivery and returns its event.
func (s *directorState) advance(now time.Duration, workers []Worker) Event {
	if s.stage.IsFinal() {
		return s.reportEnd(now)
	}
	counts := s.countWorkers(workers)
	paused := s.evaluatedAt != 0 && now-s.evaluatedAt > maxEvaluationGap
	s.evaluatedAt = now
	if paused && s.verdict != StageRolledBack {
		return s.resume(now, ReasonPaused)
	}
	s.meter.tick(now, s.targetShare)
	s.hasSingleTarget = len(counts.target) == 1
	if event := s.decide(now, counts); event.Name != "" {
		return event
	}
	if s.verdict != 0 {
		return Event{}
	}
	s.updateShares(now, len(counts.target))
	s.chooseCanaries(now, counts.target)
	if event := s.planShift(now, counts); event.Name != "" {
		return event
	}
	if !s.startReported {
		s.startReported = true
		return s.newEvent(now, EventStarted, "")
	}
	return Event{}
}

// reportEnd returns the event of a final stage once.
func (s *directorState) reportEnd(now time.Duration) Event {
	if s.endReported {
		return Event{}
	}
	s.endReported = true
	if s.stage == StageCompleted {
		return s.newEvent(now, EventCompleted, s.reason)
	}
	return s.newEvent(now, EventRolledBack, s.reason)
}

// decide sets the verdict as soon as possible. Evidence overrides a completion that isn't known to
// be stored; the first write to the store wins.
func (s *directorState) decide(now time.Duration, counts workerCounts) Event {
	if s.verdict != StageRolledBack && slices.Contains(s.rejected, s.order.Target) {
		return s.rollBack(now, ReasonPreviouslyRejected)
	}
	if s.verdict != StageRolledBack && s.judge.rejectsTarget() {
		return s.rollBack(now, ReasonBadResponses)
	}
	if s.verdict != 0 {
		return Event{}
	}
	if s.isTargetAlone(now, counts) {
		return s.complete(now, ReasonNoOldWorkers)
	}
	if s.isOldDrained(now, counts) {
		return s.complete(now, ReasonOldWorkersIdle)
	}
	if now < s.schedule.deadline-finishReserve {
		return Event{}
	}
	return s.decideAtDeadline(now, counts)
}

// isTargetAlone reports whether only the target has been listed for targetOnlyDelay.
func (s *directorState) isTargetAlone(now time.Duration, counts workerCounts) bool {
	if counts.oldListed > 0 || len(counts.target) == 0 {
		s.targetOnlySince = 0
		return false
	}
	if s.targetOnlySince == 0 {
		s.targetOnlySince = now
	}
	return now-s.targetOnlySince >= targetOnlyDelay
}

// isOldDrained reports whether the old workers have no requests left after a shift and the target
// is still ready for all of them.
func (s *directorState) isOldDrained(now time.Duration, counts workerCounts) bool {
	return s.shifting && now-s.shiftAt >= shiftPropagation && counts.oldInFlight == 0 &&
		s.isReadyToShift(now, counts)
}

// isReadyToShift reports whether the target has enough slots, reports arrive and the evidence
// against the target is weak.
func (s *directorState) isReadyToShift(now time.Duration, counts workerCounts) bool {
	return hasEnoughSlots(counts) && !s.meter.isMissingReports(now) && s.suspicion() < holdShiftScore
}

// decideAtDeadline sets the verdict at the last moment before the deadline.
func (s *directorState) decideAtDeadline(now time.Duration, counts workerCounts) Event {
	switch {
	case len(counts.target) == 0:
		return s.rollBack(now, ReasonNoWorkers)
	case !hasEnoughSlots(counts):
		return s.rollBack(now, ReasonFewWorkers)
	case s.meter.isMissingReports(now):
		return s.resume(now, ReasonNoEvidence)
	case !s.shifting || s.suspicion() >= deadlineRollbackScore:
		return s.rollBack(now, ReasonUndecided)
	}
	return s.complete(now, ReasonLastMoment)
}

// hasEnoughSlots reports whether the target lists enough slots for the service's load. With few
// workers, one may be missing.
func hasEnoughSlots(counts workerCounts) bool {
	if counts.targetSlots == 0 || counts.oldListed == 0 {
		return counts.targetSlots > 0
	}
	old := float64(counts.oldSlots)
	oneLess := old - old/float64(counts.oldListed)
	needed := max(minSlotFraction*old, min(requiredSlotFraction*old, oneLess))
	return float64(counts.targetSlots) >= needed
}

// suspicion returns the strongest score without its worst worker's contribution.
func (s *directorState) suspicion() float64 {
	strongest, _ := s.judge.strongest()
	if s.hasSingleTarget {
		return strongest.value
	}
	return strongest.value - strongest.workers[strongest.worstWorker()]
}

func (s *directorState) rollBack(now time.Duration, reason string) Event {
	s.verdict = StageRolledBack
	s.reason = reason
	s.shifting = false
	s.shiftAt = 0
	s.nextWriteAt = now
	s.changed = true
	return s.newEvent(now, EventDecided, reason)
}

func (s *directorState) complete(now time.Duration, reason string) Event {
	s.verdict = StageCompleted
	s.reason = reason
	s.shifting = true
	s.nextWriteAt = now
	s.changed = true
	return s.newEvent(now, EventDecided, reason)
}

// planShift announces, holds or starts the shift.
func (s *directorState) planShift(now time.Duration, counts workerCounts) Event {
	if s.shifting {
		return s.checkShift(now, counts)
	}
	begin := s.schedule.deadline - s.schedule.shiftDuration(now, s.meter.traffic(now))
	if s.shiftAt == 0 {
		begin = max(begin, now+2*EvaluationInterval)
	}
	ready := s.isReadyToShift(now, counts)
	switch {
	case !ready && s.shiftAt != 0:
		s.shiftAt = 0
		s.changed = true
		return s.newEvent(now, EventShiftHeld, s.holdReason(now, counts))
	case !ready || now < begin-shiftNotice || begin > s.schedule.deadline-finishReserve:
		return Event{}
	case s.shiftAt == 0:
		s.shiftAt = begin
		s.changed = true
		return s.newEvent(now, EventShiftPlanned, "")
	case now >= s.shiftAt:
		s.shifting = true
		s.changed = true
		return s.newEvent(now, EventShifting, "")
	}
	return Event{}
}

// checkShift ends a shift if too few workers of the target are left.
func (s *directorState) checkShift(now time.Duration, counts workerCounts) Event {
	if hasEnoughSlots(counts) {
		return Event{}
	}
	s.shifting = false
	s.shiftAt = 0
	s.changed = true
	return s.newEvent(now, EventShiftHeld, ReasonFewWorkers)
}

func (s *directorState) holdReason(now time.Duration, counts workerCounts) string {
	switch {
	case !hasEnoughSlots(counts):
		return ReasonFewWorkers
	case s.meter.isMissingReports(now):
		return ReasonNoEvidence
	default:
		return ReasonUndecided
	}
}
