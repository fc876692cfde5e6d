package attempt

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Limits of attempts that do not count as runs.
const (
	// minUnreachable is the number of workers that cannot be reached after which a request tries others
	// only while they cost it little, and maxUnreachable the limit. With half of the workers gone unnoticed,
	// one request of 30 meets more than the first and one of 10^5 more than the second.
	minUnreachable = 4
	maxUnreachable = 16
	// unreachableTime is the time, since the first worker that cannot be reached, from which no more than
	// minUnreachable are tried. It is that of minUnreachable connections that hang.
	unreachableTime = 2 * time.Second
	// maxRejections limits the workers that reject a request without running it.
	maxRejections = 3
	// minTimeLeft is the time before the deadline below which no further attempt is made.
	minTimeLeft = 15 * time.Millisecond
	// maxThrottled limits the sends of a request that are withheld because the worker is at its limit.
	maxThrottled = 8
)

// ForwardingPolicy holds the rules for retrying an opaque request.
type ForwardingPolicy struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// Resumable streams may continue on another worker after the last event.
	Resumable bool
	// RetryFailures allows an idempotent request to be retried on another worker after a worker's
	// error response.
	RetryFailures bool
	// MaxRuns limits the workers on which the request may have run; at least 1.
	MaxRuns int
	// Deadline is the time by which the final answer is due, on the clock of the calls.
	Deadline time.Duration
	// RetryAfter is the Retry-After for a caller whose request did not run.
	RetryAfter time.Duration
}

// Forwarding is the state machine of a request whose body and answer are opaque: it decides whether
// a failed attempt is retried and which result the caller gets. It has no I/O and no clock, and is
// not safe for concurrent use.
//
// A run whose state has been copied to another engine can continue there when its own engine is
// lost. That counts as the same run, whether or not the request is idempotent.
//
// The machine guarantees that a request that is not idempotent is sent again only if no earlier
// send can have run; that a failure whose code says "not run" is returned only if no send can have
// run; and that nothing is retried once delivery to the caller has started, except the rest of a
// stream that is resumable or continues from a copy.
type Forwarding struct {
	policy ForwardingPolicy
	budget RetryBudget

	excluded    []fleet.EngineRun
	sends       int
	unreachable int
	// avoided counts those of the unreachable workers that were avoided, firstUnreachableAt is when the
	// first of all was found.
	avoided            int
	firstUnreachableAt time.Duration
	rejections         int
	throttled          int
	// possibleRuns counts the sends that may have run.
	possibleRuns int
	delivering   bool
	// continuing is set while a send goes to the engine that holds a copy of the run.
	continuing bool
	// maybeContinued is set once a copy may have been continued by a send that brought no valid answer.
	maybeContinued bool
	// copyRefused is set once the engine that should hold a copy has refused to continue the run.
	copyRefused bool
	// prepaid is set if the next retry is already withdrawn from the budget.
	prepaid bool
}

// NewForwarding returns the machine of a new request and deposits the request in the retry budget.
func NewForwarding(now time.Duration, policy ForwardingPolicy, budget RetryBudget) *Forwarding {
	policy.MaxRuns = max(policy.MaxRuns, 1)
	budget.Deposit(now)
	return &Forwarding{policy: policy, budget: budget}
}

// Excluded returns the worker runs that must not be chosen again for this request.
func (f *Forwarding) Excluded() []fleet.EngineRun { return f.excluded }

// Sends returns the number of sends so far.
func (f *Forwarding) Sends() int { return f.sends }

// MayHaveRun reports whether any send may have run.
func (f *Forwarding) MayHaveRun() bool { return f.possibleRuns > 0 }

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps.
const (
	// StepSend chooses a worker that is not in Excluded and sends the request to it.
	StepSend StepKind = iota
	// StepContinue sends the request to the engine that holds a copy of the run.
	StepContinue
	// StepDeliver passes the answer to the caller.
	StepDeliver
	// StepFail ends the request with an error of the router.
	StepFail
	// StepAbort ends the answer in delivery so that the caller cannot mistake it for a complete one.
	StepAbort
)

// Step is the next thing to do.
type Step struct {
	Kind StepKind
	// Code, Reason and RetryAfter are set for StepFail only.
	Code       resultcode.Code
	Reason     string
	RetryAfter time.Duration
}

// NotSent records that no byte of a send was written. However many workers have just ended, which are avoided
// as soon as one request has found them, others may be reachable.
func (f *Forwarding) NotSent(now time.Duration, run fleet.EngineRun) Step {
	f.exclude(run)
	if f.continuing {
		return f.continuationFailed(now)
	}
	if f.unreachable == 0 {
		f.firstUnreachableAt = now
	}
	f.unreachable++
	if f.isUnreachable(now) {
		return f.fail(resultcode.NoEngine, "workers unreachable")
	}
	return f.retry(now, false)
}

// AvoidedNotSent is NotSent for a worker that was chosen although it was avoided, since all were. That it can't
// be reached is no news, and the others can hardly be.
func (f *Forwarding) AvoidedNotSent(now time.Duration, run fleet.EngineRun) Step {
	f.avoided++
	return f.NotSent(now, run)
}

// isUnreachable reports whether no further worker is tried after those that could not be reached.
func (f *Forwarding) isUnreachable(now time.Duration) bool {
	if f.unreachable <= minUnreachable {
		return false
	}
	return f.unreachable > maxUnreachable || f.avoided > minUnreachable || now >= f.firstUnreachableAt+unreachableTime
}

// Throttled records that a send was withheld because the worker is at its limit. retryAfter is the
// time until the worker may have capacity; the same worker may be chosen again.
func (f *Forwarding) Throttled(now time.Duration, retryAfter time.Duration) Step {
	if f.continuing {
		return f.continuationFailed(now)
	}
	f.throttled++
	if f.throttled > maxThrottled {
		return f.NoWorker("workers at their limits", retryAfter)
	}
	return f.retry(now, false)
}

// Rejected records that a worker rejected the request without running it.
func (f *Forwarding) Rejected(now time.Duration, run fleet.EngineRun) Step {
	f.exclude(run)
	f.sends++
	if f.continuing {
		f.copyRefused = true
		return f.continuationFailed(now)
	}
	f.rejections++
	if f.rejections > maxRejections {
		return f.fail(resultcode.Overloaded, "workers full")
	}
	return f.retry(now, true)
}

// Unanswered records that a send got no valid answer: the worker may have run it.
func (f *Forwarding) Unanswered(now time.Duration, run fleet.EngineRun) Step {
	f.exclude(run)
	f.sends++
	if f.continuing {
		f.maybeContinued = true
		return f.continuationFailed(now)
	}
	f.possibleRuns++
	return f.afterPossibleRun(now)
}

// Answered records a worker's answer. failed is set if the answer is an error of the worker.
func (f *Forwarding) Answered(now time.Duration, run fleet.EngineRun, failed bool) Step {
	f.sends++
	if f.continuing {
		f.continuing = false
		return Step{Kind: StepDeliver}
	}
	f.possibleRuns++
	if failed && f.policy.RetryFailures && f.policy.Idempotent && !f.delivering && f.hasRunsLeft() &&
		f.hasTimeLeft(now) && f.withdraw(now) {
		f.exclude(run)
		return Step{Kind: StepSend}
	}
	return Step{Kind: StepDeliver}
}

// DeliveryStarted records that the caller has received the beginning of an answer.
func (f *Forwarding) DeliveryStarted() { f.delivering = true }

// Truncated records that an answer ended early, after Answered. copied is set if another engine may
// hold a copy of the run.
func (f *Forwarding) Truncated(now time.Duration, run fleet.EngineRun, copied bool) Step {
	f.exclude(run)
	if !f.delivering {
		return f.afterPossibleRun(now)
	}
	if copied && f.hasTimeLeft(now) && f.withdraw(now) {
		f.continuing = true
		return Step{Kind: StepContinue}
	}
	return f.resume(now)
}

// continuationFailed records that the engine that should hold a copy did not continue the run.
func (f *Forwarding) continuationFailed(now time.Duration) Step {
	f.continuing = false
	return f.resume(now)
}

// resume sends the rest of a resumable stream as a new run.
func (f *Forwarding) resume(now time.Duration) Step {
	if !f.policy.Resumable || !f.hasRunsLeft() || !f.hasTimeLeft(now) || !f.withdraw(now) {
		return Step{Kind: StepAbort}
	}
	return Step{Kind: StepSend}
}

// NoWorker records that no worker can be chosen, for the given reason. retryAfter is the time until
// a worker has capacity; 0 if unknown.
func (f *Forwarding) NoWorker(reason string, retryAfter time.Duration) Step {
	step := f.fail(resultcode.NoEngine, reason)
	if step.Code == resultcode.NoEngine {
		step.RetryAfter = max(step.RetryAfter, retryAfter)
	}
	return step
}

// Denied records that the request must not be sent to any worker, for the given code and reason.
// retryAfter is the time until it may be retried.
func (f *Forwarding) Denied(code resultcode.Code, reason string, retryAfter time.Duration) Step {
	step := f.fail(code, reason)
	if step.Code == code {
		step.RetryAfter = max(step.RetryAfter, retryAfter)
	}
	return step
}

// Expired records that the deadline for the final answer has passed.
func (f *Forwarding) Expired() Step {
	if f.delivering {
		return Step{Kind: StepAbort}
	}
	if f.possibleRuns > 0 {
		return Step{Kind: StepFail, Code: resultcode.DeadlineExceeded, Reason: "no answer in time"}
	}
	return f.fail(resultcode.DeadlineTooShort, "not begun in time")
}

// TimedOut records that a send was cancelled at the deadline.
func (f *Forwarding) TimedOut() Step {
	f.sends++
	f.possibleRuns++
	return f.Expired()
}

// afterPossibleRun returns the step after a send that may have run.
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

// retry returns a send to another worker if time allows and, with chargeBudget, the retry budget
// does.
func (f *Forwarding) retry(now time.Duration, chargeBudget bool) Step {
	if !f.hasTimeLeft(now) {
		return f.Expired()
	}
	if chargeBudget && !f.withdraw(now) {
		return f.fail(resultcode.RetryBudget, "retry budget spent")
	}
	return Step{Kind: StepSend}
}

// fail ends a request for which no further send is possible.
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
