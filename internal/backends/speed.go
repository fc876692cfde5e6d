package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Parameters of the speed estimates.
const (
	// Prompts with at most shortUncached uncached tokens are samples of the base time to the first
	// token. Those with at least longUncached uncached tokens are samples of the prefill time per
	// token.
	shortUncached = 400
	longUncached  = 1500
	// decreaseWeight is the weight of a sample below the estimate, and increaseWeight of one above
	// it: queued work or cache misses that this node does not know of only make samples slower.
	decreaseWeight = 0.3
	increaseWeight = 0.01
	// minPerToken and maxPerToken bound the samples of the prefill time per token.
	minPerToken = time.Microsecond
	// slotTimeWeight is the weight of one sample in the mean slot time.
	slotTimeWeight = 0.02
	maxPerToken    = time.Millisecond
)

// speedEstimate is the measured speed of a service's engines, from the first tokens of requests at
// engines without other prefill work.
type speedEstimate struct {
	// firstToken is the time to the first token without prefill, and perToken the prefill time per
	// token.
	firstToken time.Duration
	perToken   time.Duration
	// slotTime is the mean time for which a request occupies an engine.
	slotTime time.Duration
}

// record adds the time to the first token of a prompt with the given number of uncached tokens.
func (s *speedEstimate) record(uncached int, elapsed time.Duration) {
	switch {
	case uncached <= shortUncached:
		s.firstToken = updateEstimate(s.firstToken, elapsed-time.Duration(uncached)*s.perToken)
	case uncached >= longUncached && s.firstToken > 0:
		sample := (elapsed - s.firstToken) / time.Duration(uncached)
		s.perToken = updateEstimate(s.perToken, min(max(sample, minPerToken), maxPerToken))
	}
}

// updateEstimate moves an estimate towards a sample. An estimate of 0 is replaced.
func updateEstimate(estimate, sample time.Duration) time.Duration {
	sample = max(sample, 1)
	if estimate == 0 {
		return sample
	}
	weight := increaseWeight
	if sample < estimate {
		weight = decreaseWeight
	}
	return estimate + time.Duration(weight*float64(sample-estimate))
}

// perToken returns the prefill time per token of a service's engines. The mutex must be held.
func (r *Registry) perToken(service fleet.PoolName) time.Duration {
	if estimate := r.speedEstimates[service]; estimate != nil {
		return estimate.perToken
	}
	return r.options.PrefillPerToken
}

// slotTime returns the mean time for which a request occupies an engine of a service, or 0 if
// unknown. The mutex must be held.
func (r *Registry) slotTime(service fleet.PoolName) time.Duration {
	if estimate := r.speedEstimates[service]; estimate != nil {
		return estimate.slotTime
	}
	return 0
}

// recordSlotTime adds the time for which a request occupied an engine. The mutex must be held.
func (r *Registry) recordSlotTime(placement *Placement, elapsed time.Duration) {
	if placement.Engine == nil {
		return
	}
	estimate := r.speedEstimateOf(placement.Worker.Service)
	if estimate.slotTime == 0 {
		estimate.slotTime = elapsed
	}
	estimate.slotTime += time.Duration(slotTimeWeight * float64(elapsed-estimate.slotTime))
}

// speedEstimateOf returns the estimate of a service's engines and creates it if needed. The mutex
// must be held.
func (r *Registry) speedEstimateOf(service fleet.PoolName) *speedEstimate {
	estimate := r.speedEstimates[service]
	if estimate == nil {
		estimate = &speedEstimate{perToken: r.options.PrefillPerToken}
		r.speedEstimates[service] = estimate
	}
	return estimate
}

// recordSpeed adds the time to the first token of a request. Requests that waited for other prefill
// work or imported parts are ignored. The mutex must be held.
func (r *Registry) recordSpeed(placement *Placement, elapsed time.Duration) {
	if placement.PrefillTokens > 0 || placement.Engine.ImportFrom != "" {
		return
	}
	r.speedEstimateOf(placement.Worker.Service).record(placement.work.prefillTokens, elapsed)
}
