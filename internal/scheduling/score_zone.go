package scheduling

import "time"

// zonePenalty returns the penalty for an engine outside the agent's zone. It is 0 if the agent's
// zone is unknown.
func (s *Scheduler) zonePenalty(request *Request, endpoint *Endpoint) time.Duration {
	if request.AgentZone == "" || request.AgentZone == endpoint.Zone {
		return 0
	}
	return s.options.ZonePenalty
}
