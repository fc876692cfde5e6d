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

// engineHost runs one engine model on the event queue and delivers its responses to the agents.
type engineHost struct {
	emulator *Emulator
	index    int
	model    *enginemodel.Engine
	machine  platform.Machine
	down     bool
	// streams holds the live streams.
	streams map[fleet.StreamID]*openStream
	// stepAt is the time of the scheduled next step; 0 means none.
	stepAt time.Duration
}

// openStream is a stream that an agent reads.
type openStream struct {
	driver    *requestDriver
	operation attempt.Operation
	// firstIndex is the index of the first token that the stream yields.
	firstIndex int
}

func (h *engineHost) id() fleet.EngineID { return fleet.EngineID(h.machine.ID) }

func (h *engineHost) run() fleet.EngineRun {
	return fleet.EngineRun{Engine: h.id(), Incarnation: h.model.Incarnation()}
}

func (h *engineHost) site() membership.EngineSite {
	return membership.EngineSite{Pool: h.machine.Pool, Location: membership.Location{Zone: h.machine.Zone}}
}

func (h *engineHost) now() time.Duration { return h.emulator.queue.Now() }

// send delivers an event to a stream's agent after the network latency.
func (h *engineHost) send(to *requestDriver, event attempt.Event) {
	latency := h.emulator.network.fromAgent(to.agent.zone, h.machine.Zone)
	h.emulator.queue.After(latency, func() { to.handle(event) })
}

// dispatch handles the arrival of a dispatch. It ignores one whose request has already ended,
// because its cancel follows immediately.
func (h *engineHost) dispatch(from *requestDriver, action attempt.Dispatch) {
	defer h.emulator.dispatchArrived(h, action.Stream)
	if from.machine.Phase() == attempt.PhaseFinished {
		return
	}
	if h.down {
		h.send(from, attempt.DispatchNotSent{Operation: action.Operation})
		return
	}
	call := from.call
	h.model.Advance(h.now())
	reachable := h.emulator.reachableTokens(call.blocks, call.promptTokens)
	err := h.model.DispatchHashed(h.now(), enginemodel.HashedRequest{
		StreamID:     action.Stream,
		Incarnation:  action.Run.Incarnation,
		Tenant:       call.request.Tenant,
		Weights:      engine.ModelVersion(call.request.ModelVersion),
		Hashes:       call.blocks,
		PromptTokens: call.promptTokens,
		OutputTokens: call.request.OutputTokens,
		Priority:     action.Priority,
	})
	var failure *engine.Error
	if errors.As(err, &failure) {
		h.send(from, attempt.DispatchRejected{Operation: action.Operation, Code: failure.Code, Message: failure.Message})
		return
	}
	call.recordDispatch(reachable)
	h.emulator.ledger.recordPrompt(call.blocks, call.promptTokens, h.model.Config().BlockTokens)
	h.streams[action.Stream] = &openStream{driver: from, operation: action.Operation, firstIndex: len(action.Continuation)}
	h.send(from, attempt.FrameReceived{
		Operation: action.Operation,
		Frame:     engine.Frame{Kind: engine.FrameAccepted, Stream: action.Stream, PromptTokens: call.promptTokens},
	})
	h.processChanges()
}

// processChanges delivers the model's stream events, schedules its next step and notifies the
// routers.
func (h *engineHost) processChanges() {
	for _, event := range h.model.TakeStreamEvents() {
		h.sendStreamEvent(event)
	}
	h.scheduleStep()
	h.emulator.engineChanged(h)
}

func (h *engineHost) scheduleStep() {
	next, found := h.model.NextWakeup()
	if !found || h.down || (h.stepAt != 0 && h.stepAt <= next) {
		return
	}
	h.stepAt = next
	h.emulator.queue.At(next, func() { h.step(next) })
}

func (h *engineHost) step(planned time.Duration) {
	if h.down || h.stepAt != planned {
		return
	}
	h.stepAt = 0
	h.model.Advance(h.now())
	h.processChanges()
}

func (h *engineHost) sendStreamEvent(event enginemodel.StreamEvent) {
	stream := h.streams[event.Stream]
	if stream == nil {
		return
	}
	frame := engine.Frame{
		Kind:         engine.FrameToken,
		Stream:       event.Stream,
		Index:        stream.firstIndex,
		PromptTokens: event.PromptTokens,
		CachedTokens: event.CachedTokens,
	}
	switch event.Kind {
	case enginemodel.StreamFirstToken:
		stream.driver.call.recordPrefill(event)
	case enginemodel.StreamDone:
		frame.Kind = engine.FrameDone
		frame.Count = stream.firstIndex + 1
		delete(h.streams, event.Stream)
	default:
		delete(h.streams, event.Stream)
		return
	}
	h.send(stream.driver, attempt.FrameReceived{Operation: stream.operation, Frame: frame})
}

// cancel handles the arrival of a cancel.
func (h *engineHost) cancel(from *requestDriver, action attempt.CancelAndFence) {
	if h.down {
		h.send(from, attempt.CancelFailed{Operation: action.Operation, Code: engine.ErrorConnect})
		return
	}
	response, err := h.model.Cancel(h.now(), action.Stream, action.Run.Incarnation)
	h.processChanges()
	var failure *engine.Error
	if errors.As(err, &failure) {
		h.send(from, attempt.CancelFailed{Operation: action.Operation, Code: failure.Code})
		return
	}
	h.send(from, attempt.CancelAnswered{Operation: action.Operation, State: response.State})
}

// resume handles the arrival of a resume. Streams carry no text, so none can be read again; a lost
// connection means a lost engine.
func (h *engineHost) resume(from *requestDriver, action attempt.Resume) {
	if h.down {
		h.send(from, attempt.ResumeFailed{Operation: action.Operation})
		return
	}
	h.send(from, attempt.ResumeRejected{
		Operation:   action.Operation,
		Code:        engine.ErrorUnknownStream,
		Incarnation: h.model.Incarnation(),
	})
}

// crash stops the engine and breaks every connection to it.
func (h *engineHost) crash() {
	h.down = true
	h.stepAt = 0
	for _, id := range slices.Sorted(maps.Keys(h.streams)) {
		stream := h.streams[id]
		h.send(stream.driver, attempt.StreamBroken{Operation: stream.operation})
	}
	clear(h.streams)
	h.emulator.engineChanged(h)
}

// restart starts the engine's next incarnation with an empty cache.
func (h *engineHost) restart() {
	h.model.Restart(h.now())
	h.down = false
	h.machine.Incarnation = h.model.Incarnation()
	h.processChanges()
}
