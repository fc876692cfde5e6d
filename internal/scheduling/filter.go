package scheduling

// Names of the filters in explanations.
const (
	FilterPool         = "pool"
	FilterDraining     = "leaving"
	FilterReady        = "ready"
	FilterExcluded     = "excluded"
	FilterModelVersion = "weights"
	FilterStreams      = "max_streams"
)

// removedBy runs the chain of filters and returns the name of the first that
// removes an endpoint, or "". Lasting reasons come before passing ones, so that
// an explanation names the reason that matters. The calls are direct: through
// function values every decision would allocate its request.
func removedBy(request *Request, endpoint *Endpoint) string {
	switch {
	case !inPool(request, endpoint):
		return FilterPool
	case !notDraining(endpoint):
		return FilterDraining
	case !isReady(endpoint):
		return FilterReady
	case !notExcluded(request, endpoint):
		return FilterExcluded
	case !servesModelVersion(request, endpoint):
		return FilterModelVersion
	case !belowMaxStreams(endpoint):
		return FilterStreams
	default:
		return ""
	}
}
