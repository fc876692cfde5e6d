package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const ms = time.Millisecond

// review is a request with a target of 1.5 s whose caller waits for 8 s.
func review(tenant fleet.TenantName) *Request {
	return &Request{Tenant: tenant, Priority: 2, Service: 300 * ms, Target: 1500 * ms, Deadline: 8 * time.Second}
}

// flooded returns a controller in which "big" uses seven eighths of the engine time and "small" the rest,
// and both want more.
func flooded() *Controller {
	controller := New()
	for _, use := range []struct {
		tenant fleet.TenantName
		cost   time.Duration
	}{{"big", 7 * time.Second}, {"small", time.Second}} {
		controller.RecordPlaced(0, review(use.tenant), use.cost, false)
		controller.RecordRefused(0, review(use.tenant), 4*use.cost, CauseDeadline)
	}
	return controller
}

// TestLateRequestIsRefusedAlthoughItsCallerWaits guards against refusing at the target what a caller
// waits for, and against accepting what can't be served within the deadline.
func TestLateRequestIsRefusedAlthoughItsCallerWaits(t *testing.T) {
	wait := func(deadline time.Duration) time.Duration {
		request := review("a")
		request.Deadline = deadline
		return New().Limit(0, request).Wait
	}
	assert.Equal(t, 2100*ms, wait(8*time.Second))
	assert.Equal(t, 1200*ms, wait(4*time.Second), "without time to spare the target counts")
	assert.Equal(t, 200*ms, wait(500*ms), "a wait that ends after the deadline is of no use")
	assert.Zero(t, wait(200*ms))
	assert.Equal(t, Limit{Wait: 1200 * ms, Cause: CauseTarget}, New().Limit(0, &Request{Service: 300 * ms, Target: 1500 * ms}))
}

// TestFloodTakesTheEngineTimeOfOthers guards against limiting a tenant below its share, or one alone.
func TestFloodTakesTheEngineTimeOfOthers(t *testing.T) {
	controller := flooded()
	big, small := controller.Limit(0, review("big")), controller.Limit(0, review("small"))
	assert.Equal(t, CauseShare, big.Cause)
	assert.Equal(t, 600*ms, big.Wait)
	assert.InDelta(t, 7*big.Share/4, big.Use, 0.01, "eight engine seconds are shared by two")
	assert.Equal(t, 2100*ms, small.Wait)
	assert.Equal(t, 2100*ms, controller.Limit(0, review("")).Wait, "requests without a tenant have no share")
	assert.Equal(t, 1, controller.TenantsAtShare(0))
	assert.InDelta(t, 1614, big.RetryAfter(800*ms).Milliseconds(), 5, "a use of 7/4 of the share falls to it in 0.8 half-lives")
	assert.Equal(t, 2100*ms, New().Limit(0, review("big")).Wait)
}

// TestShareOutlivesTheShortage guards against holding a tenant back once nothing is refused any more.
func TestShareOutlivesTheShortage(t *testing.T) {
	controller := flooded()
	for now := time.Duration(0); now < 12*time.Second; now += 100 * ms {
		controller.RecordPlaced(now, review("big"), 100*ms, false)
	}
	assert.Equal(t, 2100*ms, controller.Limit(12*time.Second, review("big")).Wait)
	assert.Zero(t, controller.TenantsAtShare(12*time.Second))
}

// TestUrgentAreLateBehindLessUrgent guards against less urgent requests that wait while more urgent
// ones are late, and against yielding to the less urgent or for good.
func TestUrgentAreLateBehindLessUrgent(t *testing.T) {
	controller := New()
	controller.RecordRefused(0, review("a"), 0, CauseDeadline)
	assert.Equal(t, CauseDeadline, controller.Limit(0, &Request{Priority: 2, Target: time.Second, Deadline: time.Second}).Cause)
	less := review("a")
	less.Priority = 3
	assert.Equal(t, CausePriority, controller.Limit(0, less).Cause)
	assert.Equal(t, 120*ms, controller.Limit(0, less).Wait)
	controller.RecordRefused(0, less, 0, CausePriority)
	least := review("a")
	least.Priority = 4
	assert.Equal(t, CauseDeadline, controller.Limit(time.Second, least).Cause, "a request that yields doesn't spread")
	assert.Equal(t, CauseDeadline, controller.Limit(time.Second, less).Cause)
}

// TestOthersYieldToAFlood guards against less urgent requests of other tenants that yield because one
// tenant is held to its share.
func TestOthersYieldToAFlood(t *testing.T) {
	controller := New()
	for range 100 {
		controller.RecordRefused(0, review("big"), time.Second, CauseShare)
	}
	less := review("small")
	less.Priority = 3
	assert.Equal(t, CauseDeadline, controller.Limit(0, less).Cause)
}

// TestPredictionsAreTooShort guards against waits that last several times as long as predicted.
func TestPredictionsAreTooShort(t *testing.T) {
	controller := New()
	for range 100 {
		controller.RecordFirstToken(0, review("a"), 500*ms, 1500*ms, false)
	}
	limit := controller.Limit(0, review("a"))
	assert.InDelta(t, 700, limit.Wait.Milliseconds(), 5)
	assert.InDelta(t, 3000, limit.RetryAfter(time.Second).Milliseconds(), 5)
	assert.InDelta(t, 2100, controller.Limit(time.Minute, review("a")).Wait.Milliseconds(), 5)
}

// TestNodeThatReportedWorkIsGone guards against counting the work of a node that was killed or cut
// off, or that has restarted and reports less.
func TestNodeThatReportedWorkIsGone(t *testing.T) {
	peerUses := []Use{{Tenant: "big", Used: 7 * time.Second, Unmet: 7 * time.Second}, {Tenant: "small", Used: time.Second, Unmet: time.Second}}
	for name, lose := range map[string]func(*Controller) time.Duration{
		"left":      func(controller *Controller) time.Duration { controller.ForgetPeer("n"); return 0 },
		"cut off":   func(*Controller) time.Duration { return reportValidity },
		"restarted": func(controller *Controller) time.Duration { controller.ObservePeer(0, "n", nil); return 0 },
	} {
		controller := New()
		controller.ObservePeer(0, "n", peerUses)
		assert.Equal(t, CauseShare, controller.Limit(0, review("big")).Cause, name)
		now := lose(controller) + shareInterval
		assert.Equal(t, CauseDeadline, controller.Limit(now, review("big")).Cause, name)
	}
}

// TestTenantsGrowWithoutBound guards against state and reports that grow with tenants, also with
// those that no longer exist.
func TestTenantsGrowWithoutBound(t *testing.T) {
	controller := New()
	for number := range 3 * maxTenants {
		controller.RecordPlaced(0, review(fleet.TenantName(fmt.Sprint(number))), 2*ms, false)
	}
	assert.Empty(t, controller.Report(0), "nothing is reported while nothing is short")
	controller.RecordPlaced(0, review("7"), time.Second, true)
	controller.RecordPlaced(0, review("8"), 2*time.Second, true)
	report := controller.Report(shareInterval)
	require.Len(t, report, 2, "small uses are not reported")
	assert.Equal(t, fleet.TenantName("8"), report[0].Tenant)
	controller.ObservePeer(0, "n", make([]Use, 2*MaxReported))
	controller.Limit(time.Second, review("a"))
	assert.LessOrEqual(t, len(controller.totals), maxTenants)
	assert.Empty(t, controller.Report(time.Minute))
	assert.Empty(t, controller.own.tenants)
}

// BenchmarkDecision decides with 430 tenants and the reports of 12 peers.
func BenchmarkDecision(b *testing.B) {
	controller, requests := New(), make([]*Request, 430)
	for number := range requests {
		requests[number] = review(fleet.TenantName(fmt.Sprint(number)))
		controller.RecordRefused(0, requests[number], time.Second, CauseDeadline)
	}
	for peer := range 12 {
		controller.ObservePeer(0, fleet.NodeID(fmt.Sprint(peer)), controller.Report(0))
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for index := range b.N {
		now += ms
		request := requests[index%len(requests)]
		controller.Limit(now, request)
		controller.RecordPlaced(now, request, 100*ms, false)
	}
}
