package scheduling

import "time"

// congestedTokens bounds the tokens of one prompt that are dearer in congestion:
// the wait for a warm engine would else grow out of proportion for long prompts.
const congestedTokens = 6000

// discountUpTo is the congestion from which on waiting earns no discount: where
// most engines are busy, all requests wait, and recomputing makes it worse.
const discountUpTo = 0.5

// prices are what one decision charges for recomputation.
type prices struct {
	perToken time.Duration
	// congested is charged besides, for each of the first congestedTokens.
	congested time.Duration
}

// recompute returns the price of the capacity that computing the uncached part
// of a prompt takes from all other requests. Tokens that no engine holds are
// priced alike everywhere and so don't change the order.
func (p prices) recompute(uncached int) time.Duration {
	uncached = max(uncached, 0)
	return time.Duration(uncached)*p.perToken + time.Duration(min(uncached, congestedTokens))*p.congested
}

// congestionAt tells how busy an endpoint is, from 0 to 1.
func (s *Scheduler) congestionAt(endpoint *Endpoint) float64 {
	if s.options.CongestionWeight <= 0 {
		return 0
	}
	full := max(float64(s.options.CongestedQueue), 1)
	return min(float64(queueTime(endpoint))/full, 1)
}

// prices returns the prices at a mean congestion of the candidates, less the
// request's discount.
func (s *Scheduler) prices(congestion, discount float64) prices {
	kept := 1 - discount*max(1-congestion/discountUpTo, 0)
	return prices{
		perToken:  time.Duration(kept * float64(s.options.RecomputeWeight)),
		congested: time.Duration(kept * congestion * float64(s.options.CongestionWeight)),
	}
}
