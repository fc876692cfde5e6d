package scheduling

// isReady reports whether the endpoint has responded recently.
func isReady(endpoint *Endpoint) bool {
	return endpoint.Ready
}
