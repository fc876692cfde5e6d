package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const tenant fleet.TenantName = "a"

func newStandalone(limit Limit, options Options) *Limiter {
	options.Standalone, options.Window = true, 8*time.Second
	limiter := NewLimiter(0, options)
	limiter.SetLimits(0, map[fleet.TenantName]Limit{tenant: limit})
	return limiter
}

// TestRetryAfterIsWhenTheRequestFits guards against refused requests that are to retry too early, or
// all at the same time.
func TestRetryAfterIsWhenTheRequestFits(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 100, Burst: 100}, Options{})
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
	first := limiter.Admit(0, Request{Tenant: tenant, Amount: 50})
	second := limiter.Admit(0, Request{Tenant: tenant, Amount: 30})
	require.False(t, first.Admitted)
	require.Equal(t, 500*time.Millisecond, first.RetryAfter)
	require.Equal(t, 800*time.Millisecond, second.RetryAfter)
	require.False(t, limiter.Admit(first.RetryAfter-time.Millisecond, Request{Tenant: tenant, Amount: 50}).Admitted)
	require.True(t, limiter.Admit(first.RetryAfter+time.Millisecond, Request{Tenant: tenant, Amount: 50}).Admitted)
}

// TestLargeRequestsDontStarve guards against small requests of a tenant at its limit that displace
// its large ones.
func TestLargeRequestsDontStarve(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 1000, Burst: 1000}, Options{Slack: 1000})
	random := rand.New(rand.NewPCG(1, 1))
	sent, admitted := make(map[float64]int), make(map[float64]int)
	for step := range 40_000 {
		amount := []float64{10, 10, 10, 250}[random.IntN(4)]
		sent[amount]++
		if limiter.Admit(time.Duration(step)*5*time.Millisecond, Request{Tenant: tenant, Amount: amount}).Admitted {
			admitted[amount]++
		}
	}
	admittedFraction := func(amount float64) float64 { return float64(admitted[amount]) / float64(sent[amount]) }
	require.InDelta(t, admittedFraction(10), admittedFraction(250), 0.01)
}

// TestRefundRestoresUnits guards against charges for requests that didn't run.
func TestRefundRestoresUnits(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 10, Burst: 100}, Options{})
	for range 50 {
		require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
		limiter.Refund(0, tenant, 100)
	}
}

// TestFurtherRunsAreCharged guards against further runs of a request that aren't charged.
func TestFurtherRunsAreCharged(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 10, Burst: 100}, Options{})
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 50}).Admitted)
	limiter.Charge(0, tenant, 50)
	require.False(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 10}).Admitted)
}

// TestTenantsWithoutALimitAreAdmitted guards against refusals if the limit is missing or 0.
func TestTenantsWithoutALimitAreAdmitted(t *testing.T) {
	limiter := newStandalone(Limit{}, Options{})
	for range 1000 {
		require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 1e9}).Admitted)
		require.True(t, limiter.Admit(0, Request{Tenant: "unknown", Amount: 1e9}).Admitted)
	}
}

// TestRaisedLimitAppliesAtOnce guards against a tenant with an empty bucket that is still refused
// after its limit is raised.
func TestRaisedLimitAppliesAtOnce(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 100, Burst: 100}, Options{})
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
	require.False(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
	limiter.SetLimits(0, map[fleet.TenantName]Limit{tenant: {Rate: 300, Burst: 300}})
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
}

// TestRestartedNodeSynchronizesUsage guards against a full new burst at a restarted node.
func TestRestartedNodeSynchronizesUsage(t *testing.T) {
	options := Options{Slack: 10, Overshoot: 0.1, Window: 8 * time.Second}
	limits := map[fleet.TenantName]Limit{tenant: {Rate: 100, Burst: 1000}}
	restarted := NewLimiter(0, options)
	restarted.SetLimits(0, limits)
	require.False(t, restarted.Admit(0, Request{Tenant: tenant, Amount: 200}).Admitted, "a joining node has a small share")
	restarted.Observe(0, Report{Node: "peer/1", Machine: "peer", Usages: []Usage{{Tenant: tenant, Total: 5000, Deficit: 900}}})
	require.True(t, restarted.Admit(0, Request{Tenant: tenant, Amount: 90}).Admitted)
	require.False(t, restarted.Admit(0, Request{Tenant: tenant, Amount: 90}).Admitted)
}

// TestIdleTenantsAreNotReported guards against reports of tenants whose last use all peers have
// received, and against reports that stop before.
func TestIdleTenantsAreNotReported(t *testing.T) {
	limiter := newStandalone(Limit{Rate: 1000, Burst: 1000}, Options{})
	require.Empty(t, limiter.Usages(0, "x/1"))
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
	require.Len(t, limiter.Usages(time.Second, "x/1"), 1)
	require.Empty(t, limiter.Usages(idleReportPeriod+time.Second, "x/1"))
	require.True(t, limiter.Admit(time.Minute, Request{Tenant: tenant, Amount: 100}).Admitted)
	require.Equal(t, []Usage{{Tenant: tenant, Total: 200, Recent: 200, Deficit: 100}}, limiter.Usages(time.Minute, "x/1"))
}

// TestReturningPeerIsCountedOnce guards against a peer's use that is counted twice when the peer is
// removed and added again.
func TestReturningPeerIsCountedOnce(t *testing.T) {
	limits := map[fleet.TenantName]Limit{tenant: {Rate: 1, Burst: 1000}}
	limiter := NewLimiter(0, Options{Window: 8 * time.Second, FirstStart: true})
	limiter.SetLimits(0, limits)
	for range 5 {
		limiter.Observe(0, Report{Node: "x/1", Machine: "x", Joining: true, Usages: []Usage{{Tenant: tenant, Total: 300, Recent: 300}}})
		limiter.RemovePeer(0, "x/1")
	}
	require.InDelta(t, 700, limiter.Admit(0, Request{Tenant: tenant, Amount: 0}).Available, 1)
	limiter.Observe(0, Report{Node: "x/2", Machine: "x", Joining: true, Usages: []Usage{{Tenant: tenant, Total: 100, Recent: 100}}})
	require.InDelta(t, 600, limiter.Admit(0, Request{Tenant: tenant, Amount: 0}).Available, 1, "another run counts from zero")
}

// TestRejoiningNodeCountsItsOwnUseOnce guards against a rejoining node that adds use which its peers
// have already counted.
func TestRejoiningNodeCountsItsOwnUseOnce(t *testing.T) {
	limits := map[fleet.TenantName]Limit{tenant: {Rate: 1, Burst: 1000}}
	limiter := NewLimiter(0, Options{Slack: 1000, Window: 8 * time.Second, FirstStart: true})
	limiter.SetLimits(0, limits)
	limiter.Observe(0, Report{Node: "x/1", Machine: "x"})
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 400}).Admitted)
	limiter.Leave(0)
	usages := limiter.Usages(0, "x/1")
	require.Equal(t, []Usage{{Tenant: tenant, Total: 400, Recent: 0, Deficit: 400}}, usages)
	limiter.Observe(0, Report{Node: "x/1", Machine: "x", Usages: []Usage{{Tenant: tenant, Total: 50, Deficit: 400, Acknowledged: 400}}})
	require.InDelta(t, 600, limiter.Admit(0, Request{Tenant: tenant, Amount: 0}).Available, 1)
	other := NewLimiter(0, Options{Slack: 1000, Window: 8 * time.Second, FirstStart: true})
	other.SetLimits(0, limits)
	other.Observe(0, Report{Node: "y/1", Machine: "y", Joining: true, Usages: usages})
	require.InDelta(t, 1000, other.Admit(0, Request{Tenant: tenant, Amount: 0}).Available, 1, "earlier admissions must not count again")
}

// TestJoiningNodeCountsAcknowledgedUseOnce guards against a joining node that adds use which the peer
// it synchronizes with has acknowledged, as after a restart of all nodes.
func TestJoiningNodeCountsAcknowledgedUseOnce(t *testing.T) {
	limits := map[fleet.TenantName]Limit{tenant: {Rate: 1, Burst: 1000}}
	limiter := NewLimiter(0, Options{Slack: 4000, Overshoot: 0.1, Window: 8 * time.Second})
	limiter.SetLimits(0, limits)
	require.True(t, limiter.Admit(0, Request{Tenant: tenant, Amount: 100}).Admitted)
	limiter.Observe(0, Report{Node: "x/1", Machine: "x", Usages: []Usage{{Tenant: tenant, Total: 200, Deficit: 290, Acknowledged: 90}}})
	require.InDelta(t, 700, limiter.Admit(0, Request{Tenant: tenant, Amount: 0}).Available, 1, "a deficit of 290 and 10 unacknowledged units")
}

// TestRejoiningNodeCountsPeersUseOnce guards against a rejoining node that adds what several peers
// admitted during its absence to the deficit of one of them.
func TestRejoiningNodeCountsPeersUseOnce(t *testing.T) {
	limits := map[fleet.TenantName]Limit{tenant: {Rate: 1, Burst: 1000}}
	limiter := NewLimiter(0, Options{Slack: 1000, Window: 8 * time.Second, FirstStart: true})
	limiter.SetLimits(0, limits)
	report := func(total, deficit uint64) {
		for _, machine := range []string{"x", "y", "z"} {
			limiter.Observe(0, Report{
				Node: fleet.NodeID(machine + "/1"), Machine: machine, Usages: []Usage{{Tenant: tenant, Total: total, Deficit: deficit}},
			})
		}
	}
	report(100, 300)
	limiter.Leave(0)
	report(100_000, 300)
	require.InDelta(t, 700, limiter.Admit(0, Request{Tenant: tenant, Amount: 0}).Available, 1)
}

// TestIsolatedNodeHasItsShare guards against a node that uses more than its share while its three peers
// are unreachable, or less than the whole limit once they are back.
func TestIsolatedNodeHasItsShare(t *testing.T) {
	limiter := NewLimiter(0, Options{Window: 8 * time.Second, FirstStart: true})
	limiter.SetLimits(0, map[fleet.TenantName]Limit{tenant: {Rate: 100, Burst: 100}})
	limiter.SetOwnRate(10)
	report := func(now time.Duration) {
		for _, node := range []string{"x", "y", "z"} {
			limiter.Observe(now, Report{Node: fleet.NodeID(node + "/1"), Machine: node, RequestRate: 10})
		}
	}
	report(0)
	require.InDelta(t, 1, limiter.Admit(0, Request{Tenant: tenant, Amount: 0}).Share, 0.01)
	isolated := peerTimeout + time.Millisecond
	require.InDelta(t, 0.25, limiter.Admit(isolated, Request{Tenant: tenant, Amount: 0}).Share, 0.01)
	require.True(t, limiter.Admit(isolated, Request{Tenant: tenant, Amount: 20}).Admitted)
	require.False(t, limiter.Admit(isolated, Request{Tenant: tenant, Amount: 20}).Admitted)
	report(isolated)
	require.InDelta(t, 1, limiter.Admit(isolated, Request{Tenant: tenant, Amount: 0}).Share, 0.01)
	require.True(t, limiter.Admit(isolated, Request{Tenant: tenant, Amount: 20}).Admitted)
}

// TestRestartedPeerEndsReservation guards against a share that stays reserved for a peer's earlier run.
func TestRestartedPeerEndsReservation(t *testing.T) {
	limiter := NewLimiter(0, Options{Window: 8 * time.Second, FirstStart: true})
	limiter.SetLimits(0, map[fleet.TenantName]Limit{tenant: {Rate: 100, Burst: 100}})
	limiter.Observe(0, Report{Node: "x/1", Machine: "x"})
	require.InDelta(t, 0.5, limiter.Admit(time.Minute, Request{Tenant: tenant, Amount: 0}).Share, 0.01)
	limiter.Observe(time.Minute, Report{Node: "x/2", Machine: "x", Joining: true})
	require.InDelta(t, 1, limiter.Admit(time.Minute, Request{Tenant: tenant, Amount: 0}).Share, 0.01)
}
