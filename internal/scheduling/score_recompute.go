package scheduling

import "time"

// maxCongestionTokens bounds the tokens of one prompt that are dearer in congestion:
// the wait for a warm engine would else grow out of proportion for long prompts.
const maxCongestionTokens = 6000

// maxDiscountCongestion is the congestion from which on waiting earns no discount: where
// most engines are busy, all requests wait, and recomputing makes it worse.
const maxDiscountCongestion = 0.5

// recomputePrices are what one decision charges for recomputation.
type recomputePrices struct {
	perToken time.Duration
	// congestionPerToken is charged besides, for each of the first congestedTokens.
	congestionPerToken time.Duration
}

// cost returns the price of the capacity that computing the uncached part
// of a prompt takes from all other requests. Tokens that no engine holds are
// priced alike everywhere and so don't change the order.
func (p recomputePrices) cost(uncached int) time.Duration {
	uncached = max(uncached, 0)
	return time.Duration(uncached)*p.perToken + time.Duration(min(uncached, maxCongestionTokens))*p.congestionPerToken
}

// congestionAt tells how busy an endpoint is, from 0 to 1.
func (s *Scheduler) congestionAt(endpoint *Endpoint) float64 {
	if s.options.CongestionWeight <= 0 {
		return 0
	}
	full := max(float64(s.options.CongestedQueue), 1)
	return min(float64(queueTime(endpoint))/full, 1)
}

// recomputePricesAt returns the recomputePricesAt at a mean congestion of the candidates, less the
// request's discount.
func (s *Scheduler) recomputePricesAt(congestion, discount float64) recomputePrices {
	factor := 1 - discount*max(1-congestion/maxDiscountCongestion, 0)
	return recomputePrices{
		perToken:           time.Duration(factor * float64(s.options.RecomputeWeight)),
		congestionPerToken: time.Duration(factor * congestion * float64(s.options.CongestionWeight)),
	}
}
