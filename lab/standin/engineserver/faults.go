package engineserver

import (
	"net/http"
	"time"
)

// PathFaults returns (GET) and changes (POST) the faults. A POST changes only the fields that it
// contains. Faults do not affect the control endpoints.
const PathFaults = "/control/faults"

// PathRestart (POST) begins the next incarnation, which aborts open streams.
const PathRestart = "/control/restart"

// Faults are the faults that the server injects. The zero value injects none.
type Faults struct {
	// AnswerDelayMillis is the delay between the effect of a request and its answer.
	AnswerDelayMillis int64 `json:"answer_delay_ms"`
	// Down aborts every connection without an answer or effect. Accepted streams keep running.
	Down bool `json:"down"`
	// LoseAnswers is the probability that a request takes effect but its connection is aborted
	// instead of answered.
	LoseAnswers float64 `json:"lose_answers"`
	// Freeze stops the clock of the engine and all answers, like a paused process.
	Freeze bool `json:"freeze"`
	// EventLoss is the probability that a cache event is lost, EventDelayMillis the delay of the
	// others.
	EventLoss        float64 `json:"event_loss"`
	EventDelayMillis int64   `json:"event_delay_ms"`
	// LoadLagMillis is the minimum age of the reported load.
	LoadLagMillis int64 `json:"load_lag_ms"`
	// LoadTimeMillis is the duration of a load of weights.
	LoadTimeMillis int64 `json:"load_time_ms"`
}

func millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// faultyWriter delays or aborts an answer before its first byte, after the request has taken
// effect.
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
