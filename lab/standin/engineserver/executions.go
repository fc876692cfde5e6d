package engineserver

import (
	"net/http"
	"slices"

	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// PathExecutions (GET) returns Executions. Faults do not affect it.
const PathExecutions = "/control/executions"

// maxExecutions bounds the recorded streams; later ones are not recorded.
const maxExecutions = 1 << 16

// Executions lists the streams that the server has accepted since New, in order, across all
// incarnations.
type Executions struct {
	Streams []fleet.StreamID `json:"streams"`
}

// recordExecution records an accepted stream. The caller holds the mutex.
func (s *Server) recordExecution(id fleet.StreamID) {
	if len(s.executions) < maxExecutions {
		s.executions = append(s.executions, id)
	}
}

// Executions returns the streams accepted so far.
func (s *Server) Executions() Executions {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Executions{Streams: slices.Clone(s.executions)}
}

func (h *handlers) getExecutions(writer http.ResponseWriter, _ bunrouter.Request) error {
	engine.WriteResponse(writer, h.server.Executions())
	return nil
}
