package delivery

import (
	"time"
)

// Reasons of verdicts and events.
const (
	ReasonBadResponses       = "bad_answers"
	ReasonNoWorkers          = "no_workers"
	ReasonFewWorkers         = "too_few_workers"
	ReasonUndecided          = "undecided"
	ReasonPreviouslyRejected = "condemned_before"
	ReasonUnknownService     = "unknown_service"
	ReasonOldWorkersIdle     = "old_workers_idle"
	ReasonLastMoment         = "last_moment"
	ReasonNoOldWorkers       = "no_old_workers"
	ReasonPaused             = "paused"
	ReasonNoEvidence         = "no_evidence"
	ReasonStoreRestored      = "store_restored"
)

// Names of events.
const (
	EventStarted      = "delivery_started"
	EventRefused      = "delivery_refused"
	EventShiftPlanned = "delivery_shift_planned"
	EventShiftHeld    = "delivery_shift_held"
	EventExtended     = "delivery_extended"
	EventShifting     = "delivery_shifting"
	EventDecided      = "delivery_decided"
	EventCompleted    = "delivery_completed"
	EventRolledBack   = "delivery_rolled_back"
)

// newEvent returns a log event with the response counts behind it.
func (s *directorState) newEvent(now time.Duration, name, reason string) Event {
	score, route := s.judge.strongest()
	event := Event{
		Name:      name,
		Service:   s.order.Service,
		Target:    s.order.Target,
		Stage:     s.currentStage(),
		Reason:    reason,
		Route:     route,
		Worker:    score.worstWorker(),
		Score:     score.value,
		Threshold: rejectScore,
		Elapsed:   now - s.startedAt,
		Remaining: s.schedule.deadline - now,
	}
	for candidate, judged := range s.judge.routes {
		if route == "" || candidate == route {
			event.NewResponses += judged.newResponses
			event.NewBad += judged.newBad
			event.OldResponses += judged.oldResponses
			event.OldBad += judged.oldBad
		}
	}
	return event
}
