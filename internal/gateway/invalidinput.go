package gateway

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// inputUnsolicited is the source of an invalid input in the metrics: bytes of a worker that belong to no request.
const inputUnsolicited = "unsolicited_bytes"

// reportUnsolicited counts and logs a connection that is closed because a worker sent bytes on it although no
// response was due.
func (g *Gateway) reportUnsolicited(worker fleet.EngineID, address fleet.Address) {
	g.metrics.invalidInputs.WithLabelValues(inputUnsolicited).Inc()
	g.events.line("unsolicited_bytes").Str("worker", string(worker)).Str("address", string(address)).
		Err(upstream.ErrUnsolicitedData).Msg("unsolicited_bytes")
}

// reportInvalidInput counts and logs inputs that could not be decoded and are treated as absent.
// requestID identifies the request they belong to, empty if there is none.
func (g *Gateway) reportInvalidInput(requestID string, entries []InvalidInput) {
	for _, entry := range entries {
		g.metrics.invalidInputs.WithLabelValues(entry.Source).Inc()
		line := g.events.line("unreadable_input").Str("source", entry.Source).Err(entry.Err)
		if entry.Key != "" {
			line = line.Str("key", entry.Key)
		}
		if requestID != "" {
			line = line.Str("request_id", requestID)
		}
		line.Msg("unreadable_input")
	}
}
