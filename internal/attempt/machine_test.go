package attempt_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// driver feeds events to a machine and records its latest actions.
type driver struct {
	t       *testing.T
	machine *attempt.Machine
	now     time.Duration
	actions []attempt.Action
}

func newDriver(t *testing.T, request attempt.Request, budget attempt.RetryBudget) *driver {
	if request.ID == "" {
		request.ID = "request"
	}
	d := &driver{t: t, machine: attempt.New(request, attempt.Policy{}, budget, rand.New(rand.NewPCG(1, 2)))}
	d.actions = d.machine.Start(d.now)
	return d
}

func (d *driver) send(events ...attempt.Event) {
	for _, event := range events {
		d.now += time.Millisecond
		d.actions = d.machine.Handle(d.now, event)
	}
}

// find returns the first of the latest actions that has the given type.
func find[T attempt.Action](d *driver) T {
	d.t.Helper()
	for _, action := range d.actions {
		if found, ok := action.(T); ok {
			return found
		}
	}
	require.Failf(d.t, "missing action", "no %T in %#v", *new(T), d.actions)
	return *new(T)
}

// grantAndDispatch answers the placement request with a grant.
func (d *driver) grantAndDispatch(engineID fleet.EngineID) attempt.Dispatch {
	placement := find[attempt.RequestPlacement](d)
	run := fleet.EngineRun{Engine: engineID, Incarnation: 1}
	d.send(attempt.Granted{Operation: placement.Operation, Attempt: placement.Attempt, Run: run})
	return find[attempt.Dispatch](d)
}

func token(operation attempt.Operation, stream fleet.StreamID, index int, text string) attempt.Event {
	frame := engine.Frame{Kind: engine.FrameToken, Stream: stream, Index: index, Text: text}
	return attempt.FrameReceived{Operation: operation, Frame: frame}
}

func accepted(operation attempt.Operation, stream fleet.StreamID) attempt.Event {
	return attempt.FrameReceived{Operation: operation, Frame: engine.Frame{Kind: engine.FrameAccepted, Stream: stream}}
}

func done(operation attempt.Operation, stream fleet.StreamID, count int) attempt.Event {
	frame := engine.Frame{Kind: engine.FrameDone, Stream: stream, Count: count, FinishReason: "stop"}
	return attempt.FrameReceived{Operation: operation, Frame: frame}
}

func newBudget() *attempt.Budget { return attempt.NewBudget(attempt.BudgetOptions{}) }

func TestMachineResumesAtSameRunThenContinuesElsewhere(t *testing.T) {
	d := newDriver(t, attempt.Request{Repeatable: true}, newBudget())
	first := d.grantAndDispatch("a")
	d.send(
		accepted(first.Operation, first.Stream),
		token(first.Operation, first.Stream, 0, "zero"),
		attempt.StreamBroken{Operation: first.Operation},
	)
	resume := find[attempt.Resume](d)
	assert.Equal(t, 1, resume.Offset)
	d.send(attempt.ResumeFailed{Operation: resume.Operation})
	placement := find[attempt.RequestPlacement](d)
	assert.Equal(t, []fleet.EngineRun{first.Run}, placement.Excluded)
	assert.Equal(t, 1, placement.ContinuationTokens)
	second := d.grantAndDispatch("b")
	assert.Equal(t, []string{"zero"}, second.Continuation)
	d.send(
		token(first.Operation, first.Stream, 1, "late"),
		accepted(second.Operation, second.Stream),
		token(second.Operation, second.Stream, 1, "one"),
	)
	assert.Equal(t, attempt.EmitToken{Index: 1, Text: "one"}, find[attempt.EmitToken](d))
	d.send(done(second.Operation, second.Stream, 2))
	assert.Equal(t, 2, find[attempt.Finish](d).OutputTokens)
	assert.Equal(t, 1, d.machine.Stats().DroppedEvents)
}

func TestMachineDoesNotFinishWithIncompleteOutput(t *testing.T) {
	d := newDriver(t, attempt.Request{Repeatable: false}, newBudget())
	dispatch := d.grantAndDispatch("a")
	d.send(
		token(dispatch.Operation, dispatch.Stream, 0, "zero"),
		done(dispatch.Operation, dispatch.Stream, 2),
	)
	resume := find[attempt.Resume](d)
	d.send(attempt.ResumeRejected{Operation: resume.Operation, Code: engine.ErrorUnknownStream})
	failure := find[attempt.Fail](d)
	assert.Equal(t, resultcode.StreamInterrupted, failure.Code)
	assert.False(t, failure.NotRun())
}

func TestMachineFencesUnknownDispatchBeforeRetry(t *testing.T) {
	d := newDriver(t, attempt.Request{}, newBudget())
	first := d.grantAndDispatch("a")
	d.send(attempt.DispatchUnknown{Operation: first.Operation})
	resume := find[attempt.Resume](d)
	d.send(attempt.ResumeRejected{Operation: resume.Operation, Code: engine.ErrorUnknownStream, Incarnation: 1})
	cancel := find[attempt.CancelAndFence](d)
	assert.Equal(t, first.Stream, cancel.Stream)
	d.send(attempt.CancelAnswered{Operation: cancel.Operation, State: engine.CancelNeverRan})
	second := d.grantAndDispatch("b")
	assert.NotEqual(t, first.Stream, second.Stream)
}

func TestMachineResumesUnknownDispatch(t *testing.T) {
	d := newDriver(t, attempt.Request{Repeatable: true}, newBudget())
	first := d.grantAndDispatch("a")
	d.send(attempt.DispatchUnknown{Operation: first.Operation})
	resume := find[attempt.Resume](d)
	assert.Equal(t, first.Stream, resume.Stream)
	d.send(attempt.ResumeRejected{Operation: resume.Operation, Code: engine.ErrorUnknownStream})
	second := d.grantAndDispatch("b")
	d.send(attempt.DispatchUnknown{Operation: second.Operation, TimedOut: true})
	assert.Equal(t, second.Stream, find[attempt.CancelAndFence](d).Stream)
	assert.Len(t, find[attempt.RequestPlacement](d).Excluded, 2)
}

func TestMachineReportsUnknownOutcome(t *testing.T) {
	for name, answer := range map[string]attempt.CancelFailed{
		"another incarnation": {Code: engine.ErrorWrongIncarnation},
		"unreachable":         {Code: engine.ErrorConnect},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, attempt.Request{}, newBudget())
			dispatch := d.grantAndDispatch("a")
			d.send(attempt.DispatchUnknown{Operation: dispatch.Operation})
			for d.machine.Phase() == attempt.PhaseResuming {
				d.send(attempt.ResumeFailed{Operation: find[attempt.Resume](d).Operation})
			}
			for d.machine.Phase() == attempt.PhaseFencing {
				answer.Operation = find[attempt.CancelAndFence](d).Operation
				d.send(answer)
			}
			failure := find[attempt.Fail](d)
			assert.Equal(t, resultcode.OutcomeUnknown, failure.Code)
			assert.Zero(t, failure.RetryAfter)
			assert.Equal(t, 1, d.machine.Stats().Dispatches)
		})
	}
}

func TestMachineFailsWithRetryAfterWhenRetryBudgetIsSpent(t *testing.T) {
	budget := attempt.NewBudget(attempt.BudgetOptions{Burst: 1, FloorPerSecond: 0.001, Ratio: 0.001})
	d := newDriver(t, attempt.Request{Repeatable: true}, budget)
	for d.machine.Phase() != attempt.PhaseFinished {
		d.send(attempt.DispatchNotSent{Operation: d.grantAndDispatch("a").Operation})
	}
	failure := find[attempt.Fail](d)
	assert.Equal(t, resultcode.RetryBudget, failure.Code)
	assert.True(t, failure.NotRun())
	assert.GreaterOrEqual(t, failure.RetryAfter, attempt.DefaultRetryAfter)
	assert.Equal(t, 2, d.machine.Stats().Dispatches)
}

func TestMachineFailsWhenNoRouterPlaces(t *testing.T) {
	d := newDriver(t, attempt.Request{Repeatable: true, Deadline: time.Minute}, newBudget())
	for d.machine.Phase() != attempt.PhaseFinished {
		d.send(attempt.PlacementFailed{Operation: find[attempt.RequestPlacement](d).Operation})
	}
	assert.Equal(t, resultcode.NoRouter, find[attempt.Fail](d).Code)
	assert.Zero(t, d.machine.Stats().Retries)
}

func TestMachineReportsNotRunAtDeadlineOnlyBeforeDispatch(t *testing.T) {
	request := attempt.Request{Deadline: time.Second}
	waiting := newDriver(t, request, newBudget())
	late := find[attempt.RequestPlacement](waiting)
	waiting.send(attempt.DeadlinePassed{})
	assert.True(t, find[attempt.Fail](waiting).NotRun())
	waiting.send(attempt.Granted{Operation: late.Operation, Attempt: late.Attempt})
	assert.Equal(t, attempt.ReportAbandoned, find[attempt.Report](waiting).Phase)

	running := newDriver(t, request, newBudget())
	running.grantAndDispatch("a")
	running.send(attempt.DeadlinePassed{})
	assert.Equal(t, resultcode.DeadlineExceeded, find[attempt.Fail](running).Code)
	assert.Zero(t, find[attempt.CancelAndFence](running).Operation)
}

func TestMachineIgnoresAnExpiredGrant(t *testing.T) {
	d := newDriver(t, attempt.Request{}, newBudget())
	placement := find[attempt.RequestPlacement](d)
	d.send(attempt.Granted{Operation: placement.Operation, Attempt: placement.Attempt, ValidUntil: 1})
	assert.Equal(t, attempt.ReportAbandoned, find[attempt.Report](d).Phase)
	assert.Greater(t, find[attempt.RequestPlacement](d).Attempt, placement.Attempt)
}
