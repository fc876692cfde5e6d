package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// unlimitedBudget is a retry budget that never runs out.
type unlimitedBudget struct{ withdrawn int }

func (*unlimitedBudget) Deposit(time.Duration) {}

func (p *unlimitedBudget) Withdraw(time.Duration) bool { p.withdrawn++; return true }

func workerRun(number int) fleet.EngineRun {
	return fleet.EngineRun{Engine: fleet.EngineID(fmt.Sprintf("w%d", number))}
}

func newTestForwarding(policy ForwardingPolicy) *Forwarding {
	if policy.Deadline == 0 {
		policy.Deadline = time.Second
	}
	policy.RetryAfter = 100 * time.Millisecond
	return NewForwarding(0, policy, &unlimitedBudget{})
}

func TestNonIdempotentRequestIsNotResentOnceItMayHaveRun(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 3})
	step := machine.Unanswered(0, workerRun(1))
	assert.Equal(t, StepFail, step.Kind)
	assert.Equal(t, resultcode.OutcomeUnknown, step.Code)
	assert.False(t, resultcode.Lookup(step.Code).NotRun)
}

func TestNonIdempotentRequestIsResentIfItDidNotRun(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
	assert.Equal(t, StepSend, machine.NotSent(0, workerRun(1)).Kind)
	assert.Equal(t, StepSend, machine.Rejected(0, workerRun(2)).Kind)
	assert.Equal(t, []fleet.EngineRun{workerRun(1), workerRun(2)}, machine.Excluded())
	assert.Equal(t, StepDeliver, machine.Answered(0, workerRun(3), false).Kind)
}

func TestTooManyRejectionsFailWithRetryAfter(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
	step := Step{}
	for number := range maxRejections + 1 {
		step = machine.Rejected(0, workerRun(number))
	}
	require.Equal(t, StepFail, step.Kind)
	assert.True(t, resultcode.Lookup(step.Code).NotRun)
	assert.Positive(t, step.RetryAfter)
}

func TestIdempotentRequestRunsOnAtMostMaxRunsWorkers(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{Idempotent: true, RetryFailures: true, MaxRuns: 2})
	assert.Equal(t, StepSend, machine.Unanswered(0, workerRun(1)).Kind)
	step := machine.Unanswered(0, workerRun(2))
	assert.Equal(t, StepFail, step.Kind)
	assert.False(t, resultcode.Lookup(step.Code).NotRun)
}

func TestWorkerFailureIsRetriedOnceThenDelivered(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{Idempotent: true, RetryFailures: true, MaxRuns: 2})
	assert.Equal(t, StepSend, machine.Answered(0, workerRun(1), true).Kind)
	assert.Equal(t, StepDeliver, machine.Answered(0, workerRun(2), true).Kind)
}

func TestTruncatedStreamResumesOnlyIfResumable(t *testing.T) {
	for resumable, want := range map[bool]StepKind{true: StepSend, false: StepAbort} {
		machine := newTestForwarding(ForwardingPolicy{Idempotent: resumable, Resumable: resumable, MaxRuns: 2})
		require.Equal(t, StepDeliver, machine.Answered(0, workerRun(1), false).Kind)
		machine.DeliveryStarted()
		assert.Equal(t, want, machine.Truncated(0, workerRun(1), false).Kind, "resumable %t", resumable)
	}
}

// A stream must continue from a copy of its run once, and must not run again if it is not
// resumable.
func TestLostRunContinuesFromItsCopyOnce(t *testing.T) {
	for name, answer := range map[string]func(*Forwarding) Step{
		"continues":   func(machine *Forwarding) Step { return machine.Answered(0, workerRun(2), false) },
		"no copy":     func(machine *Forwarding) Step { return machine.Rejected(0, workerRun(2)) },
		"unreachable": func(machine *Forwarding) Step { return machine.NotSent(0, workerRun(2)) },
		"no answer":   func(machine *Forwarding) Step { return machine.Unanswered(0, workerRun(2)) },
	} {
		machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
		require.Equal(t, StepDeliver, machine.Answered(0, workerRun(1), false).Kind)
		machine.DeliveryStarted()
		require.Equal(t, StepContinue, machine.Truncated(0, workerRun(1), true).Kind)
		want := StepAbort
		if name == "continues" {
			want = StepDeliver
		}
		assert.Equal(t, want, answer(machine).Kind, name)
		assert.Equal(t, StepAbort, machine.Truncated(0, workerRun(2), false).Kind, name)
	}
	resumable := newTestForwarding(ForwardingPolicy{Idempotent: true, Resumable: true, MaxRuns: 2})
	require.Equal(t, StepDeliver, resumable.Answered(0, workerRun(1), false).Kind)
	resumable.DeliveryStarted()
	require.Equal(t, StepContinue, resumable.Truncated(0, workerRun(1), true).Kind)
	assert.Equal(t, StepSend, resumable.Rejected(0, workerRun(2)).Kind, "without a copy the request runs again")
}

func TestAnswerTruncatedBeforeDeliveryCountsAsRun(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 2})
	require.Equal(t, StepDeliver, machine.Answered(0, workerRun(1), false).Kind)
	step := machine.Truncated(0, workerRun(1), false)
	assert.Equal(t, StepFail, step.Kind)
	assert.False(t, resultcode.Lookup(step.Code).NotRun)
}

// TestRequestIsRefusedAfterFiveWorkersThatRefuseAtOnce guards against a request that is refused, though it was sent
// nowhere and other workers are there, since it met five that had just ended.
func TestRequestIsRefusedAfterFiveWorkersThatRefuseAtOnce(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
	for number := range maxUnreachable {
		require.Equal(t, StepSend, machine.NotSent(time.Duration(number)*time.Millisecond, workerRun(number)).Kind)
	}
	step := machine.NotSent(maxUnreachable*time.Millisecond, workerRun(maxUnreachable))
	assert.Equal(t, StepFail, step.Kind, "bounded")
	assert.True(t, resultcode.Lookup(step.Code).NotRun)
}

// TestUnreachableWorkersAreTriedForTooLong guards against a request that waits for one hanging connection after the
// other, and against one that tries many workers that were avoided already, since all are.
func TestUnreachableWorkersAreTriedForTooLong(t *testing.T) {
	for name, test := range map[string]struct {
		interval time.Duration
		notSent  func(f *Forwarding, now time.Duration, run fleet.EngineRun) Step
	}{
		"hanging": {500 * time.Millisecond, (*Forwarding).NotSent},
		"avoided": {time.Millisecond, (*Forwarding).AvoidedNotSent},
	} {
		t.Run(name, func(t *testing.T) {
			machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1, Deadline: time.Minute})
			for number := 1; number <= minUnreachable; number++ {
				require.Equal(t, StepSend, test.notSent(machine, time.Duration(number)*test.interval, workerRun(number)).Kind)
			}
			step := test.notSent(machine, (minUnreachable+1)*test.interval, workerRun(minUnreachable+1))
			assert.Equal(t, StepFail, step.Kind)
			assert.Equal(t, resultcode.NoEngine, step.Code)
		})
	}
}

func TestRetryNeedsTimeAndBudget(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
	step := machine.Rejected(time.Second-minTimeLeft, workerRun(1))
	assert.Equal(t, resultcode.DeadlineTooShort, step.Code)
	empty := NewBudget(BudgetOptions{Ratio: 0.1, FloorPerSecond: 0.1, Burst: 2, Initial: -1})
	machine = NewForwarding(0, ForwardingPolicy{MaxRuns: 1, Deadline: time.Second}, empty)
	step = machine.Rejected(0, workerRun(1))
	assert.Equal(t, resultcode.RetryBudget, step.Code)
	assert.Equal(t, StepSend, machine.NotSent(0, workerRun(2)).Kind, "a request that was not sent needs no retry budget")
}

// The guarantees of Forwarding must hold for random outcomes of sends.
func TestForwardingGuaranteesUnderRandomOutcomes(t *testing.T) {
	for seed := range uint64(20000) {
		random := rand.New(rand.NewPCG(seed, 7))
		policy := ForwardingPolicy{
			Idempotent: random.IntN(2) == 0, RetryFailures: random.IntN(2) == 0,
			MaxRuns: 1 + random.IntN(3), Deadline: time.Second, RetryAfter: time.Millisecond,
		}
		policy.Resumable = policy.Idempotent && random.IntN(2) == 0
		machine := NewForwarding(0, policy, &unlimitedBudget{})
		ran, deliveryStarted := 0, false
		step := Step{Kind: StepSend}
		for number := 0; step.Kind == StepSend; number++ {
			require.Less(t, number, 20, "seed %d", seed)
			require.False(t, ran > 0 && !policy.Idempotent, "seed %d: resent after it may have run", seed)
			require.Less(t, ran, policy.MaxRuns, "seed %d", seed)
			run := workerRun(number)
			require.NotContains(t, machine.Excluded(), run)
			now := time.Duration(random.Int64N(int64(1200 * time.Millisecond)))
			switch random.IntN(6) {
			case 0:
				step = machine.NotSent(now, run)
			case 1:
				step = machine.Rejected(now, run)
			case 2:
				ran++
				step = machine.Unanswered(now, run)
			case 3:
				step = machine.NoWorker("none", 0)
			default:
				ran++
				step = machine.Answered(now, run, random.IntN(2) == 0)
				if step.Kind == StepDeliver && random.IntN(2) == 0 {
					if random.IntN(2) == 0 {
						machine.DeliveryStarted()
						deliveryStarted = true
					}
					step = machine.Truncated(now, run, false)
				}
			}
			if step.Kind == StepFail {
				require.False(t, deliveryStarted, "seed %d: failed after delivery started", seed)
				require.False(t, ran > 0 && resultcode.Lookup(step.Code).NotRun, "seed %d: reported not run though it may have run", seed)
			}
		}
	}
}

func TestDeniedRequestReportsNotRunOnlyIfNoSendMayHaveRun(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{Idempotent: true, MaxRuns: 3})
	step := machine.Denied(resultcode.Quarantined, "quarantined", time.Minute)
	assert.Equal(t, Step{Kind: StepFail, Code: resultcode.Quarantined, Reason: "quarantined", RetryAfter: time.Minute}, step)
	assert.True(t, resultcode.Lookup(step.Code).NotRun)

	machine = newTestForwarding(ForwardingPolicy{Idempotent: true, MaxRuns: 3})
	require.Equal(t, StepSend, machine.Unanswered(0, workerRun(1)).Kind)
	step = machine.Denied(resultcode.Quarantined, "quarantined", time.Minute)
	assert.Equal(t, resultcode.EngineFailed, step.Code)
	assert.False(t, resultcode.Lookup(step.Code).NotRun)
	assert.Zero(t, step.RetryAfter)

	machine = newTestForwarding(ForwardingPolicy{Resumable: true, MaxRuns: 3})
	machine.Answered(0, workerRun(1), false)
	machine.DeliveryStarted()
	assert.Equal(t, StepAbort, machine.Denied(resultcode.Quarantined, "quarantined", 0).Kind)
}

// A throttled send must be retried a limited number of times and then refused as not run, with the
// time to wait. A stream that continues elsewhere must be aborted if it is not resumable.
func TestThrottledSendIsRetriedThenRefused(t *testing.T) {
	machine := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
	for range maxThrottled {
		assert.Equal(t, StepSend, machine.Throttled(0, 2*time.Second).Kind)
	}
	step := machine.Throttled(0, 2*time.Second)
	assert.Equal(t, StepFail, step.Kind)
	assert.True(t, resultcode.Lookup(step.Code).NotRun)
	assert.Equal(t, 2*time.Second, step.RetryAfter)
	assert.Empty(t, machine.Excluded(), "the worker may be chosen again")

	stream := newTestForwarding(ForwardingPolicy{MaxRuns: 2})
	stream.Answered(0, workerRun(1), false)
	stream.DeliveryStarted()
	assert.Equal(t, StepContinue, stream.Truncated(0, workerRun(1), true).Kind)
	assert.Equal(t, StepAbort, stream.Throttled(0, time.Second).Kind)
}

// TestPrepaidRetryIsChargedTwice guards against two charges for one retry, and against a retry that
// the rules for running again don't allow although it is paid for.
func TestPrepaidRetryIsChargedTwice(t *testing.T) {
	budget := NewBudget(BudgetOptions{Initial: -1, Ratio: 1e-9, FloorPerSecond: 1e-9})
	repeatable := NewForwarding(0, ForwardingPolicy{Idempotent: true, MaxRuns: 3, Deadline: time.Second}, budget)
	assert.True(t, repeatable.CanRepeat())
	repeatable.PrepayRetry()
	assert.Equal(t, StepSend, repeatable.Unanswered(0, fleet.EngineRun{Engine: "a"}).Kind)
	assert.Equal(t, StepFail, repeatable.Unanswered(0, fleet.EngineRun{Engine: "b"}).Kind)
	assert.False(t, repeatable.CanRepeat(), "no runs left")
	once := NewForwarding(0, ForwardingPolicy{MaxRuns: 3, Deadline: time.Second}, budget)
	assert.False(t, once.CanRepeat())
	once.PrepayRetry()
	assert.Equal(t, StepFail, once.Unanswered(0, fleet.EngineRun{Engine: "a"}).Kind)
}

// TestStreamRunsTwiceAfterFailedMove guards against a stream that goes on at its engine although another one may
// be running it, and against one that breaks off although no other engine can be.
func TestStreamRunsTwiceAfterFailedMove(t *testing.T) {
	for name, test := range map[string]struct {
		resumable bool
		fail      func(machine *Forwarding) Step
		canReturn bool
	}{
		"rejected":             {fail: func(f *Forwarding) Step { return f.Rejected(0, workerRun(2)) }, canReturn: true},
		"not sent":             {fail: func(f *Forwarding) Step { return f.NotSent(0, workerRun(2)) }, canReturn: true},
		"called off":           {fail: func(f *Forwarding) Step { return f.CalledOff(workerRun(2), false) }, canReturn: true},
		"called off late":      {fail: func(f *Forwarding) Step { return f.CalledOff(workerRun(2), true) }},
		"unanswered":           {fail: func(f *Forwarding) Step { return f.Unanswered(0, workerRun(2)) }},
		"resumable unanswered": {resumable: true, fail: func(f *Forwarding) Step { return f.Unanswered(0, workerRun(2)) }, canReturn: true},
	} {
		t.Run(name, func(t *testing.T) {
			machine := newTestForwarding(ForwardingPolicy{Idempotent: test.resumable, Resumable: test.resumable, MaxRuns: 1})
			require.Equal(t, StepDeliver, machine.Answered(0, workerRun(1), false).Kind)
			machine.DeliveryStarted()
			require.Equal(t, StepContinue, machine.Truncated(0, workerRun(1), true).Kind)
			assert.Equal(t, StepAbort, test.fail(machine).Kind)
			assert.Equal(t, test.canReturn, machine.CanReturn())
		})
	}
}

// TestReturnedStreamMovesInVain guards against moves, which are charged, of a stream that no other engine may take.
func TestReturnedStreamMovesInVain(t *testing.T) {
	resumable := newTestForwarding(ForwardingPolicy{Idempotent: true, Resumable: true, MaxRuns: 2})
	require.Equal(t, StepDeliver, resumable.Answered(0, workerRun(1), false).Kind)
	resumable.DeliveryStarted()
	require.Equal(t, StepSend, resumable.Truncated(0, workerRun(1), false).Kind)
	assert.True(t, resumable.CanMoveAgain())
	require.Equal(t, StepAbort, resumable.Unanswered(0, workerRun(2)).Kind)
	assert.False(t, resumable.CanMoveAgain(), "no run is left")
	copied := newTestForwarding(ForwardingPolicy{MaxRuns: 1})
	require.Equal(t, StepDeliver, copied.Answered(0, workerRun(1), false).Kind)
	copied.DeliveryStarted()
	for _, refused := range []bool{false, true} {
		require.Equal(t, StepContinue, copied.Truncated(0, workerRun(1), true).Kind)
		if refused {
			copied.Rejected(0, workerRun(2))
		} else {
			copied.NotSent(0, workerRun(2))
		}
		assert.Equal(t, !refused, copied.CanMoveAgain(), "its copy may still be there")
	}
}

// TestOnlyAnswersThatCanBeReplacedMayBreakOff guards against an answer that is given up though no other run may
// take its place.
func TestOnlyAnswersThatCanBeReplacedMayBreakOff(t *testing.T) {
	for name, test := range map[string]struct {
		policy     ForwardingPolicy
		delivering bool
		want       bool
	}{
		"idempotent":              {ForwardingPolicy{Idempotent: true, MaxRuns: 2}, false, true},
		"idempotent, only one":    {ForwardingPolicy{Idempotent: true, MaxRuns: 1}, false, false},
		"idempotent, begun":       {ForwardingPolicy{Idempotent: true, MaxRuns: 2}, true, false},
		"not idempotent":          {ForwardingPolicy{MaxRuns: 2}, false, false},
		"resumable, begun":        {ForwardingPolicy{Idempotent: true, Resumable: true, MaxRuns: 2}, true, true},
		"resumable, its last run": {ForwardingPolicy{Idempotent: true, Resumable: true, MaxRuns: 1}, true, false},
	} {
		test.policy.Deadline = time.Second
		forwarding := NewForwarding(0, test.policy, NewBudget(BudgetOptions{}))
		if test.delivering {
			forwarding.Answered(0, fleet.EngineRun{Engine: "a"}, false)
			forwarding.DeliveryStarted()
		}
		assert.Equal(t, test.want, forwarding.CanBreakOff(), name)
	}
}
