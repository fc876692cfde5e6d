package scheduling

// servesModelVersion reports whether the endpoint has loaded exactly the requested model version.
func servesModelVersion(request *Request, endpoint *Endpoint) bool {
	return endpoint.Serves != nil && endpoint.Serves(request.ModelVersion)
}
