package scheduling

// notLeaving removes the endpoints that get no new work any more.
func notLeaving(endpoint *Endpoint) bool {
	return !endpoint.Leaving
}
