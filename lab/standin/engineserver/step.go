package engineserver

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// runModel drives the model in real time until the stand-in stops.
func (s *Server) runModel(life *tomb.Tomb) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-life.Dying():
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.advance())
	}
}

// progress tells whether the model has done anything that readers wait for,
// be it on the way of a request or in the stepping goroutine.
type progress struct {
	steps  int64
	events uint64
}

// advance does what is due and returns the time until the next thing is.
func (s *Server) advance() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Freeze {
		return idleInterval
	}
	now := s.now()
	s.model.Advance(now)
	cancelled := s.cancelOrphans(now)
	reached := progress{steps: s.model.Counters().Steps, events: s.model.EventSequence()}
	if cancelled || reached != s.notified {
		s.notified = reached
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return s.timeToNext(now)
}

func (s *Server) timeToNext(now time.Duration) time.Duration {
	wait := idleInterval
	if due, found := s.model.NextWakeup(); found {
		wait = min(wait, due-now)
	}
	for _, since := range s.orphans {
		wait = min(wait, since+s.config.Grace-now)
	}
	return max(wait, 0)
}

// cancelOrphans ends streams that nobody has read for the grace time.
func (s *Server) cancelOrphans(now time.Duration) bool {
	cancelled := false
	for id, since := range s.orphans {
		if now-since < s.config.Grace {
			continue
		}
		delete(s.orphans, id)
		outcome, err := s.model.Cancel(now, id, s.model.Incarnation())
		if err != nil {
			continue
		}
		cancelled = true
		s.config.Logger.Info().Str("stream", string(id)).Str("state", string(outcome.State)).Msg("stream_without_reader")
	}
	return cancelled
}

func (s *Server) attach(id fleet.StreamID) {
	s.readers[id]++
	delete(s.orphans, id)
}

// detach takes a reader off a stream that it hasn't read to its end.
func (s *Server) detach(id fleet.StreamID, incarnation fleet.Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if incarnation != s.model.Incarnation() {
		return
	}
	s.readers[id]--
	if s.readers[id] > 0 {
		return
	}
	delete(s.readers, id)
	if _, ended, err := s.model.Frames(id, 0); err != nil || ended {
		return
	}
	s.orphans[id] = s.now()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
