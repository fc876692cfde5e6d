package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestScheduleStaysWithinTheExposure guards against planned exposure above the limit, for several
// durations and for constant, falling and rising rates, with the plan recomputed every second.
func TestScheduleStaysWithinTheExposure(t *testing.T) {
	step := 50 * time.Millisecond
	for _, duration := range []time.Duration{8 * time.Second, 12 * time.Second, 20 * time.Second, time.Minute} {
		for _, rate := range []float64{20, 60, 200, 700, 3000} {
			for _, growth := range []float64{0.5, 1, 1.5} {
				planned := schedule{deadline: duration, exposure: 0.1, slack: 50}
				seen := traffic{}
				share, target, all := 0.0, 0.0, 0.0
				shifted := time.Duration(0)
				for now := time.Duration(0); now < duration; now += step {
					current := rate * (1 + (growth-1)*now.Seconds()/duration.Seconds())
					if now > 1500*time.Millisecond {
						seen.rate = current
					}
					if now%time.Second == 0 {
						share = planned.canaryShare(now, seen)
					}
					if shifted > 0 || now >= duration-planned.shiftDuration(now, seen) {
						share = 1
						shifted += step
					}
					requests := current * step.Seconds()
					all += requests
					target += share * requests
					seen.total, seen.target = all, target
				}
				require.LessOrEqual(t, target, 0.1*all+50, "%s at %.0f/s growing to %.1f", duration, rate, growth)
				intended := min(maxShift.Seconds(), shiftFraction*exposureMargin*0.1*duration.Seconds())
				require.GreaterOrEqual(t, shifted.Seconds(), 0.7*intended, "%s at %.0f/s growing to %.1f: the shift is too short", duration, rate, growth)
				require.GreaterOrEqual(t, target, 0.5*(0.1*all), "%s at %.0f/s growing to %.1f: too little of the exposure is used", duration, rate, growth)
			}
		}
	}
}

func TestScheduleAlwaysLeavesAShift(t *testing.T) {
	planned := schedule{deadline: 10 * time.Second, exposure: 0.1, slack: 50}
	require.Equal(t, minShift, planned.shiftDuration(9*time.Second, traffic{rate: 100, total: 900, target: 500}))
	require.Zero(t, planned.canaryShare(9*time.Second, traffic{rate: 100, total: 900, target: 500}))
	require.Zero(t, planned.canaryShare(11*time.Second, traffic{rate: 100}))
}

// TestRouteSharesAreEqualInRequests guards against too little evidence about rare routes.
func TestRouteSharesAreEqualInRequests(t *testing.T) {
	shares := routeShares(0.03, map[RouteName]float64{"a": 900, "b": 95, "c": 5}, maxShare)
	require.InDelta(t, 0.3, shares["c"], 1e-9, "the rarest route gets the maximum share")
	require.InDelta(t, 900*shares["a"], 95*shares["b"], 1e-6)
	require.InDelta(t, 30, 900*shares["a"]+95*shares["b"]+5*shares["c"], 1e-6)
	require.Empty(t, routeShares(0.1, nil, maxShare))
	for _, share := range routeShares(0.9, map[RouteName]float64{"a": 1, "b": 0}, maxShare) {
		require.Equal(t, maxShare, share)
	}
}
