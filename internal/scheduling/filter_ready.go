package scheduling

// ready keeps the endpoints that have answered lately.
func ready(endpoint *Endpoint) bool {
	return endpoint.Ready
}
