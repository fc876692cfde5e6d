package gateway

// reportInvalidInput counts and logs what couldn't be read and therefore counts as absent.
// requestID names the request that it belongs to; empty if there is none.
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
