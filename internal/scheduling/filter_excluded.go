package scheduling

import "slices"

// notExcluded reports whether no earlier attempt of the request failed on this run. A later run of
// the same engine is not excluded.
func notExcluded(request *Request, endpoint *Endpoint) bool {
	return !slices.Contains(request.Excluded, endpoint.Run)
}
