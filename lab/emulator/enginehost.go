package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// engineHost runs one engine model on the queue and carries its answers to the
// agents.
type engineHost struct {
	emulator *Emulator
	index    int
	model    *enginemodel.Engine
	machine  platform.Machine
	down     bool
	// streams are the live streams with the agents' side of each.
	streams map[fleet.StreamID]*openStream
	// planned is when the next step is planned; 0 means none is.
	planned time.Duration
}

// openStream is a stream that an agent reads.
type openStream struct {
	carrier   *carrier
	operation attempt.Operation
	// first is the index of the first token that the stream yields.
	first int
}

func (h *engineHost) id() fleet.EngineID { return fleet.EngineID(h.machine.ID) }

func (h *engineHost) run() fleet.EngineRun {
	return fleet.EngineRun{Engine: h.id(), Incarnation: h.model.Incarnation()}
}

func (h *engineHost) site() membership.EngineSite {
	return membership.EngineSite{Pool: h.machine.Pool, Location: membership.Location{Zone: h.machine.Zone}}
}

func (h *engineHost) now() time.Duration { return h.emulator.queue.Now() }

// answer sends an event to a stream's agent.
func (h *engineHost) answer(to *carrier, event attempt.Event) {
	latency := h.emulator.network.fromAgent(to.agent.zone, h.machine.Zone)
	h.emulator.queue.After(latency, func() { to.handle(event) })
}

// dispatch takes a dispatch that has arrived. One whose request has ended
// meanwhile is followed closely by its cancel, so it is left out.
func (h *engineHost) dispatch(from *carrier, action attempt.Dispatch) {
	defer h.emulator.dispatchArrived(h, action.Stream)
	if from.machine.Phase() == attempt.PhaseFinished {
		return
	}
	if h.down {
		h.answer(from, attempt.DispatchNotSent{Operation: action.Operation})
		return
	}
	call := from.call
	h.model.Advance(h.now())
	reachable := h.emulator.reachableTokens(call.blocks, call.promptTokens)
	err := h.model.DispatchHashed(h.now(), enginemodel.HashedRequest{
		StreamID:     action.Stream,
		Incarnation:  action.Run.Incarnation,
		Tenant:       call.request.Tenant,
		Weights:      engine.Weights(call.request.ModelVersion),
		Hashes:       call.blocks,
		PromptTokens: call.promptTokens,
		OutputTokens: call.request.OutputTokens,
		Priority:     action.Priority,
	})
	var failure *engine.Error
	if errors.As(err, &failure) {
		h.answer(from, attempt.DispatchRejected{Operation: action.Operation, Code: failure.Code, Message: failure.Message})
		return
	}
	call.dispatched(reachable)
	h.emulator.ledger.note(call.blocks, call.promptTokens, h.model.Config().BlockTokens)
	h.streams[action.Stream] = &openStream{carrier: from, operation: action.Operation, first: len(action.Continuation)}
	h.answer(from, attempt.FrameReceived{
		Operation: action.Operation,
		Frame:     engine.Frame{Kind: engine.FrameAccepted, Stream: action.Stream, PromptTokens: call.promptTokens},
	})
	h.changed()
}

// changed passes on what the model has reported and plans its next step.
func (h *engineHost) changed() {
	for _, event := range h.model.TakeStreamEvents() {
		h.report(event)
	}
	h.plan()
	h.emulator.engineChanged(h)
}

func (h *engineHost) plan() {
	next, found := h.model.NextWakeup()
	if !found || h.down || (h.planned != 0 && h.planned <= next) {
		return
	}
	h.planned = next
	h.emulator.queue.At(next, func() { h.step(next) })
}

func (h *engineHost) step(planned time.Duration) {
	if h.down || h.planned != planned {
		return
	}
	h.planned = 0
	h.model.Advance(h.now())
	h.changed()
}

func (h *engineHost) report(event enginemodel.StreamEvent) {
	stream := h.streams[event.Stream]
	if stream == nil {
		return
	}
	frame := engine.Frame{
		Kind:         engine.FrameToken,
		Stream:       event.Stream,
		Index:        stream.first,
		PromptTokens: event.PromptTokens,
		CachedTokens: event.CachedTokens,
	}
	switch event.Kind {
	case enginemodel.StreamFirstToken:
		stream.carrier.call.computed(event)
	case enginemodel.StreamDone:
		frame.Kind = engine.FrameDone
		frame.Count = stream.first + 1
		delete(h.streams, event.Stream)
	default:
		delete(h.streams, event.Stream)
		return
	}
	h.answer(stream.carrier, attempt.FrameReceived{Operation: stream.operation, Frame: frame})
}

// cancel takes a cancel that has arrived.
func (h *engineHost) cancel(from *carrier, action attempt.CancelAndFence) {
	if h.down {
		h.answer(from, attempt.CancelFailed{Operation: action.Operation, Code: engine.ErrorConnect})
		return
	}
	response, err := h.model.Cancel(h.now(), action.Stream, action.Run.Incarnation)
	h.changed()
	var failure *engine.Error
	if errors.As(err, &failure) {
		h.answer(from, attempt.CancelFailed{Operation: action.Operation, Code: failure.Code})
		return
	}
	h.answer(from, attempt.CancelAnswered{Operation: action.Operation, State: response.State})
}

// resume takes a resume that has arrived. Streams have no text here, so none
// can be read again; a lost connection means a lost engine.
func (h *engineHost) resume(from *carrier, action attempt.Resume) {
	if h.down {
		h.answer(from, attempt.ResumeFailed{Operation: action.Operation})
		return
	}
	h.answer(from, attempt.ResumeRejected{
		Operation:   action.Operation,
		Code:        engine.ErrorUnknownStream,
		Incarnation: h.model.Incarnation(),
	})
}

// crash ends the engine's run and every connection to it.
func (h *engineHost) crash() {
	h.down = true
	h.planned = 0
	for _, id := range slices.Sorted(maps.Keys(h.streams)) {
		stream := h.streams[id]
		h.answer(stream.carrier, attempt.StreamBroken{Operation: stream.operation})
	}
	clear(h.streams)
	h.emulator.engineChanged(h)
}

// restart begins the next run with an empty cache.
func (h *engineHost) restart() {
	h.model.Restart(h.now())
	h.down = false
	h.machine.Incarnation = h.model.Incarnation()
	h.changed()
}
