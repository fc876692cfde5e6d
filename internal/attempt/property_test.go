package attempt_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// observer derives what may have run from the events and actions of a machine alone.
type observer struct {
	*rapid.T
	repeatable bool
	operation  attempt.Operation
	stream     fleet.StreamID
	// mayHaveRun holds the streams that may have run.
	mayHaveRun      map[fleet.StreamID]bool
	begun           map[fleet.StreamID]bool
	emitted         int
	doneCount       int
	terminalActions int
}

// input records what an event proves. Only answers to the latest operation count.
func (o *observer) input(event attempt.Event, phase attempt.Phase) {
	switch event := event.(type) {
	case attempt.DispatchNotSent:
		if event.Operation == o.operation && phase == attempt.PhaseDispatching {
			delete(o.mayHaveRun, o.stream)
		}
	case attempt.DispatchRejected:
		rejected := event.Code == engine.ErrorDraining || event.Code == engine.ErrorWrongIncarnation
		if event.Operation == o.operation && phase == attempt.PhaseDispatching && rejected {
			delete(o.mayHaveRun, o.stream)
		}
	case attempt.CancelAnswered:
		neverRan := event.State == engine.CancelNeverRan && !o.begun[o.stream]
		if event.Operation == o.operation && phase == attempt.PhaseFencing && neverRan {
			delete(o.mayHaveRun, o.stream)
		}
	case attempt.FrameReceived:
		o.begun[event.Frame.Stream] = true
		if event.Frame.Stream == o.stream && event.Frame.Kind == engine.FrameDone {
			o.doneCount = event.Frame.Count
		}
	}
}

func (o *observer) output(actions []attempt.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case attempt.RequestPlacement:
			o.operation = action.Operation
		case attempt.Resume:
			o.operation = action.Operation
		case attempt.CancelAndFence:
			if action.Operation != 0 {
				o.operation = action.Operation
			}
		case attempt.Dispatch:
			if !o.repeatable && len(o.mayHaveRun) > 0 {
				o.Fatalf("dispatched again though %v may have run", o.mayHaveRun)
			}
			if len(action.Continuation) != o.emitted {
				o.Fatalf("continuation of %d tokens, want %d", len(action.Continuation), o.emitted)
			}
			o.operation = action.Operation
			o.stream = action.Stream
			o.mayHaveRun[action.Stream] = true
		case attempt.EmitToken:
			if action.Index != o.emitted || o.terminalActions > 0 {
				o.Fatalf("token %d emitted after %d tokens and %d terminal actions", action.Index, o.emitted, o.terminalActions)
			}
			o.emitted++
		case attempt.Finish:
			o.terminalActions++
			if o.doneCount != o.emitted {
				o.Fatalf("finished after %d tokens, want %d", o.emitted, o.doneCount)
			}
		case attempt.Fail:
			o.terminalActions++
			if action.NotRun() && (len(o.mayHaveRun) > 0 || o.emitted > 0) {
				o.Fatalf("code %v says not run though %v may have run", action.Code, o.mayHaveRun)
			}
		case attempt.Abort:
			o.terminalActions++
		}
	}
	if o.terminalActions > 1 {
		o.Fatalf("%d terminal actions, want at most 1", o.terminalActions)
	}
}

func drawEvent(t *rapid.T, o *observer, latest fleet.Attempt) attempt.Event {
	operation := o.operation
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		operation = attempt.Operation(rapid.Uint32Range(0, uint32(o.operation)+1).Draw(t, "operation"))
	}
	run := fleet.EngineRun{Engine: fleet.EngineID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")), Incarnation: 1}
	switch rapid.IntRange(0, 17).Draw(t, "kind") {
	case 0, 1, 2:
		return attempt.Granted{Operation: operation, Attempt: latest, Run: run}
	case 3:
		return attempt.Redirected{Operation: operation}
	case 4:
		return attempt.PlacementFailed{Operation: operation}
	case 5:
		return attempt.DispatchNotSent{Operation: operation}
	case 6:
		codes := []engine.ErrorCode{engine.ErrorDraining, engine.ErrorWrongIncarnation, engine.ErrorInternal, engine.ErrorDuplicate}
		return attempt.DispatchRejected{Operation: operation, Code: rapid.SampledFrom(codes).Draw(t, "code")}
	case 7:
		return attempt.DispatchUnknown{Operation: operation}
	case 8:
		return attempt.StreamBroken{Operation: operation}
	case 9:
		incarnation := rapid.Uint64Range(0, 2).Draw(t, "incarnation")
		return attempt.ResumeRejected{Operation: operation, Incarnation: fleet.Incarnation(incarnation)}
	case 10:
		return attempt.ResumeFailed{Operation: operation}
	case 11:
		states := []engine.CancelState{engine.CancelNeverRan, engine.CancelCancelled, engine.CancelFinished}
		return attempt.CancelAnswered{Operation: operation, State: rapid.SampledFrom(states).Draw(t, "state")}
	case 12:
		return attempt.CancelFailed{Operation: operation}
	case 13:
		endings := []attempt.Event{attempt.CallerGone{}, attempt.DeadlinePassed{}, attempt.Stopping{},
			attempt.Refused{Operation: operation, Code: resultcode.Overloaded}}
		return rapid.SampledFrom(endings).Draw(t, "ending")
	default:
		return attempt.FrameReceived{Operation: operation, Frame: drawFrame(t, o)}
	}
}

func drawFrame(t *rapid.T, o *observer) engine.Frame {
	streams := []fleet.StreamID{o.stream, o.stream, o.stream, "request.1", "request.2", "other"}
	kinds := []engine.FrameKind{engine.FrameAccepted, engine.FrameToken, engine.FrameToken, engine.FrameDone, engine.FrameError}
	position := max(0, o.emitted+rapid.IntRange(-1, 1).Draw(t, "offset"))
	return engine.Frame{
		Kind:   rapid.SampledFrom(kinds).Draw(t, "frame"),
		Stream: rapid.SampledFrom(streams).Draw(t, "stream"),
		Index:  position,
		Count:  position,
	}
}

// The guarantees of Machine must hold for any order of events.
func TestMachineGuaranteesUnderAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &observer{
			T:          t,
			repeatable: rapid.Bool().Draw(t, "repeatable"),
			mayHaveRun: map[fleet.StreamID]bool{},
			begun:      map[fleet.StreamID]bool{},
			doneCount:  -1,
		}
		budget := attempt.NewBudget(attempt.BudgetOptions{Burst: 3})
		request := attempt.Request{ID: "request", Repeatable: o.repeatable, Deadline: time.Minute}
		machine := attempt.New(request, attempt.Policy{}, budget, rand.New(rand.NewPCG(3, 4)))
		latest := fleet.Attempt(0)
		actions := machine.Start(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			for _, action := range actions {
				if ask, asked := action.(attempt.RequestPlacement); asked {
					latest = ask.Attempt
				}
			}
			o.output(actions)
			event := drawEvent(t, o, latest)
			o.input(event, machine.Phase())
			actions = machine.Handle(time.Duration(step)*time.Second, event)
		}
		o.output(actions)
	})
}
