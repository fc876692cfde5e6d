package scheduling

// Names of the filters, as reported in Candidate.RemovedBy.
const (
	FilterPool         = "pool"
	FilterDraining     = "leaving"
	FilterReady        = "ready"
	FilterExcluded     = "excluded"
	FilterModelVersion = "weights"
	FilterStreams      = "max_streams"
)

// removedBy returns the name of the first filter that removes an endpoint, or "" if it passes all
// of them. Permanent reasons are checked before transient ones, so that an explanation names the
// more useful one. The filters are called directly, since calls through function values would
// allocate the request on the heap.
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
