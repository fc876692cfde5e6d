package delivery

import (
	"time"
)

// Parameters of the schedule. Let R be the request rate, T the time from the order to the deadline,
// e the allowed fraction of all requests, k the allowed additional requests, s the canary share,
// and d how long before the deadline the shift starts. The target then gets s·(T-d)·R + d·R
// requests, which is kept at or below exposureMargin·e·T·R + slackMargin·k.
const (
	// exposureMargin is the planned fraction of the allowed exposure. The rest covers retries, load
	// peaks and nodes that receive directives late.
	exposureMargin = 0.8
	// slackMargin is the planned fraction of the additional requests. The rest covers random
	// variation at low rates.
	slackMargin = 0.5
	// shiftFraction is the fraction of the exposure that is reserved for the shift, in which old
	// workers drain. The rest is for canary requests.
	shiftFraction = 0.5
	// maxShift is the longest shift. Within it, less finishReserve, nearly all requests at old workers
	// finish: they take 0.3 to 1.5 s.
	maxShift = 1400 * time.Millisecond
	// minShift is reserved for the shift however much exposure is spent, since a good version can't
	// be completed without a shift. It includes finishReserve.
	minShift = 350 * time.Millisecond
	// finishReserve is how long before the deadline the last decision is taken. It covers one write
	// to the store and one evaluation.
	finishReserve = 200 * time.Millisecond
	// shiftNotice is how long before its start a shift is announced: two report intervals.
	shiftNotice = 1300 * time.Millisecond
	// maxShare limits a route's canary share, so that the old workers still provide a baseline.
	maxShare = 0.3
	// extendedDuration is the duration of a delivery that had no director until its deadline or
	// shortly before.
	extendedDuration = 8 * time.Second
	// minRemaining is the least time before the deadline in which a new director can collect
	// reports from all nodes and shift.
	minRemaining = 1500 * time.Millisecond
)

// schedule plans a delivery's exposure between its start and its deadline.
type schedule struct {
	start, deadline time.Duration
	// exposure is the allowed fraction of all requests, slack the number of additional requests.
	exposure, slack float64
}

// traffic counts a service's requests since the order.
type traffic struct {
	// rate is the current number of responses per second; 0 if it isn't known yet.
	rate float64
	// total and target count the requests so far. target is at least the number planned by the
	// shares.
	total, target float64
}

// remainingRequests returns how many requests the target may still get before the deadline.
func (s schedule) remainingRequests(now time.Duration, observed traffic) float64 {
	remaining := (s.deadline - now).Seconds()
	return exposureMargin*s.exposure*(observed.total+observed.rate*remaining) + slackMargin*s.slack - observed.target
}

// remainingSeconds returns the remaining exposure in seconds of the service's whole traffic. It
// ignores the slack while the rate is unknown.
func (s schedule) remainingSeconds(now time.Duration, observed traffic) float64 {
	if observed.rate > 0 {
		return max(0, s.remainingRequests(now, observed)/observed.rate)
	}
	return exposureMargin * s.exposure * (s.deadline - s.start).Seconds()
}

// shiftDuration returns how long before the deadline the shift starts. It is a fraction of the
// whole exposure, including what was spent, so that it doesn't shrink over time.
func (s schedule) shiftDuration(now time.Duration, observed traffic) time.Duration {
	remaining := s.remainingSeconds(now, observed)
	total := remaining
	if observed.rate > 0 {
		total += observed.target / observed.rate
	}
	affordable := time.Duration(min(remaining, shiftFraction*total) * float64(time.Second))
	return min(maxShift, max(minShift, affordable), (s.deadline-s.start)/4)
}

// canaryShare returns the fraction of all requests that goes to the canaries until the shift.
func (s schedule) canaryShare(now time.Duration, observed traffic) float64 {
	if observed.rate == 0 {
		now = s.start
	}
	shift := s.shiftDuration(now, observed).Seconds()
	until := (s.deadline - now).Seconds() - shift
	if until <= 0 {
		return 0
	}
	return min(maxShare, max(0, s.remainingSeconds(now, observed)-shift)/until)
}

// routeShares divides a share of all requests among routes by their rates. Each route gets the same
// number of requests, up to the fraction highest of its own requests, since evidence counts by
// route.
func routeShares(share float64, rates map[RouteName]float64, highest float64) map[RouteName]float64 {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	shares := make(map[RouteName]float64, len(rates))
	budget := share * total
	for len(shares) < len(rates) {
		each := budget / float64(len(rates)-len(shares))
		full := false
		for name, rate := range rates {
			if _, done := shares[name]; !done && rate*highest <= each {
				shares[name] = highest
				budget -= rate * highest
				full = true
			}
		}
		if full {
			continue
		}
		for name, rate := range rates {
			if _, done := shares[name]; !done {
				shares[name] = each / rate
			}
		}
	}
	return shares
}
