package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// CanRepeat reports whether the next send may be abandoned without an answer and sent again to
// another worker.
func (f *Forwarding) CanRepeat() bool {
	if f.continuing || f.possibleRuns+1 >= f.policy.MaxRuns {
		return false
	}
	if f.delivering {
		return f.policy.Resumable
	}
	return f.policy.Idempotent
}

// CanResume reports whether the stream that the next send brings may be broken off and continued by
// another run.
func (f *Forwarding) CanResume() bool {
	return f.policy.Resumable && f.possibleRuns+1 < f.policy.MaxRuns
}

// CanReturn reports whether a stream that was to continue elsewhere may go on at its engine after all: it may
// run more than once, or no other engine can have continued it.
func (f *Forwarding) CanReturn() bool { return f.policy.Resumable || !f.maybeContinued }

// CanMoveAgain reports whether a stream that returned to its engine may continue elsewhere later: by another run, or
// from its copy unless the engine that should hold it has refused.
func (f *Forwarding) CanMoveAgain() bool {
	if f.policy.Resumable {
		return f.hasRunsLeft()
	}
	return !f.copyRefused
}

// CalledOff records that a send to a run is given up, since the stream goes on at its engine. sent is set if the
// run may have begun.
func (f *Forwarding) CalledOff(run fleet.EngineRun, sent bool) Step {
	if sent {
		f.exclude(run)
		f.sends++
		f.maybeContinued = f.maybeContinued || f.continuing
		if !f.continuing {
			f.possibleRuns++
		}
	}
	f.continuing = false
	return Step{Kind: StepAbort}
}

// CanBreakOff reports whether the answer of the current send may be broken off and the request sent again, or its
// stream continued, if the retry budget allows.
func (f *Forwarding) CanBreakOff() bool {
	if f.delivering {
		return f.policy.Resumable && f.hasRunsLeft()
	}
	return f.CanRepeat()
}

// PrepayRetry records that the next retry has already been withdrawn from the budget.
func (f *Forwarding) PrepayRetry() { f.prepaid = true }

// withdraw takes a retry from the budget unless it is prepaid.
func (f *Forwarding) withdraw(now time.Duration) bool {
	if f.prepaid {
		f.prepaid = false
		return true
	}
	return f.budget.Withdraw(now)
}
