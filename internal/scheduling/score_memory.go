package scheduling

import "time"

// memoryCost returns the cost of exceeding an endpoint's memory.
func (s *Scheduler) memoryCost(endpoint *Endpoint) time.Duration {
	if endpoint.MemoryTokens <= 0 {
		return 0
	}
	return time.Duration(max(endpoint.MemoryUsed-endpoint.MemoryTokens, 0)) * s.options.MemoryWeight
}
