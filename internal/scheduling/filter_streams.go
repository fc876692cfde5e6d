package scheduling

// belowMaxStreams removes the endpoints that are full.
func belowMaxStreams(endpoint *Endpoint) bool {
	return endpoint.MaxStreams <= 0 || endpoint.InFlight < endpoint.MaxStreams
}
