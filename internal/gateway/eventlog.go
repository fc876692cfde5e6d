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
	// failuresPerSecond and failuresBurst are for lines about failures once the event's own limit is
	// reached. They exceed the requests that a node can carry.
	failuresPerSecond = 1000
	failuresBurst     = 2000
)

// eventLog logs events of single requests at a limited rate for each event. It counts the dropped
// lines.
type eventLog struct {
	logger   zerolog.Logger
	mutex    sync.Mutex
	limiters map[string]*rate.Limiter
	// failures is the common limit of lines about failures.
	failures *rate.Limiter
	dropped  map[string]int
}

func newEventLog(logger zerolog.Logger) *eventLog {
	return &eventLog{
		logger: logger, limiters: make(map[string]*rate.Limiter), failures: rate.NewLimiter(failuresPerSecond, failuresBurst),
		dropped: make(map[string]int),
	}
}

// line returns a log line for an event, or nil if the event's rate limit is exceeded. All methods
// of a nil line do nothing.
func (e *eventLog) line(event string) *zerolog.Event {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lineIf(event, e.isWithinLimit(event))
}

// failureLine is line for an event that tells of a failure. It isn't dropped because many other
// events of its kind were logged.
func (e *eventLog) failureLine(event string) *zerolog.Event {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lineIf(event, e.isWithinLimit(event) || e.failures.Allow())
}

// isWithinLimit counts an event and reports whether it is within the event's rate limit.
func (e *eventLog) isWithinLimit(event string) bool {
	limit := e.limiters[event]
	if limit == nil {
		limit = rate.NewLimiter(eventsPerSecond, eventsBurst)
		e.limiters[event] = limit
	}
	return limit.Allow()
}

// lineIf returns a log line for an event, or nil if it is dropped.
func (e *eventLog) lineIf(event string, logged bool) *zerolog.Event {
	if !logged {
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
