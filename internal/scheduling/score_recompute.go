package scheduling

import "time"

// recomputePrice returns the price of the capacity that computing the uncached
// part of a prompt takes from all other requests. Tokens that no engine holds
// are priced alike everywhere and so don't change the order.
func (s *Scheduler) recomputePrice(uncached int) time.Duration {
	return time.Duration(max(uncached, 0)) * s.options.RecomputeWeight
}
