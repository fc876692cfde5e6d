package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/platform"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

const contentTypeJSON = "application/json"

// access distinguishes calls that change the platform from those that only read it.
type access bool

const (
	read  access = false
	write access = true
)

// reply is a successful answer.
type reply struct {
	contentType string
	body        []byte
}

// operation applies one call to the model. The caller holds the mutex.
type operation func(now time.Duration, request *http.Request, body []byte) (reply, error)

// handle returns a handler that applies an operation and injects the faults.
func (s *Server) handle(operation operation, effect access) bunrouter.HandlerFunc {
	return func(writer http.ResponseWriter, request bunrouter.Request) error {
		if s.isDown() {
			dropConnection()
		}
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
		if err != nil {
			return sendError(writer, errors.Wrap(platform.ErrInvalid, err.Error()))
		}
		reply, failure := s.apply(operation, request.Request, body)
		delay, lost := s.answerFault(effect == write)
		if !s.delayAnswer(request.Request, delay) || lost {
			dropConnection()
		}
		if failure != nil {
			return sendError(writer, failure)
		}
		return send(writer, reply)
	}
}

func (s *Server) apply(operation operation, request *http.Request, body []byte) (reply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return operation(s.clock.Now(), request, body)
}

// delayAnswer waits for the delay. It returns false if the caller has disconnected or the server is
// stopping.
func (s *Server) delayAnswer(request *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	case <-s.tomb.Dying():
		return false
	}
}

func (s *Server) getRow(now time.Duration, request *http.Request, _ []byte) (reply, error) {
	s.counters.Get++
	row, err := s.model.Get(now, request.URL.Query().Get(platform.ParameterKey))
	return s.encode(row, err)
}

func (s *Server) listRows(now time.Duration, request *http.Request, _ []byte) (reply, error) {
	s.counters.List++
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get(platform.ParameterLimit))
	if err != nil {
		return reply{}, errors.Wrap(platform.ErrInvalid, "limit isn't a number")
	}
	rows, err := s.model.List(now, query.Get(platform.ParameterPrefix), query.Get(platform.ParameterAfter), limit)
	return s.encode(platform.RowsResponse{Rows: rows}, err)
}

func (s *Server) commit(now time.Duration, _ *http.Request, body []byte) (reply, error) {
	s.counters.Commit++
	var transaction platform.Transaction
	if err := json.Unmarshal(body, &transaction); err != nil {
		return reply{}, errors.Wrap(platform.ErrInvalid, err.Error())
	}
	return s.encode(struct{}{}, s.model.Commit(now, transaction))
}

func (s *Server) getObject(now time.Duration, request *http.Request, _ []byte) (reply, error) {
	s.counters.GetObject++
	body, err := s.model.GetObject(now, request.URL.Query().Get(platform.ParameterName))
	if err != nil {
		return s.encode(nil, err)
	}
	return reply{contentType: "application/octet-stream", body: body}, nil
}

func (s *Server) putObject(now time.Duration, request *http.Request, body []byte) (reply, error) {
	s.counters.PutObject++
	err := s.model.PutObject(now, request.URL.Query().Get(platform.ParameterName), body)
	return s.encode(struct{}{}, err)
}

func (s *Server) listMachines(now time.Duration, _ *http.Request, _ []byte) (reply, error) {
	s.counters.ListMachines++
	return s.encode(platform.MachinesResponse{Machines: s.model.ListMachines(now)}, nil)
}

func (s *Server) weightStore(now time.Duration, _ *http.Request, _ []byte) (reply, error) {
	s.counters.WeightStore++
	return s.encode(s.model.Weights().Status(now), nil)
}

// encode counts a rejection by the rate limit and encodes a successful answer.
func (s *Server) encode(value any, err error) (reply, error) {
	if errors.Is(err, platform.ErrRateLimited) {
		s.counters.RateLimited++
	}
	if err != nil {
		return reply{}, err
	}
	body, err := json.Marshal(value)
	return reply{contentType: contentTypeJSON, body: body}, err
}

func send(writer http.ResponseWriter, reply reply) error {
	writer.Header().Set("Content-Type", reply.contentType)
	_, err := writer.Write(reply.body)
	return err
}

func sendError(writer http.ResponseWriter, failure error) error {
	body, err := json.Marshal(platform.ErrorResponse{Message: failure.Error()})
	if err != nil {
		return err
	}
	writer.Header().Set("Content-Type", contentTypeJSON)
	writer.WriteHeader(statusOf(failure))
	_, err = writer.Write(body)
	return err
}

func statusOf(failure error) int {
	switch {
	case errors.Is(failure, platform.ErrRateLimited):
		return http.StatusTooManyRequests
	case errors.Is(failure, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(failure, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(failure, platform.ErrInvalid):
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}
