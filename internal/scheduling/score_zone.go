package scheduling

import "time"

// zonePenalty returns the price of an engine outside the agent's zone. An agent
// that gave no zone has no preference.
func (s *Scheduler) zonePenalty(request *Request, endpoint *Endpoint) time.Duration {
	if request.AgentZone == "" || request.AgentZone == endpoint.Zone {
		return 0
	}
	return s.options.ZonePenalty
}
