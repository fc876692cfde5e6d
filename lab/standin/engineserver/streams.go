package engineserver

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// reader copies one stream to one connection at the pace of the connection.
type reader struct {
	handlers    *handlers
	writer      http.ResponseWriter
	request     bunrouter.Request
	stream      fleet.StreamID
	incarnation fleet.Incarnation
	next        int
}

func (h *handlers) dispatch(writer http.ResponseWriter, request bunrouter.Request) error {
	var body engine.DispatchRequest
	if err := engine.ReadRequest(request.Request, maxBodyBytes, &body); err != nil {
		return h.fail(writer, err)
	}
	s := h.server
	s.mutex.Lock()
	err := s.model.Dispatch(s.now(), body)
	if err == nil {
		s.recordExecution(body.StreamID)
		s.attach(body.StreamID)
		s.notify()
	}
	s.mutex.Unlock()
	if err != nil {
		return h.fail(writer, err)
	}
	return h.serveStream(writer, request, body.StreamID, body.Incarnation, len(body.Continuation))
}

func (h *handlers) resume(writer http.ResponseWriter, request bunrouter.Request) error {
	id := streamID(request)
	offset, err := strconv.Atoi(request.URL.Query().Get("offset"))
	if err != nil {
		return h.fail(writer, &engine.Error{Code: engine.ErrorBadRequest, Message: "offset must be a number"})
	}
	s := h.server
	s.mutex.Lock()
	s.model.Advance(s.now())
	incarnation := s.model.Incarnation()
	_, _, err = s.model.Frames(id, offset)
	if err == nil {
		s.attach(id)
	}
	s.mutex.Unlock()
	if err != nil {
		return h.fail(writer, err)
	}
	return h.serveStream(writer, request, id, incarnation, offset)
}

// streamID returns the stream identifier in the path. The router leaves parameters escaped if the
// path has an escaped form of its own.
func streamID(request bunrouter.Request) fleet.StreamID {
	id := request.Param("id")
	if request.URL.RawPath == "" {
		return fleet.StreamID(id)
	}
	if plain, err := url.PathUnescape(id); err == nil {
		id = plain
	}
	return fleet.StreamID(id)
}

// serveStream writes a stream from offset on. The caller has attached to the stream.
func (h *handlers) serveStream(
	writer http.ResponseWriter, request bunrouter.Request,
	id fleet.StreamID, incarnation fleet.Incarnation, offset int,
) error {
	defer h.server.detach(id, incarnation)
	r := &reader{handlers: h, writer: writer, request: request, stream: id, incarnation: incarnation, next: offset}
	accepted, err := r.acceptedFrame()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", engine.EventStreamType)
	writer.WriteHeader(http.StatusOK)
	if err := r.writeFrames([]engine.Frame{accepted}); err != nil {
		return nil
	}
	r.copyFrames()
	return nil
}

// copyFrames writes frames until the last one, or until the connection, the incarnation or the
// server ends.
func (r *reader) copyFrames() {
	for {
		frames, ended, changed, err := r.pendingFrames()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := r.writeFrames(frames); err != nil || ended {
			return
		}
		select {
		case <-changed:
		case <-r.request.Context().Done():
			return
		case <-r.handlers.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
		r.handlers.waitWhileFrozen(r.request)
	}
}

var errUnavailable = errors.New("engine is down or has restarted")

func (r *reader) acceptedFrame() (engine.Frame, error) {
	s := r.handlers.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.model.Incarnation() != r.incarnation {
		return engine.Frame{}, errUnavailable
	}
	return s.model.AcceptedFrame(r.stream)
}

// pendingFrames returns the frames that have not been written yet.
func (r *reader) pendingFrames() (frames []engine.Frame, ended bool, changed <-chan struct{}, err error) {
	s := r.handlers.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down || s.model.Incarnation() != r.incarnation {
		return nil, false, nil, errUnavailable
	}
	frames, ended, err = s.model.Frames(r.stream, r.next)
	return frames, ended, s.changed, err
}

func (r *reader) writeFrames(frames []engine.Frame) error {
	if len(frames) == 0 {
		return nil
	}
	controller := http.NewResponseController(r.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(r.handlers.server.config.WriteTimeout))
	for _, frame := range frames {
		if err := engine.WriteFrame(r.writer, frame); err != nil {
			return err
		}
		if frame.Kind == engine.FrameToken {
			r.next = frame.Index + 1
		}
	}
	return controller.Flush()
}
