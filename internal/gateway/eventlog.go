package gateway

import (
	"sync"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Rate limit of log lines about requests, for each event.
const (
	eventsPerSecond = 60
	eventsBurst     = 120
)

// eventLog logs events of single requests at a limited rate for each event. It counts the dropped
// lines.
type eventLog struct {
	logger   zerolog.Logger
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
	dropped  map[string]int
}

func newEventLog(logger zerolog.Logger) *eventLog {
	return &eventLog{logger: logger, limiters: make(map[string]*rate.Limiter), dropped: make(map[string]int)}
}

// line returns a log line for an event, or nil if the event's rate limit is exceeded. All methods
// of a nil line do nothing.
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

// logDropped logs how many lines were dropped since the last call.
func (e *eventLog) logDropped() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for event, count := range e.dropped {
		e.logger.Warn().Str("dropped_event", event).Int("count", count).Msg("lines_dropped")
	}
	clear(e.dropped)
}
