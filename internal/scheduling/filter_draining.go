package scheduling

// notDraining reports whether the endpoint accepts new work.
func notDraining(endpoint *Endpoint) bool {
	return !endpoint.Draining
}
