package scheduling

import "slices"

// notExcluded removes the runs where earlier attempts of the request failed. A
// later run of the same engine is kept.
func notExcluded(request *Request, endpoint *Endpoint) bool {
	return !slices.Contains(request.Excluded, endpoint.Run)
}
