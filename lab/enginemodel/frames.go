package enginemodel

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// AcceptedFrame returns the first frame of a stream with text. It returns an *engine.Error if the
// stream is unknown.
func (e *Engine) AcceptedFrame(id fleet.StreamID) (engine.Frame, error) {
	s, err := e.streamWithText(id)
	if err != nil {
		return engine.Frame{}, err
	}
	return engine.Frame{
		Kind:         engine.FrameAccepted,
		Stream:       id,
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens,
	}, nil
}

// Frames returns the frames of a stream with text from a token index on, and whether they include
// its last frame. Tokens carried by the dispatch can be read too. The frames of an ended stream are
// kept for Config.FrameRetention; after that the stream is unknown. Errors are *engine.Error.
func (e *Engine) Frames(id fleet.StreamID, fromIndex int) (frames []engine.Frame, ended bool, err error) {
	s, err := e.streamWithText(id)
	if err != nil {
		return nil, false, err
	}
	ended = s.state == streamFinished || s.state == streamCancelled
	if fromIndex < 0 || (ended && fromIndex > s.produced) {
		return nil, false, e.newError(engine.ErrorBadRequest, "offset is outside the stream")
	}
	for index := fromIndex; index < s.produced; index++ {
		frames = append(frames, engine.Frame{
			Kind:   engine.FrameToken,
			Stream: id,
			Index:  index,
			Text:   s.text.tokens[index],
		})
	}
	if ended {
		frames = append(frames, lastFrame(s))
	}
	return frames, ended, nil
}

func lastFrame(s *stream) engine.Frame {
	if s.state == streamCancelled {
		return engine.Frame{
			Kind:    engine.FrameError,
			Stream:  s.id,
			Error:   engine.ErrorCancelled,
			Message: "stream was cancelled",
		}
	}
	return engine.Frame{
		Kind:         engine.FrameDone,
		Stream:       s.id,
		Count:        s.produced,
		FinishReason: s.finishReason,
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens,
	}
}

func (e *Engine) streamWithText(id fleet.StreamID) (*stream, error) {
	s, found := e.streams[id]
	if !found || s.text == nil {
		return nil, e.newError(engine.ErrorUnknownStream, "no such stream is held")
	}
	return s, nil
}

// Cancel stops a stream and bars its identifier for the rest of the incarnation. It is idempotent.
// A stream that was still waiting is reported as never run. Errors are *engine.Error.
func (e *Engine) Cancel(now time.Duration, id fleet.StreamID, incarnation fleet.Incarnation) (engine.CancelResponse, error) {
	e.Advance(now)
	if incarnation != e.incarnation {
		return engine.CancelResponse{}, e.newError(engine.ErrorWrongIncarnation, "stream belongs to another run of this engine")
	}
	if ended, found := e.closed[id]; found {
		return engine.CancelResponse{State: ended.state, Tokens: ended.tokens}, nil
	}
	s, found := e.streams[id]
	if !found {
		e.closed[id] = closedStream{state: engine.CancelNeverRan}
		return engine.CancelResponse{State: engine.CancelNeverRan}, nil
	}
	switch s.state {
	case streamFinished:
		return engine.CancelResponse{State: engine.CancelFinished, Tokens: s.produced}, nil
	case streamWaiting:
		e.waiting.remove(s)
		e.abort(s)
		e.closed[id] = closedStream{state: engine.CancelNeverRan}
		return engine.CancelResponse{State: engine.CancelNeverRan}, nil
	case streamRunning:
		e.abort(s)
	}
	e.closed[id] = closedStream{state: engine.CancelCancelled, tokens: s.produced}
	return engine.CancelResponse{State: engine.CancelCancelled, Tokens: s.produced}, nil
}

// abort ends a live stream early. A step in progress still runs to its end, without the results of
// this stream.
func (e *Engine) abort(s *stream) {
	s.state = streamCancelled
	e.dropReservations(s)
	e.unpinAll(s)
	for position, other := range e.running {
		if other == s {
			e.running = append(e.running[:position], e.running[position+1:]...)
			break
		}
	}
	e.closeStream(s, StreamCancelled)
	e.events.flush(e.now)
}

// StreamEventKind is the kind of a StreamEvent.
type StreamEventKind uint8

// Kinds of stream events.
const (
	StreamFirstToken StreamEventKind = iota
	StreamDone
	StreamCancelled
)

// StreamEvent is a progress event of a stream that was dispatched by DispatchHashed.
type StreamEvent struct {
	Stream fleet.StreamID
	Kind   StreamEventKind
	// At is the time of the event: the end of a step, or the time of the cancellation.
	At           time.Duration
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// TakeStreamEvents returns the events since the last call, oldest first. The slice is valid until
// the next call on the engine.
func (e *Engine) TakeStreamEvents() []StreamEvent {
	events := e.streamEvents
	e.streamEvents = e.streamEvents[:0]
	return events
}

func (e *Engine) recordStreamEvent(s *stream, kind StreamEventKind) {
	e.streamEvents = append(e.streamEvents, StreamEvent{
		Stream:       s.id,
		Kind:         kind,
		At:           e.now,
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens,
		OutputTokens: s.produced,
	})
}
