package scheduling

// isReady keeps the endpoints that have answered lately.
func isReady(endpoint *Endpoint) bool {
	return endpoint.Ready
}
