package engineserver

import (
	"time"

	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// runModel advances the model in real time until the server stops.
func (s *Server) runModel(t *tomb.Tomb) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.advance())
	}
}

// progress changes whenever the model does something that readers may wait for.
type progress struct {
	steps  int64
	events uint64
}

// advance processes what is due and returns the time until the next call is needed.
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

// cancelOrphans cancels streams that have had no reader for the grace period, and reports whether
// there were any.
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

// detach removes a reader from a stream. A live stream without readers becomes an orphan.
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
