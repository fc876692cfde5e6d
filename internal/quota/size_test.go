package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests of one priority in a flood of short plain calls and long reviews.
const (
	plainAmount  = 200
	reviewAmount = 17_000
	// plainRoom is the fraction of what urgent replies leave that plain calls are to be served of, if
	// they ask for that much. Reviews may use the rest.
	plainRoom = 0.5
)

// sizedFlood returns requests of a multiple of the limit: urgent replies for 0.3 of it, plain calls for
// a part of it, and long reviews of the same priority for the rest.
func sizedFlood(multiple, plain float64) []kind {
	return []kind{{0, 400, 0.3}, {2, plainAmount, plain}, {2, reviewAmount, multiple - 0.3 - plain}}
}

// floodBySize is flood that also returns what was asked and served by amount.
func (f *simFleet) floodBySize(t *testing.T, kinds []kind, duration time.Duration) (result *tally, asked, served map[float64]float64) {
	t.Helper()
	asked, served = make(map[float64]float64), make(map[float64]float64)
	result = &tally{}
	f.onDecision = func(request Request, decision Decision) {
		asked[request.Amount] += request.Amount
		result.asked[request.Priority] += request.Amount
		if decision.Admitted {
			served[request.Amount] += request.Amount
			result.served[request.Priority] += request.Amount
		}
	}
	for end := f.now + duration; f.now < end; f.advance() {
		for _, each := range kinds {
			f.sendKind(bigTenant, each, anyNode)
		}
	}
	f.onDecision = nil
	return result, asked, served
}

// TestCheapRequestsComeFirst guards against short plain calls that are refused for long reviews of the
// same priority, when there are few of them and when there are more than the part that they may take
// first, and against urgent ones or reviews that pay for it.
func TestCheapRequestsComeFirst(t *testing.T) {
	for _, nodes := range []int{4, 60} {
		for _, multiple := range []float64{4, 7} {
			for seed, plain := range []float64{0.05, 0.3, 1.5} {
				if nodes == 60 && plain == 0.3 {
					continue // TestCheapRequestsWaitInALargeFlood
				}
				t.Run(fmt.Sprintf("%d nodes, %.0f x, plain %.2f", nodes, multiple, plain), func(t *testing.T) {
					t.Parallel()
					requireCheapFirst(t, uint64(seed), nodes, multiple, plain)
				})
			}
		}
	}
}

// TestCheapRequestsWaitInALargeFlood guards against cheap requests that wait for large ones at 60
// nodes while they ask for 0.3 of the limit.
func TestCheapRequestsWaitInALargeFlood(t *testing.T) {
	for _, multiple := range []float64{4, 7} {
		t.Run(fmt.Sprintf("%.0f x", multiple), func(t *testing.T) {
			t.Parallel()
			requireCheapFirst(t, 1, 60, multiple, 0.3)
		})
	}
}

// requireCheapFirst checks what is served from one second after the start of a flood.
func requireCheapFirst(t *testing.T, seed uint64, nodes int, multiple, plain float64) {
	rate, duration := testLimits()[bigTenant].Rate, 16*time.Second
	f := newFloodedFleet(t, seed, nodes)
	flood := sizedFlood(multiple, plain)
	f.floodBySize(t, flood, time.Second)
	result, asked, served := f.floodBySize(t, flood, duration)
	t.Logf("served of those asked: urgent %.3f, plain %.3f, reviews %.3f; used %.3f of the limit, reviews %.3f of it",
		result.served[0]/result.asked[0], served[plainAmount]/asked[plainAmount], served[reviewAmount]/asked[reviewAmount],
		result.total()/rate/duration.Seconds(), served[reviewAmount]/rate/duration.Seconds())
	result.requireUrgent(t, duration, rate)
	room := min(asked[plainAmount], plainRoom*(rate*duration.Seconds()-asked[400]))
	require.GreaterOrEqual(t, served[plainAmount], urgentTarget*room, "plain calls, asked %.0f", asked[plainAmount])
	require.GreaterOrEqual(t, served[reviewAmount], leastTarget*minimumShare*rate*duration.Seconds(), "reviews")
	require.GreaterOrEqual(t, result.total(), usedTarget*rate*duration.Seconds())
	f.requireLimit(t, testLimits()[bigTenant], 0)
}

// TestSimilarSizesAreOneClass guards against decisions that change for a tenant whose requests differ by
// less than 1/cheapFraction in size.
func TestSimilarSizesAreOneClass(t *testing.T) {
	var sizes sizeMeter
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Duration(0)
	for range 10_000 {
		now += time.Duration(random.Int64N(int64(time.Second)))
		require.Equal(t, usualSize, sizes.ask(now, 100+899*random.Float64(), 1000))
	}
	require.Equal(t, cheapSize, sizes.ask(now, 9, 1000))
}

// TestAbsurdSizesAreBounded guards against one request with an absurd amount that makes all others cheap
// for long, or leaves no size to compare with.
func TestAbsurdSizesAreBounded(t *testing.T) {
	for _, absurd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.MaxFloat64} {
		var sizes sizeMeter
		sizes.ask(0, absurd, 10_000)
		for second := range 60 {
			sizes.ask(time.Duration(second)*time.Second, 5000, 10_000)
		}
		require.Equal(t, usualSize, sizes.ask(time.Minute, 1000, 10_000), "after %f", absurd)
		require.InDelta(t, 5000, sizes.usual(), 1000, "after %f", absurd)
	}
}

// TestCheapRequestsKeepWithinTheirPart guards against cheap requests that use the minimum share of the
// larger ones of their priority, or the reserve of more urgent ones.
func TestCheapRequestsKeepWithinTheirPart(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 1000, Burst: 1000}, Options{})
	account := limiter.accounts[tenant]
	account.demand.peerTotal = Demand{500, 0, 2000}
	account.sizes[2] = sizeMeter{units: 10_000, cheap: 200, squares: 1e6}
	account.fleet.deficit = 800
	long, short := Request{Tenant: tenant, Amount: 100, Priority: 2}, Request{Tenant: tenant, Amount: 5, Priority: 2}
	account.minimum[2] = [sizeClassCount]credit{{units: -1000, started: true}, {units: -1000, started: true}}
	account.pace[2][cheapSize] = credit{started: true}
	require.Equal(t, KeptForOthers, limiter.Admit(0, long).Cause)
	require.Equal(t, AsCheap, limiter.Admit(0, short).Cause)
	require.Greater(t, account.minimum[2][usualSize].units, -1000.0, "earned, and not spent by the cheap")
	account.fleet.deficit = 980
	require.Equal(t, KeptForOthers, limiter.Admit(0, short).Cause, "the last units are for the urgent")
}
