package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Bounds on tries that don't count as runs.
const (
	// maxUnreachable bounds the workers that could not be reached for one request.
	maxUnreachable = 4
	// maxRejections bounds the workers that turned one request away unrun.
	maxRejections = 3
	// minTimeLeft is the time left below which no other worker is tried.
	minTimeLeft = 15 * time.Millisecond
	// maxThrottled bounds the sends of one request that were not made since the worker had no
	// room.
	maxThrottled = 8
)

// ForwardingPolicy says what may be done for one opaque request.
type ForwardingPolicy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may go on at another worker behind the last event.
	Resumable bool
	// RetryFailures has an idempotent request tried elsewhere when a worker
	// answers that it failed.
	RetryFailures bool
	// MaxRuns bounds the workers at which the request may have run; at least 1.
	MaxRuns int
	// Deadline is when the final answer is due, on the caller's clock.
	Deadline time.Duration
	// RetryAfter is what a caller is told whose request did not run.
	RetryAfter time.Duration
}

// Forwarding decides how one request is carried whose body and answer are
// opaque: whether a failed try is followed by another, and what the caller is
// told. It has no I/O and no clock, and isn't safe for concurrent use.
//
// A run whose memory has been copied to another engine can go on there when its own
// engine is lost: that is the same run, whatever the request's kind.
//
// It holds three guarantees. A request that isn't idempotent is sent again only
// if every earlier send certainly did not run. A failure whose code says "not
// run" is given only if no send may have run. Once an answer has begun to go to
// the caller nothing is tried again but the rest of a stream, if it is resumable or goes
// on from a copy.
type Forwarding struct {
	policy ForwardingPolicy
	budget RetryBudget

	excluded    []fleet.EngineRun
	sends       int
	unreachable int
	rejections  int
	throttled   int
	// possibleRuns counts the sends that may have run.
	possibleRuns int
	delivering   bool
	// continuing is set while a send goes to the engine that holds a copy of the run.
	continuing bool
}

// NewForwarding returns the machine of a new request and notes the request in
// the budget of retries.
func NewForwarding(now time.Duration, policy ForwardingPolicy, budget RetryBudget) *Forwarding {
	policy.MaxRuns = max(policy.MaxRuns, 1)
	budget.Deposit(now)
	return &Forwarding{policy: policy, budget: budget}
}

// Excluded lists the runs that failed this request.
func (f *Forwarding) Excluded() []fleet.EngineRun { return f.excluded }

// Sends counts the sends so far.
func (f *Forwarding) Sends() int { return f.sends }

// MayHaveRun tells whether any send may have run.
func (f *Forwarding) MayHaveRun() bool { return f.possibleRuns > 0 }

// StepKind tells what is to be done next.
type StepKind int

// Kinds of steps.
const (
	// StepSend asks for a worker outside Excluded and a send to it.
	StepSend StepKind = iota
	// StepContinue asks for a send to the engine that holds a copy of the run.
	StepContinue
	// StepDeliver passes the answer on.
	StepDeliver
	// StepFail ends the request with a failure of the system's own.
	StepFail
	// StepAbort breaks the answer off that is being passed on, so that the
	// caller can't take it for complete.
	StepAbort
)

// Step is what is to be done next.
type Step struct {
	Kind StepKind
	// Code, Reason and RetryAfter belong to StepFail.
	Code       resultcode.Code
	Reason     string
	RetryAfter time.Duration
}

// NotSent takes in that no byte of a send left this side.
func (f *Forwarding) NotSent(now time.Duration, run fleet.EngineRun) Step {
	f.exclude(run)
	if f.continuing {
		return f.continuationFailed(now)
	}
	f.unreachable++
	if f.unreachable > maxUnreachable {
		return f.fail(resultcode.NoEngine, "workers unreachable")
	}
	return f.retry(now, false)
}

// Throttled takes in that a send wasn't made since the worker has no room, and when it has
// again. Another worker is chosen, or the same one once it has room.
func (f *Forwarding) Throttled(now time.Duration, opensIn time.Duration) Step {
	if f.continuing {
		return f.continuationFailed(now)
	}
	f.throttled++
	if f.throttled > maxThrottled {
		return f.NoWorker("workers at their limits", opensIn)
	}
	return f.retry(now, false)
}

// Rejected takes in a worker's word that it didn't run the request.
func (f *Forwarding) Rejected(now time.Duration, run fleet.EngineRun) Step {
	f.exclude(run)
	f.sends++
	if f.continuing {
		return f.continuationFailed(now)
	}
	f.rejections++
	if f.rejections > maxRejections {
		return f.fail(resultcode.Overloaded, "workers full")
	}
	return f.retry(now, true)
}

// Unanswered takes in that a send got no answer, or none of its own: the worker
// may have run it.
func (f *Forwarding) Unanswered(now time.Duration, run fleet.EngineRun) Step {
	f.exclude(run)
	f.sends++
	if f.continuing {
		return f.continuationFailed(now)
	}
	f.possibleRuns++
	return f.afterPossibleRun(now)
}

// Answered takes in a worker's own answer. failed is set for a failure of the
// worker.
func (f *Forwarding) Answered(now time.Duration, run fleet.EngineRun, failed bool) Step {
	f.sends++
	if f.continuing {
		f.continuing = false
		return Step{Kind: StepDeliver}
	}
	f.possibleRuns++
	if failed && f.policy.RetryFailures && f.policy.Idempotent && !f.delivering && f.hasRunsLeft() &&
		f.hasTimeLeft(now) && f.budget.Withdraw(now) {
		f.exclude(run)
		return Step{Kind: StepSend}
	}
	return Step{Kind: StepDeliver}
}

// DeliveryStarted notes that the caller has got the beginning of an answer.
func (f *Forwarding) DeliveryStarted() { f.delivering = true }

// Truncated takes in that an answer ended before its end, after Answered. copied tells
// whether another engine may hold a copy of the run.
func (f *Forwarding) Truncated(now time.Duration, run fleet.EngineRun, copied bool) Step {
	f.exclude(run)
	if !f.delivering {
		return f.afterPossibleRun(now)
	}
	if copied && f.hasTimeLeft(now) && f.budget.Withdraw(now) {
		f.continuing = true
		return Step{Kind: StepContinue}
	}
	return f.resume(now)
}

// continuationFailed takes in that the engine that should hold a copy of the run doesn't go on
// with it.
func (f *Forwarding) continuationFailed(now time.Duration) Step {
	f.continuing = false
	return f.resume(now)
}

// resume has the rest of a resumable stream run anew.
func (f *Forwarding) resume(now time.Duration) Step {
	if !f.policy.Resumable || !f.hasRunsLeft() || !f.hasTimeLeft(now) || !f.budget.Withdraw(now) {
		return Step{Kind: StepAbort}
	}
	return Step{Kind: StepSend}
}

// NoWorker takes in that no worker can be chosen. reason tells why, and retryAfter
// when there is room; 0 if that isn't known.
func (f *Forwarding) NoWorker(reason string, retryAfter time.Duration) Step {
	step := f.fail(resultcode.NoEngine, reason)
	if step.Code == resultcode.NoEngine {
		step.RetryAfter = max(step.RetryAfter, retryAfter)
	}
	return step
}

// Denied takes in that the request must not go to a worker any more, for a reason of its own,
// and when it may be tried again.
func (f *Forwarding) Denied(code resultcode.Code, reason string, retryAfter time.Duration) Step {
	step := f.fail(code, reason)
	if step.Code == code {
		step.RetryAfter = max(step.RetryAfter, retryAfter)
	}
	return step
}

// Expired takes in that the time for a final answer is over.
func (f *Forwarding) Expired() Step {
	if f.delivering {
		return Step{Kind: StepAbort}
	}
	if f.possibleRuns > 0 {
		return Step{Kind: StepFail, Code: resultcode.DeadlineExceeded, Reason: "no answer in time"}
	}
	return f.fail(resultcode.DeadlineTooShort, "not begun in time")
}

// TimedOut takes in that a send was broken off by this side at its deadline.
func (f *Forwarding) TimedOut() Step {
	f.sends++
	f.possibleRuns++
	return f.Expired()
}

// afterPossibleRun decides after a send that may have run.
func (f *Forwarding) afterPossibleRun(now time.Duration) Step {
	switch {
	case f.delivering:
		return f.resume(now)
	case !f.policy.Idempotent:
		return Step{Kind: StepFail, Code: resultcode.OutcomeUnknown, Reason: "the worker may have run it"}
	case !f.hasRunsLeft():
		return Step{Kind: StepFail, Code: resultcode.EngineFailed, Reason: "no more workers allowed"}
	default:
		return f.retry(now, true)
	}
}

// retry tries another worker if time and, for a send, the budget allow it.
func (f *Forwarding) retry(now time.Duration, spend bool) Step {
	if !f.hasTimeLeft(now) {
		return f.Expired()
	}
	if spend && !f.budget.Withdraw(now) {
		return f.fail(resultcode.RetryBudget, "retry budget spent")
	}
	return Step{Kind: StepSend}
}

// fail ends a request that can't be placed.
func (f *Forwarding) fail(code resultcode.Code, reason string) Step {
	switch {
	case f.delivering:
		return Step{Kind: StepAbort}
	case f.possibleRuns > 0:
		return Step{Kind: StepFail, Code: resultcode.EngineFailed, Reason: reason}
	default:
		return Step{Kind: StepFail, Code: code, Reason: reason, RetryAfter: f.policy.RetryAfter}
	}
}

func (f *Forwarding) hasRunsLeft() bool { return f.possibleRuns < f.policy.MaxRuns }

func (f *Forwarding) hasTimeLeft(now time.Duration) bool { return now+minTimeLeft < f.policy.Deadline }

func (f *Forwarding) exclude(run fleet.EngineRun) {
	if run != (fleet.EngineRun{}) {
		f.excluded = append(f.excluded, run)
	}
}
