package scheduling

// notDraining removes the endpoints that get no new work any more.
func notDraining(endpoint *Endpoint) bool {
	return !endpoint.Draining
}
