package platformserver

import (
	"net/http"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

// Faults is the body of a POST to PathFaults, which replaces all faults.
type Faults struct {
	// Down aborts each connection without an answer or effect.
	Down bool `json:"down"`
	// AnswerDelay is the delay between the effect of a call and its answer.
	AnswerDelay config.Duration `json:"slow"`
	// LoseAnswers is the number of calls that take effect but whose connections are aborted instead
	// of answered. A negative number means all.
	LoseAnswers int `json:"lose_answers"`
	// LoseWritesOnly limits LoseAnswers to writes.
	LoseWritesOnly bool `json:"lose_writes_only"`
	// MachineLag is the age of the list of machines.
	MachineLag config.Duration `json:"machine_lag"`
	// Rate limits the calls to tables and objects. The zero value means no limit.
	Rate platformmodel.Rate `json:"rate"`
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Rate != s.faults.Rate {
		s.model.SetRate(faults.Rate)
	}
	s.model.SetMachineLag(time.Duration(faults.MachineLag))
	s.faults = faults
}

// isDown reports whether connections are aborted.
func (s *Server) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Down
}

// answerFault returns the delay of the answer to a call that took effect, and whether the answer is
// lost.
func (s *Server) answerFault(write bool) (delay time.Duration, lost bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delay = time.Duration(s.faults.AnswerDelay)
	if s.faults.LoseAnswers == 0 || (s.faults.LoseWritesOnly && !write) {
		return delay, false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	return delay, true
}

// dropConnection aborts the connection without an answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}
