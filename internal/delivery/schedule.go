package delivery

import (
	"time"
)

// The schedule's settings. With e the allowed part of all requests, R requests a second,
// T from order to deadline, k the allowed requests besides, a canary share s and a shift
// that begins d before the deadline the target gets s·(T-d)·R + d·R, and that is held to
// scheduleMargin·e·T·R + slackMargin·k.
const (
	// exposureMargin is the part of the allowed exposure that is planned for: the rest is
	// for retries, for waves of load and for nodes that hear late.
	exposureMargin = 0.8
	// slackMargin is the same for the requests besides: at low rates chance alone moves the
	// number of requests by some ten.
	slackMargin = 0.5
	// shiftFraction is the part of the exposure that is kept for the shift: runs at old
	// workers need time to end there, canaries need answers.
	shiftFraction = 0.5
	// maxShift is the time after which nearly all runs at old workers have ended
	// (0.3 to 1.5 s), with finishReserve.
	maxShift = 1400 * time.Millisecond
	// minShift is what is kept for it whatever was spent, finishReserve included:
	// without a shift a good version can't be completed.
	minShift = 350 * time.Millisecond
	// finishReserve is the time before the deadline at which the last decision falls: a
	// write to the store and a look.
	finishReserve = 200 * time.Millisecond
	// shiftNotice is how long before a shift it is told to all nodes: two rounds of their
	// reports.
	shiftNotice = 1300 * time.Millisecond
	// maxShare bounds a route's canary share: the old side remains the measure.
	maxShare = 0.3
	// extendedDuration is the time given to a delivery that nobody could direct until its
	// deadline, or close to it.
	extendedDuration = 8 * time.Second
	// minRemaining is the time before a deadline within which a new director can still
	// hear of all nodes and shift.
	minRemaining = 1500 * time.Millisecond
)

// schedule is the sum by which a delivery is planned, from its order to its deadline.
type schedule struct {
	start, deadline time.Duration
	// exposure and slack are the allowed part of all requests and the requests besides.
	exposure, slack float64
}

// traffic is what is known of a service's requests since the order.
type traffic struct {
	// rate is the number of answers a second now, 0 if that isn't known yet.
	rate float64
	// total and target are the requests so far, the target's at least as many as asked for.
	total, target float64
}

// remainingRequests returns the requests that the target may still get until the deadline.
func (s schedule) remainingRequests(now time.Duration, seen traffic) float64 {
	ahead := (s.deadline - now).Seconds()
	return exposureMargin*s.exposure*(seen.total+seen.rate*ahead) + slackMargin*s.slack - seen.target
}

// remainingSeconds returns the exposure that is left as remainingSeconds of all traffic. Before the
// rate is known the slack counts for nothing.
func (s schedule) remainingSeconds(now time.Duration, seen traffic) float64 {
	if seen.rate > 0 {
		return max(0, s.remainingRequests(now, seen)/seen.rate)
	}
	return exposureMargin * s.exposure * (s.deadline - s.start).Seconds()
}

// shiftDuration returns how long before the deadline everything is to go to the target: a part of
// the whole exposure, what was spent included, so that it doesn't shrink as time goes on.
func (s schedule) shiftDuration(now time.Duration, seen traffic) time.Duration {
	left := s.remainingSeconds(now, seen)
	whole := left
	if seen.rate > 0 {
		whole += seen.target / seen.rate
	}
	affordable := time.Duration(min(left, shiftFraction*whole) * float64(time.Second))
	return min(maxShift, max(minShift, affordable), (s.deadline-s.start)/4)
}

// canaryShare returns the part of all requests that goes to the canaries until the shift.
func (s schedule) canaryShare(now time.Duration, seen traffic) float64 {
	if seen.rate == 0 {
		now = s.start
	}
	shift := s.shiftDuration(now, seen).Seconds()
	until := (s.deadline - now).Seconds() - shift
	if until <= 0 {
		return 0
	}
	return min(maxShare, max(0, s.remainingSeconds(now, seen)-shift)/until)
}

// routeShares divides a share of all requests among routes by their rates. Each gets
// the same number of requests, as far as highest of its own allows, since evidence counts
// by route.
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
