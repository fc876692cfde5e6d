package scheduling

// inPool keeps the endpoints of the pool that serves the request's model.
func inPool(request *Request, endpoint *Endpoint) bool {
	return endpoint.Pool == request.Pool
}
