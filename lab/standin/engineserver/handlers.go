package engineserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/engine"
)

// handlers serves requests from one Start to the next Stop or Kill.
type handlers struct {
	server *Server
	tomb   *tomb.Tomb
}

func (s *Server) routes(t *tomb.Tomb) http.Handler {
	h := &handlers{server: s, tomb: t}
	router := bunrouter.New()
	router.GET(PathFaults, h.getFaults)
	router.POST(PathFaults, h.postFaults)
	router.POST(PathRestart, h.postRestart)
	router.GET(PathExecutions, h.getExecutions)
	faulty := router.NewGroup("", bunrouter.WithMiddleware(h.applyFaults))
	faulty.POST(engine.PathStreams, h.dispatch)
	faulty.GET(engine.PathResume, h.resume)
	faulty.POST(engine.PathCancel, h.cancel)
	faulty.GET(engine.PathStatus, h.status)
	faulty.GET(engine.PathEvents, h.events)
	faulty.GET(engine.PathCache, h.cache)
	faulty.POST(engine.PathOrders, h.order)
	faulty.POST(engine.PathExport, h.export)
	faulty.POST(engine.PathImport, h.importBundle)
	return router
}

// applyFaults blocks, aborts or marks a request according to the faults at its arrival.
func (h *handlers) applyFaults(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(writer http.ResponseWriter, request bunrouter.Request) error {
		h.waitWhileFrozen(request)
		s := h.server
		s.mutex.Lock()
		faults := s.faults
		lose := faults.LoseAnswers > 0 && s.random.Float64() < faults.LoseAnswers
		s.mutex.Unlock()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		faulty := &faultyWriter{
			ResponseWriter: writer,
			delay:          millis(faults.AnswerDelayMillis),
			lose:           lose,
			done:           request.Context().Done(),
		}
		return next(faulty, request)
	}
}

// waitWhileFrozen blocks a request while the engine is frozen.
func (h *handlers) waitWhileFrozen(request bunrouter.Request) {
	s := h.server
	for {
		s.mutex.Lock()
		frozen := s.faults.Freeze
		changed := s.changed
		s.mutex.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		case <-h.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
	}
}

// fail answers with an error of the model or of the codec.
func (h *handlers) fail(writer http.ResponseWriter, err error) error {
	var failure *engine.Error
	if !errors.As(err, &failure) {
		failure = &engine.Error{Code: engine.ErrorInternal, Message: err.Error()}
	}
	if failure.Incarnation == 0 {
		h.server.mutex.Lock()
		failure.Incarnation = h.server.model.Incarnation()
		h.server.mutex.Unlock()
	}
	engine.WriteError(writer, failure)
	return nil
}

func (h *handlers) cancel(writer http.ResponseWriter, request bunrouter.Request) error {
	var body engine.CancelRequest
	if err := engine.ReadRequest(request.Request, maxBodyBytes, &body); err != nil {
		return h.fail(writer, err)
	}
	s := h.server
	id := streamID(request)
	s.mutex.Lock()
	answer, err := s.model.Cancel(s.now(), id, body.Incarnation)
	if err == nil {
		delete(s.orphans, id)
	}
	s.notify()
	s.mutex.Unlock()
	if err != nil {
		return h.fail(writer, err)
	}
	engine.WriteResponse(writer, answer)
	return nil
}

func (h *handlers) status(writer http.ResponseWriter, _ bunrouter.Request) error {
	engine.WriteResponse(writer, h.server.Status())
	return nil
}

func (h *handlers) cache(writer http.ResponseWriter, _ bunrouter.Request) error {
	s := h.server
	s.mutex.Lock()
	snapshot := s.model.CacheSnapshot(s.now())
	s.mutex.Unlock()
	engine.WriteResponse(writer, snapshot)
	return nil
}

func (h *handlers) order(writer http.ResponseWriter, request bunrouter.Request) error {
	var body engine.Order
	if err := engine.ReadRequest(request.Request, maxBodyBytes, &body); err != nil {
		return h.fail(writer, err)
	}
	s := h.server
	s.mutex.Lock()
	err := s.model.ApplyOrder(s.now(), body)
	s.notify()
	s.mutex.Unlock()
	if err != nil {
		return h.fail(writer, err)
	}
	engine.WriteResponse(writer, struct{}{})
	return nil
}

func (h *handlers) export(writer http.ResponseWriter, request bunrouter.Request) error {
	var body engine.KVExportRequest
	if err := engine.ReadRequest(request.Request, maxBodyBytes, &body); err != nil {
		return h.fail(writer, err)
	}
	s := h.server
	s.mutex.Lock()
	bundle, err := s.model.Export(s.now(), body)
	s.mutex.Unlock()
	if err != nil {
		return h.fail(writer, err)
	}
	engine.WriteResponse(writer, bundle)
	return nil
}

// importBundle answers once the blocks are in the cache.
func (h *handlers) importBundle(writer http.ResponseWriter, request bunrouter.Request) error {
	var bundle engine.KVBundle
	if err := engine.ReadRequest(request.Request, maxBodyBytes, &bundle); err != nil {
		return h.fail(writer, err)
	}
	s := h.server
	s.mutex.Lock()
	now := s.now()
	readyAt, err := s.model.Import(now, bundle)
	s.notify()
	s.mutex.Unlock()
	if err != nil {
		return h.fail(writer, err)
	}
	select {
	case <-time.After(readyAt - now):
	case <-request.Context().Done():
	case <-h.tomb.Dying():
		panic(http.ErrAbortHandler)
	}
	engine.WriteResponse(writer, struct{}{})
	return nil
}

// events answers a long poll: at once if there are events or the position of the reader is from
// another incarnation, otherwise when the wait ends.
func (h *handlers) events(writer http.ResponseWriter, request bunrouter.Request) error {
	query := request.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return h.fail(writer, &engine.Error{Code: engine.ErrorBadRequest, Message: "after must be a sequence number"})
	}
	waitMillis, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || waitMillis < 0 || waitMillis > maxEventWait.Milliseconds() {
		return h.fail(writer, &engine.Error{Code: engine.ErrorBadRequest, Message: "wait_ms is out of range"})
	}
	timeout := time.NewTimer(millis(waitMillis))
	defer timeout.Stop()
	incarnation := h.server.Status().Incarnation
	for {
		answer, ready, next, changed := h.pollEvents(after)
		if ready || waitMillis == 0 || answer.Incarnation != incarnation {
			engine.WriteResponse(writer, answer)
			return nil
		}
		select {
		case <-timeout.C:
			waitMillis = 0
		case <-time.After(next):
		case <-changed:
		case <-request.Context().Done():
			return nil
		case <-h.tomb.Dying():
			panic(http.ErrAbortHandler)
		}
		h.waitWhileFrozen(request)
	}
}

// pollEvents returns the current answer, whether it is ready to be sent, and otherwise when to poll
// again.
func (h *handlers) pollEvents(after uint64) (engine.CacheEvents, bool, time.Duration, <-chan struct{}) {
	s := h.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	answer := engine.CacheEvents{Incarnation: s.model.Incarnation(), Events: s.model.CacheEventsAfter(now, after)}
	ready := len(answer.Events) > 0 || after > s.model.EventSequence()
	next := idleInterval
	if due, found := s.model.NextCacheEventAfter(after); found {
		next = min(next, max(due-now, time.Millisecond))
	}
	return answer, ready, next, s.changed
}

func (h *handlers) getFaults(writer http.ResponseWriter, _ bunrouter.Request) error {
	engine.WriteResponse(writer, h.server.Faults())
	return nil
}

func (h *handlers) postFaults(writer http.ResponseWriter, request bunrouter.Request) error {
	var changes json.RawMessage
	if err := engine.ReadRequest(request.Request, maxBodyBytes, &changes); err != nil {
		return h.fail(writer, err)
	}
	faults, err := h.server.changeFaults(changes)
	if err != nil {
		return h.fail(writer, &engine.Error{Code: engine.ErrorBadRequest, Message: err.Error()})
	}
	engine.WriteResponse(writer, faults)
	return nil
}

// postRestart begins the next incarnation. Open streams of the old one are aborted.
func (h *handlers) postRestart(writer http.ResponseWriter, _ bunrouter.Request) error {
	h.server.nextIncarnation()
	engine.WriteResponse(writer, h.server.Status())
	return nil
}
