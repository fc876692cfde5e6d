package scheduling

// servesWeights keeps the endpoints with exactly the request's weights loaded.
func servesWeights(request *Request, endpoint *Endpoint) bool {
	return endpoint.Serves != nil && endpoint.Serves(request.Weights)
}
