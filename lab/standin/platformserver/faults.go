package platformserver

import (
	"net/http"
	"time"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

// Faults is the body of POST PathFaults; it replaces all faults at once.
type Faults struct {
	// Down closes each connection without effect or answer.
	Down bool `json:"down"`
	// AnswerDelay delays each answer; the effect comes first.
	AnswerDelay config.Duration `json:"slow"`
	// LoseAnswers closes the connection after the effect for the next calls, as
	// many as it says; a negative number means all.
	LoseAnswers int `json:"lose_answers"`
	// LoseWritesOnly leaves the answers to reads alone.
	LoseWritesOnly bool `json:"lose_writes_only"`
	// MachineLag is the age of what the list of machines shows.
	MachineLag config.Duration `json:"machine_lag"`
	// Rate limits tables and objects; the zero value is no limit.
	Rate platformmodel.Rate `json:"rate"`
}

// SetFaults replaces all faults at once.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Rate != s.faults.Rate {
		s.model.SetRate(faults.Rate)
	}
	s.model.SetMachineLag(time.Duration(faults.MachineLag))
	s.faults = faults
}

// isDown tells whether calls are dropped unread.
func (s *Server) isDown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Down
}

// answerFault tells, after a call's effect, how long its answer is delayed and
// whether it is lost.
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

// dropConnection ends the call without an answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}
