package scheduling

// servesModelVersion keeps the endpoints with exactly the request's weights loaded.
func servesModelVersion(request *Request, endpoint *Endpoint) bool {
	return endpoint.Serves != nil && endpoint.Serves(request.ModelVersion)
}
