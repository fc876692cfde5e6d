package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Constants of the measurement of engines' speed.
const (
	// shortUncached and longUncached are the numbers of prompt tokens up to and from
	// which a first token's time tells the time of a first token alone, or that of
	// reading.
	shortUncached = 400
	longUncached  = 1500
	// decreaseWeight is the part of a sample in the estimate if it is quicker, and
	// slowerWeight if it is slower: what is believed of queues and caches is often
	// wrong, and then the time is longer.
	decreaseWeight = 0.3
	increaseWeight = 0.01
	// minPerToken and mostPerToken bound the estimate of a token's time.
	minPerToken = time.Microsecond
	// slotTimeWeight is the part of one sample in the mean time at an engine.
	slotTimeWeight = 0.02
	maxPerToken    = time.Millisecond
)

// speedEstimate is how fast the engines of a service are, by the first tokens of requests
// at engines that had nothing else to read.
type speedEstimate struct {
	// firstToken is the time of a firstToken token without reading, perToken that of reading a
	// prompt token.
	firstToken time.Duration
	perToken   time.Duration
	// slotTime is the mean time for which a request is at an engine.
	slotTime time.Duration
}

// record takes in how long the first token of a prompt with so many uncached tokens
// took.
func (s *speedEstimate) record(uncached int, took time.Duration) {
	switch {
	case uncached <= shortUncached:
		s.firstToken = updateEstimate(s.firstToken, took-time.Duration(uncached)*s.perToken)
	case uncached >= longUncached && s.firstToken > 0:
		sample := (took - s.firstToken) / time.Duration(uncached)
		s.perToken = updateEstimate(s.perToken, min(max(sample, minPerToken), maxPerToken))
	}
}

// updateEstimate moves an estimate towards a sample; 0 is no estimate.
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

// perToken returns the time in which a service's engines read a prompt token; the
// mutex is held.
func (r *Registry) perToken(service fleet.PoolName) time.Duration {
	if estimate := r.speedEstimates[service]; estimate != nil {
		return estimate.perToken
	}
	return r.options.PrefillPerToken
}

// slotTime returns the mean time for which a request is at a service's engines, 0 if
// none has ended; the mutex is held.
func (r *Registry) slotTime(service fleet.PoolName) time.Duration {
	if estimate := r.speedEstimates[service]; estimate != nil {
		return estimate.slotTime
	}
	return 0
}

// recordSlotTime takes in how long a request was at an engine; the mutex is held.
func (r *Registry) recordSlotTime(placement *Placement, took time.Duration) {
	if placement.Engine == nil {
		return
	}
	estimate := r.speedEstimateOf(placement.Worker.Service)
	if estimate.slotTime == 0 {
		estimate.slotTime = took
	}
	estimate.slotTime += time.Duration(slotTimeWeight * float64(took-estimate.slotTime))
}

// speedEstimateOf returns the estimates of a service's engines; the mutex is held.
func (r *Registry) speedEstimateOf(service fleet.PoolName) *speedEstimate {
	estimate := r.speedEstimates[service]
	if estimate == nil {
		estimate = &speedEstimate{perToken: r.options.PrefillPerToken}
		r.speedEstimates[service] = estimate
	}
	return estimate
}

// recordSpeed takes in the first token of a request; the mutex is held.
func (r *Registry) recordSpeed(placement *Placement, took time.Duration) {
	if placement.PrefillTokens > 0 || placement.Engine.ImportFrom != "" {
		return
	}
	r.speedEstimateOf(placement.Worker.Service).record(placement.work.prefillTokens, took)
}
