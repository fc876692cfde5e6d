package gateway

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
