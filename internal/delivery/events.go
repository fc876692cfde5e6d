package delivery

import (
	"time"
)

// Reasons of verdicts and of steps.
const (
	ReasonBad            = "bad_answers"
	ReasonNoWorkers      = "no_workers"
	ReasonFewWorkers     = "too_few_workers"
	ReasonUndecided      = "undecided"
	ReasonCondemned      = "condemned_before"
	ReasonUnknownService = "unknown_service"
	ReasonIdle           = "old_workers_idle"
	ReasonLastMoment     = "last_moment"
	ReasonNoOld          = "no_old_workers"
	ReasonPaused         = "paused"
	ReasonNoEvidence     = "no_evidence"
)

// Names of events.
const (
	EventStarted    = "delivery_started"
	EventRefused    = "delivery_refused"
	EventAnnounced  = "delivery_shift_planned"
	EventHeld       = "delivery_shift_held"
	EventExtended   = "delivery_extended"
	EventShifting   = "delivery_shifting"
	EventDecided    = "delivery_decided"
	EventCompleted  = "delivery_completed"
	EventRolledBack = "delivery_rolled_back"
)

// event returns a line for the log with the counts behind it.
func (s *directed) event(now time.Duration, name, reason string) Event {
	score, route := s.judge.strongest()
	event := Event{
		Name:    name,
		Service: s.order.Service,
		Target:  s.order.Target,
		Stage:   s.currentStage(),
		Reason:  reason,
		Route:   route,
		Worker:  score.worst(),
		Score:   score.value,
		Bound:   condemnScore,
		Elapsed: now - s.start,
		Left:    s.schedule.deadline - now,
	}
	for candidate, judged := range s.judge.routes {
		if route == "" || candidate == route {
			event.NewAnswers += judged.newAnswers
			event.NewBad += judged.newBad
			event.OldAnswers += judged.oldAnswers
			event.OldBad += judged.oldBad
		}
	}
	return event
}
