package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	// urgentTarget is the fraction of the urgent requests within the limit that are to be
	// served, usedTarget the fraction of the limit that is to be used in a flood.
	urgentTarget = 0.98
	usedTarget   = 0.95
	// leastTarget is the fraction of its minimum share that a priority gets at least.
	leastTarget = 0.25
	// discovery is the time from a flood's start until nodes know of it: an exchange of load reports,
	// and some more while the tenant is near its limit.
	discovery = simReportInterval + 4*simNearLimitInterval
)

// kind is one kind of request in a flood.
type kind struct {
	priority int
	amount   float64
	// part is the units per second that callers ask for, as a multiple of the tenant's rate.
	part float64
}

// mixedFlood returns requests of a multiple of the limit: short urgent ones of a part of it, and long
// reviews for most of the rest.
func mixedFlood(multiple, urgent float64) []kind {
	rest := multiple - urgent
	return []kind{{0, 400, urgent}, {1, 200, rest * 0.1}, {2, 17_000, rest * 0.9}}
}

// tally counts a tenant's units by priority.
type tally struct{ asked, served [PriorityCount]float64 }

func (t *tally) total() float64 { return t.served[0] + t.served[1] + t.served[2] }

func (t *tally) add(other *tally) {
	for priority := range PriorityCount {
		t.asked[priority] += other.asked[priority]
		t.served[priority] += other.served[priority]
	}
}

// newFloodedFleet returns a fleet whose reports are spread over the time between two of them, as
// real nodes' are, after some seconds in which tenants keep within their limits.
func newFloodedFleet(t *testing.T, seed uint64, nodes int) *simFleet {
	f := newSimFleet(seed, nodes, testOptions(true), testLimits(), false)
	for _, node := range f.nodes {
		node.nextReportAt = f.now + time.Duration(f.random.Int64N(int64(simReportInterval)))
	}
	f.flood(t, mixedFlood(0.7, 0.3), 3*time.Second, anyNode)
	return f
}

// flood sends requests of the large tenant, and requests of the small one for 0.4 of its limit, and
// returns what was served of the large one. It fails if the small one is refused.
func (f *simFleet) flood(t *testing.T, kinds []kind, duration time.Duration, pickNode func(*simFleet) *simNode) *tally {
	t.Helper()
	result := &tally{}
	f.onDecision = func(request Request, decision Decision) {
		if request.Tenant == smallTenant {
			require.True(t, decision.Admitted, "another tenant was refused: %+v", decision)
			return
		}
		result.asked[request.Priority] += request.Amount
		if decision.Admitted {
			result.served[request.Priority] += request.Amount
		}
	}
	for end := f.now + duration; f.now < end; f.advance() {
		f.sendKind(smallTenant, kind{2, 500, 0.4}, pickNode)
		for _, each := range kinds {
			f.sendKind(bigTenant, each, pickNode)
		}
	}
	f.onDecision = nil
	return result
}

// sendKind sends the requests of one kind in one step.
func (f *simFleet) sendKind(tenant fleet.TenantName, each kind, pickNode func(*simFleet) *simNode) {
	expected := each.part * testLimits()[tenant].Rate / each.amount * simStep.Seconds()
	for ; expected > 0; expected-- {
		if f.random.Float64() < expected {
			f.request(pickNode(f), Request{Tenant: tenant, Amount: each.amount, Priority: each.priority})
		}
	}
}

// runningNode picks a node that takes requests.
func runningNode(f *simFleet) *simNode {
	for {
		if node := anyNode(f); node.downUntil == 0 && f.now >= node.frozenUntil && node.partition == 0 {
			return node
		}
	}
}

// requireUrgent checks that the urgent requests within the limit were served.
func (r *tally) requireUrgent(t *testing.T, duration time.Duration, rate float64) {
	t.Helper()
	room := min(r.asked[0], rate*duration.Seconds()*(1-minimumShare*(PriorityCount-1)))
	require.GreaterOrEqual(t, r.served[0], urgentTarget*room, "asked %.0f, served %.0f", r.asked, r.served)
}

// requireMinimum checks that no priority got less than a part of its minimum share.
func (r *tally) requireMinimum(t *testing.T, duration time.Duration, rate float64) {
	t.Helper()
	for priority := range PriorityCount {
		due := min(r.asked[priority], minimumShare*rate*duration.Seconds())
		require.GreaterOrEqual(t, r.served[priority], leastTarget*due, "priority %d: asked %.0f, served %.0f", priority, r.asked, r.served)
	}
}

func (f *simFleet) requireLimit(t *testing.T, limit Limit, from time.Duration) {
	t.Helper()
	require.Negative(t, f.excess(bigTenant, limit, from))
}

// TestUrgentRequestsAreServedInAFlood guards against long reviews that take the tokens of short urgent
// replies, tokens kept for nobody, other tenants that pay, and a kind that gets nothing.
func TestUrgentRequestsAreServedInAFlood(t *testing.T) {
	rate, rest := testLimits()[bigTenant].Rate, 6*time.Second
	for _, nodes := range []int{4, 60} {
		for _, multiple := range []float64{2, 4, 7} {
			for seed, urgent := range []float64{0.1, 0.5} {
				t.Run(fmt.Sprintf("%d nodes, %.0f x, urgent %.1f", nodes, multiple, urgent), func(t *testing.T) {
					t.Parallel()
					f := newFloodedFleet(t, uint64(seed), nodes)
					whole := f.flood(t, mixedFlood(multiple, urgent), discovery, anyNode)
					t.Logf("urgent served of those asked until the nodes know: %.3f", whole.served[0]/whole.asked[0])
					known := f.flood(t, mixedFlood(multiple, urgent), rest, anyNode)
					known.requireUrgent(t, rest, rate)
					whole.add(known)
					whole.requireMinimum(t, discovery+rest, rate)
					require.GreaterOrEqual(t, whole.total(), usedTarget*rate*(discovery+rest).Seconds())
					f.requireLimit(t, testLimits()[bigTenant], 0)
				})
			}
		}
	}
}

// TestNoPriorityStarves guards against less urgent requests that get nothing for long while urgent
// ones ask for more than the whole limit, or more than their minimum shares.
func TestNoPriorityStarves(t *testing.T) {
	for seed := range uint64(4) {
		f := newFloodedFleet(t, seed, 12)
		f.flood(t, mixedFlood(4, 2), discovery, anyNode)
		result := f.flood(t, mixedFlood(4, 2), 16*time.Second, anyNode)
		result.requireMinimum(t, 16*time.Second, testLimits()[bigTenant].Rate)
		result.requireUrgent(t, 16*time.Second, testLimits()[bigTenant].Rate)
	}
}

// TestReserveLapsesWhenTheUrgentEnd guards against tokens that stay kept for urgent requests which no
// longer come.
func TestReserveLapsesWhenTheUrgentEnd(t *testing.T) {
	f := newFloodedFleet(t, 1, 12)
	f.flood(t, mixedFlood(4, 0.5), 3*time.Second, anyNode)
	result := f.flood(t, mixedFlood(4, 0)[2:], 4*time.Second, anyNode)
	require.GreaterOrEqual(t, result.total(), usedTarget*4*testLimits()[bigTenant].Rate)
}

// TestOrderHoldsWhileANodeFails guards against urgent requests that lose their reserve, tokens that stay
// kept, and an exceeded limit when the node that alone knows the urgent demand is killed, frozen for
// 8 s or cut off.
func TestOrderHoldsWhileANodeFails(t *testing.T) {
	failures := map[string]func(*simFleet, *simNode){
		"killed":  func(f *simFleet, node *simNode) { f.kill(node, 8*time.Second) },
		"frozen":  func(f *simFleet, node *simNode) { node.frozenUntil = f.now + 8*time.Second },
		"cut off": func(_ *simFleet, node *simNode) { node.partition = 1 },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFloodedFleet(t, 1, 6)
			rate := testLimits()[bigTenant].Rate
			flood := mixedFlood(3, 0.3)
			for end := f.now + 3*time.Second; f.now < end; {
				f.sendKind(bigTenant, flood[0], func(f *simFleet) *simNode { return f.nodes[0] })
				f.flood(t, flood[1:], simStep, anyNode)
			}
			fail(f, f.nodes[0])
			f.flood(t, flood, peerTimeout+discovery, runningNode)
			share := f.nodes[1].limiter.reachableShare
			result := f.flood(t, flood, 5*time.Second, runningNode)
			result.requireUrgent(t, 5*time.Second, rate*share)
			require.GreaterOrEqual(t, result.total(), usedTarget*5*rate*share)
			f.flood(t, flood, 4*time.Second, runningNode)
			f.requireLimit(t, testLimits()[bigTenant], 0)
		})
	}
}

// TestOrderHoldsWhenTheLimitChanges guards against a reserve of the former limit after the limit is
// lowered in a flood, or the tenant is removed and added again.
func TestOrderHoldsWhenTheLimitChanges(t *testing.T) {
	lower := Limit{Rate: 210_000, Burst: 210_000}
	for seed := range uint64(6) {
		removed := seed%2 == 0
		f := newFloodedFleet(t, seed, 8)
		f.flood(t, mixedFlood(3, 0.1), 3*time.Second, anyNode)
		setLimit := func(limits map[fleet.TenantName]Limit) {
			for _, node := range f.nodes {
				node.limiter.SetLimits(node.clock(f.now), limits)
			}
		}
		if removed {
			setLimit(map[fleet.TenantName]Limit{smallTenant: testLimits()[smallTenant]})
			free := f.flood(t, mixedFlood(3, 0.1), time.Second, anyNode)
			require.Equal(t, free.asked, free.served, "a tenant without a limit")
		}
		setLimit(map[fleet.TenantName]Limit{bigTenant: lower, smallTenant: testLimits()[smallTenant]})
		at := f.now
		f.flood(t, mixedFlood(3, 0.1), 3*time.Second, anyNode)
		result := f.flood(t, mixedFlood(3, 0.1), 5*time.Second, anyNode)
		result.requireUrgent(t, 5*time.Second, lower.Rate)
		f.requireLimit(t, lower, at)
	}
}

// TestOrderReturnsAfterARestartOfAll guards against an exceeded limit, and against urgent requests
// that stay refused, when all nodes restart in a flood.
func TestOrderReturnsAfterARestartOfAll(t *testing.T) {
	f := newFloodedFleet(t, 1, 12)
	f.flood(t, mixedFlood(4, 0.5), 2*time.Second, anyNode)
	for _, node := range f.nodes {
		f.start(node, false)
	}
	flood := mixedFlood(4, 0.5)
	for end := f.now + joinTimeout + discovery; f.now < end; f.advance() {
		for _, each := range flood {
			f.sendKind(bigTenant, each, anyNode)
		}
	}
	result := f.flood(t, flood, 5*time.Second, anyNode)
	result.requireUrgent(t, 5*time.Second, testLimits()[bigTenant].Rate)
	f.requireLimit(t, testLimits()[bigTenant], 0)
}

// TestExpiredDemandIsNotReserved guards against units kept for urgent requests at a peer that no longer
// reports.
func TestExpiredDemandIsNotReserved(t *testing.T) {
	limiter := NewLimiter(0, Options{Window: 8 * time.Second, FirstStart: true})
	limiter.SetLimits(0, map[fleet.TenantName]Limit{tenant: {Rate: 100, Burst: 100}})
	limiter.Observe(0, Report{Node: "x/1", Machine: "x", Usages: []Usage{{Tenant: tenant, Deficit: 85, Demand: Demand{50}}}})
	limiter.accounts[tenant].minimum[2][usualSize] = credit{units: -1000, started: true}
	long := Request{Tenant: tenant, Amount: 10, Priority: 2}
	require.Equal(t, KeptForOthers, limiter.Admit(0, long).Cause)
	require.Equal(t, FromReserve, limiter.Admit(0, Request{Tenant: tenant, Amount: 10}).Cause)
	decision := limiter.Admit(demandLifetime+NearLimitInterval, long)
	require.True(t, decision.Admitted)
	require.Less(t, decision.Reserved, 10.0)
}

// TestRetryAfterLeavesRoomForTheUrgent guards against callers that are told to return when only more
// urgent requests or those refused before them can be served.
func TestRetryAfterLeavesRoomForTheUrgent(t *testing.T) {
	retryAfter := func(urgentDemand float64) (time.Duration, time.Duration) {
		limiter := newStandalone(Limit{Rate: 1000, Burst: 1000}, Options{})
		limiter.accounts[tenant].demand.peerTotal[0] = urgentDemand
		require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 1000, Priority: 2}).Admitted)
		long := Request{Tenant: tenant, Amount: 500, Priority: 2}
		return limiter.Admit(0, long).RetryAfter, limiter.Admit(0, long).RetryAfter
	}
	first, second := retryAfter(0)
	busyFirst, busySecond := retryAfter(500)
	require.Greater(t, busyFirst, 2*first)
	require.Greater(t, busySecond-busyFirst, second-first)
	atMost, _ := retryAfter(10_000)
	require.Equal(t, 8*time.Second, atMost)
}

// TestEmptyRequestIsToldATime guards against a time that isn't a number for a refused request of no units
// at a node that nobody else asks.
func TestEmptyRequestIsToldATime(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 1000, Burst: 1000}, Options{})
	limiter.accounts[tenant].demand.peerTotal[0] = 500
	limiter.accounts[tenant].fleet.deficit = 2000
	decision := limiter.Admit(0, Request{Tenant: tenant})
	require.False(t, decision.Admitted)
	require.GreaterOrEqual(t, decision.RetryAfter, time.Duration(0))
}

// TestReturningCallersComeFirst guards against newcomers that take the units of callers who were told
// to return now.
func TestReturningCallersComeFirst(t *testing.T) {
	for priority := range PriorityCount {
		limiter := newStandalone(Limit{Rate: 100, Burst: 1000}, Options{})
		require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 900, Priority: priority}).Admitted)
		newcomer := Request{Tenant: tenant, Amount: 50, Priority: priority, HoldBack: 100}
		require.Equal(t, KeptForOthers, limiter.Admit(0, newcomer).Cause)
		returning := newcomer
		returning.Returning = true
		require.Equal(t, AsReturning, limiter.Admit(0, returning).Cause)
	}
}

// TestNothingIsHeldBackWithoutNeed guards against newcomers that leave units to returning callers although
// their priority asks for less than is free for it.
func TestNothingIsHeldBackWithoutNeed(t *testing.T) {
	for rate, admitted := range map[float64]bool{10_000: true, 100: false} {
		limiter := newStandalone(Limit{Rate: rate, Burst: 1000}, Options{})
		require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 900}).Admitted)
		newcomer := Request{Tenant: tenant, Amount: 50, HoldBack: 100}
		require.Equal(t, admitted, limiter.Admit(0, newcomer).Admitted, "rate %v", rate)
	}
}

// TestMinimumShareIsPromised guards against times to return that are given from what more urgent requests
// or the minimum shares take.
func TestMinimumShareIsPromised(t *testing.T) {
	for urgent, free := range map[float64]float64{0: 1000, 500: 450, 960: 0} {
		limiter := newStandalone(Limit{Rate: 1000, Burst: 1000}, Options{})
		limiter.accounts[tenant].demand.peerTotal[0] = urgent
		require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 1000, Priority: 2}).Admitted)
		require.InDelta(t, free, limiter.Admit(0, Request{Tenant: tenant, Amount: 500, Priority: 2}).FreeRate, 1e-6, "urgent %v", urgent)
	}
}

// TestInvalidRequestsAreBounded guards against priorities and numbers out of range that keep a whole
// limit from being used, or crash.
func TestInvalidRequestsAreBounded(t *testing.T) {
	for _, holdBack := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		for _, priority := range []int{-1, PriorityCount, math.MaxInt} {
			limiter := newStandalone(Limit{Rate: 100, Burst: 1000}, Options{})
			request := Request{Tenant: tenant, Amount: 500, Priority: priority, HoldBack: holdBack}
			require.True(t, limiter.Admit(0, request).Admitted)
		}
	}
}

// TestOnePriorityIsDecidedLikeAPlainBucket guards against decisions that change for tenants whose
// requests all have one priority: at a single node, and in a fleet.
func TestOnePriorityIsDecidedLikeAPlainBucket(t *testing.T) {
	limit := testLimits()[bigTenant]
	for seed := range uint64(20) {
		var first []Decision
		for priority := range PriorityCount {
			f := newSimFleet(seed, 1+11*int(seed%2), testOptions(true), map[fleet.TenantName]Limit{bigTenant: limit}, false)
			plain, debt := newAccount(f.now, limit, limit.Burst), f.nodes[0].limiter.debt(1)
			var decisions []Decision
			f.onDecision = func(request Request, decision Decision) {
				decisions = append(decisions, decision)
				plain.drain(f.now, shares{reachable: 1})
				fits := plain.fits(request.Amount, plain.available(1, false), debt)
				require.True(t, len(f.nodes) > 1 || fits == decision.Admitted, "seed %d: %+v", seed, decision)
				if fits {
					plain.take(f.now, request.Amount)
				}
			}
			load{multiple: 4, priorityOf: func(float64) int { return priority }, pickNode: anyNode}.run(f, 8*time.Second)
			if priority == 0 {
				first = decisions
			}
			require.Equal(t, first, decisions, "seed %d", seed)
		}
	}
}
