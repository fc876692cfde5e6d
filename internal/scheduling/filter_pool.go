package scheduling

// inPool reports whether the endpoint belongs to the pool that serves the request's model.
func inPool(request *Request, endpoint *Endpoint) bool {
	return endpoint.Pool == request.Pool
}
