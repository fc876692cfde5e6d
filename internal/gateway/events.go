package gateway

import (
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Bounds on log lines about requests, by event.
const (
	eventsPerSecond = 60
	eventsBurst     = 120
)

// eventLog bounds the lines about single requests, so that a flood of them
// doesn't become a flood of lines. What is left out is counted and told.
type eventLog struct {
	logger   zerolog.Logger
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
	dropped  map[string]int
}

func newEventLog(logger zerolog.Logger) *eventLog {
	return &eventLog{logger: logger, limiters: make(map[string]*rate.Limiter), dropped: make(map[string]int)}
}

// line returns a line for an event, or nil, on which all methods do nothing, if
// there were too many of the event.
func (e *eventLog) line(event string) *zerolog.Event {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	limit := e.limiters[event]
	if limit == nil {
		limit = rate.NewLimiter(eventsPerSecond, eventsBurst)
		e.limiters[event] = limit
	}
	if !limit.Allow() {
		e.dropped[event]++
		return nil
	}
	return e.logger.Info()
}

// logDropped tells how many lines were left out since the last logDropped.
func (e *eventLog) logDropped() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for event, count := range e.dropped {
		e.logger.Warn().Str("dropped_event", event).Int("count", count).Msg("lines_dropped")
	}
	clear(e.dropped)
}
