package engineserver

import (
	"net/http"
	"time"
)

// PathFaults reads (GET) and sets (POST) the faults. A POST changes the fields
// that it names. The control paths themselves suffer no faults.
const PathFaults = "/control/faults"

// PathRestart (POST) begins the next incarnation and cuts all connections.
const PathRestart = "/control/restart"

// Faults are what the stand-in does wrong. The zero value is a sound engine.
type Faults struct {
	// AnswerDelayMillis passes between the effect of a request and its answer.
	AnswerDelayMillis int64 `json:"answer_delay_ms"`
	// Down cuts every connection without an answer and without an effect.
	// Accepted streams go on.
	Down bool `json:"down"`
	// LoseAnswers is the probability that a request takes effect and its
	// connection is cut in place of an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// Freeze stops the engine's clock and all answers, as a stopped process.
	Freeze bool `json:"freeze"`
	// EventLoss is the probability that a cache event is lost,
	// EventDelayMillis the delay of those that aren't.
	EventLoss        float64 `json:"event_loss"`
	EventDelayMillis int64   `json:"event_delay_ms"`
	// LoadLagMillis is the least age of reported load.
	LoadLagMillis int64 `json:"load_lag_ms"`
	// LoadTimeMillis is the time to load weights.
	LoadTimeMillis int64 `json:"load_time_ms"`
}

func millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// faultyWriter delays or loses an answer at its first byte, when the request
// has already had its effect.
type faultyWriter struct {
	http.ResponseWriter
	delay   time.Duration
	lose    bool
	done    <-chan struct{}
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *faultyWriter) WriteHeader(status int) {
	w.injectFaults()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *faultyWriter) Write(data []byte) (int, error) {
	w.injectFaults()
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *faultyWriter) injectFaults() {
	if w.started {
		return
	}
	w.started = true
	if w.delay > 0 {
		select {
		case <-time.After(w.delay):
		case <-w.done:
		}
	}
	if w.lose {
		panic(http.ErrAbortHandler)
	}
}
