package scheduling

import "time"

// maxCongestionTokens limits the number of tokens of a prompt that are charged for congestion, to
// bound the wait of long prompts for an engine with a warm cache.
const maxCongestionTokens = 6000

// maxDiscountCongestion is the congestion from which on no discount applies: if most engines are
// busy, recomputation only adds to the load.
const maxDiscountCongestion = 0.5

// recomputePrices holds the prices of recomputation in one decision.
type recomputePrices struct {
	perToken time.Duration
	// congestionPerToken is charged in addition for each of the first maxCongestionTokens.
	congestionPerToken time.Duration
}

// cost returns the cost of the capacity that computing uncached tokens takes from other requests.
// Tokens that no engine has cached cost the same everywhere and do not affect the order.
func (p recomputePrices) cost(uncached int) time.Duration {
	uncached = max(uncached, 0)
	return time.Duration(uncached)*p.perToken + time.Duration(min(uncached, maxCongestionTokens))*p.congestionPerToken
}

// congestionAt returns the congestion of an endpoint, from 0 to 1.
func (s *Scheduler) congestionAt(endpoint *Endpoint) float64 {
	if s.options.CongestionWeight <= 0 {
		return 0
	}
	full := max(float64(s.options.CongestedQueue), 1)
	return min(float64(queueTime(endpoint))/full, 1)
}

// recomputePricesAt returns the prices at the given mean congestion, less the request's discount.
func (s *Scheduler) recomputePricesAt(congestion, discount float64) recomputePrices {
	factor := 1 - discount*max(1-congestion/maxDiscountCongestion, 0)
	return recomputePrices{
		perToken:           time.Duration(factor * float64(s.options.RecomputeWeight)),
		congestionPerToken: time.Duration(factor * congestion * float64(s.options.CongestionWeight)),
	}
}
