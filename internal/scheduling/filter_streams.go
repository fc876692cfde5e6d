package scheduling

// belowMaxStreams reports whether the endpoint can take another stream.
func belowMaxStreams(endpoint *Endpoint) bool {
	return endpoint.MaxStreams <= 0 || endpoint.InFlight < endpoint.MaxStreams
}
