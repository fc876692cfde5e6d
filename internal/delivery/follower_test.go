package delivery

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const testRoute = RouteName("a")

func testOrder() Order {
	return Order{Service: simService, Target: simNew, Duration: 12 * time.Second, Revision: 7}
}

// canaryDirective sends a tenth of each route's requests to two workers of the target.
func canaryDirective(issued time.Duration) Directive {
	return Directive{
		Service: simService, Target: simNew, Revision: 7, Sequence: 1, Stage: StageCanary,
		IssuedAt: issued, DefaultShare: 0.1, Canaries: []fleet.EngineID{"new-0", "new-1"},
	}
}

func newTestFollower(t *testing.T, directives ...Directive) *Follower {
	t.Helper()
	follower := NewFollower(Options{})
	newer, err := follower.SetOrder(0, testOrder())
	require.NoError(t, err)
	require.True(t, newer)
	for _, directive := range directives {
		follower.ApplyDirective(directive.IssuedAt, directive)
	}
	return follower
}

// reachable returns which workers a filter allows, without its fallbacks.
func reachable(filter *Filter) (old, canary, other bool) {
	return filter.Allows("old-0", simOld), filter.Allows("new-0", simNew), filter.Allows("new-9", simNew)
}

func requireReachable(t *testing.T, filter *Filter, old, canary, other bool) {
	t.Helper()
	gotOld, gotCanary, gotOther := reachable(filter)
	require.Equal(t, []bool{old, canary, other}, []bool{gotOld, gotCanary, gotOther})
}

func TestNoOrderLimitsNothing(t *testing.T) {
	require.Nil(t, NewFollower(Options{}).Filter(0, simService, testRoute, 0, false))
}

func TestOrderWithoutDirectiveKeepsOldWorkers(t *testing.T) {
	filter := newTestFollower(t).Filter(0, simService, testRoute, 0, false)
	requireReachable(t, filter, true, false, false)
	require.True(t, filter.Fallback().Allows("new-0", simNew), "the target is allowed if no other worker is listed")
}

func TestInvalidOrdersChangeNothing(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	for _, order := range []Order{{}, {Service: simService, Revision: 9}, {Service: simService, Target: "x", Revision: 9}} {
		_, err := follower.SetOrder(0, order)
		require.Error(t, err)
	}
	newer, err := follower.SetOrder(0, testOrder())
	require.NoError(t, err)
	require.False(t, newer)
	requireReachable(t, follower.Filter(0, simService, testRoute, 0, false), false, true, false)
}

func TestCanaryShare(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	requireReachable(t, follower.Filter(0, simService, testRoute, 0.09, false), false, true, false)
	requireReachable(t, follower.Filter(0, simService, testRoute, 0.11, false), true, false, false)
	requireReachable(t, follower.Filter(0, simService, testRoute, 0.09, true), true, false, false)
	filter := follower.Filter(0, simService, testRoute, 0.09, false)
	require.True(t, filter.PrefersTarget())
	require.True(t, filter.Fallback().Allows("old-0", simOld))
}

func TestRouteShareOverridesTheDefault(t *testing.T) {
	directive := canaryDirective(0)
	directive.Shares = map[RouteName]float64{testRoute: 0}
	follower := newTestFollower(t, directive)
	requireReachable(t, follower.Filter(0, simService, testRoute, 0, false), true, false, false)
	requireReachable(t, follower.Filter(0, simService, "b", 0, false), false, true, false)
}

func TestDirectiveExpires(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	requireReachable(t, follower.Filter(DirectiveLifetime, simService, testRoute, 0, false), false, true, false)
	requireReachable(t, follower.Filter(DirectiveLifetime+1, simService, testRoute, 0, false), true, false, false)
	require.Empty(t, follower.Directives(DirectiveLifetime+1), "an expired directive is not relayed")
	require.False(t, NewFollower(Options{}).ApplyDirective(DirectiveLifetime+1, canaryDirective(0)), "an expired directive is not applied")
}

func TestPlannedShiftStartsWithoutANewDirective(t *testing.T) {
	directive := canaryDirective(0)
	directive.ShiftAt = time.Second
	follower := newTestFollower(t, directive)
	requireReachable(t, follower.Filter(time.Second-1, simService, testRoute, 0.5, false), true, false, false)
	requireReachable(t, follower.Filter(time.Second, simService, testRoute, 0.5, false), false, true, true)
	requireReachable(t, follower.Filter(DirectiveLifetime+1, simService, testRoute, 0.5, false), true, false, false)
}

func TestOlderDirectivesAreIgnored(t *testing.T) {
	newer := canaryDirective(0)
	newer.Sequence = 5
	newer.DefaultShare = 0
	follower := newTestFollower(t, newer)
	require.False(t, follower.ApplyDirective(time.Second, canaryDirective(time.Second)))
	requireReachable(t, follower.Filter(time.Second, simService, testRoute, 0, false), true, false, false)
	older := canaryDirective(time.Second)
	older.Revision = 6
	older.Sequence = 99
	require.False(t, follower.ApplyDirective(time.Second, older))
	// An expired directive is replaced even by a lower sequence number, since its director is gone.
	require.True(t, follower.ApplyDirective(3*time.Second, canaryDirective(3*time.Second)))
}

func TestRenewalExtendsADirective(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	require.False(t, follower.ApplyDirective(2*time.Second, canaryDirective(2*time.Second)), "a renewal is not a change")
	requireReachable(t, follower.Filter(4*time.Second, simService, testRoute, 0, false), false, true, false)
	// An older renewal of the same directive, from a slow relay, doesn't shorten its lifetime.
	follower.ApplyDirective(2*time.Second, canaryDirective(time.Second))
	requireReachable(t, follower.Filter(4*time.Second, simService, testRoute, 0, false), false, true, false)
	// A time in the future doesn't extend the lifetime.
	follower.ApplyDirective(4*time.Second, canaryDirective(time.Minute))
	requireReachable(t, follower.Filter(4*time.Second+DirectiveLifetime+1, simService, testRoute, 0, false), true, false, false)
}

func TestFinalDirectivesStay(t *testing.T) {
	for _, stage := range []Stage{StageCompleted, StageRolledBack} {
		final := canaryDirective(0)
		final.Stage = stage
		if stage == StageRolledBack {
			final.Rejected = []fleet.SoftwareVersion{simNew}
		}
		follower := newTestFollower(t, final)
		other := canaryDirective(time.Second)
		other.Sequence = 99
		require.False(t, follower.ApplyDirective(time.Second, other))
		require.Len(t, follower.Directives(time.Hour), 1)
		require.Empty(t, follower.Evidence(0))
		completed := stage == StageCompleted
		requireReachable(t, follower.Filter(time.Second, simService, testRoute, 0.9, false), !completed, completed, completed)
	}
}

// TestFullCompletedTargetKeepsItsRequests guards against sending requests back to old workers,
// which may stop, when the target is full.
func TestFullCompletedTargetKeepsItsRequests(t *testing.T) {
	final := canaryDirective(0)
	final.Stage = StageCompleted
	follower := newTestFollower(t, final)
	filter := follower.Filter(time.Second, simService, testRoute, 0.9, false)
	require.False(t, filter.PrefersTarget())
	require.True(t, filter.Fallback().Allows("old-0", simOld), "old workers are allowed if no worker of the target is listed")
	require.Nil(t, follower.Filter(completedTargetOnly+1, simService, testRoute, 0.9, false), "later releases are not restricted")
}

func TestRejectedVersionNeverGetsRequests(t *testing.T) {
	final := canaryDirective(0)
	final.Stage = StageRolledBack
	final.Rejected = []fleet.SoftwareVersion{simNew}
	follower := newTestFollower(t, final)
	for filter := follower.Filter(time.Hour, simService, testRoute, 0, false); filter != nil; filter = filter.Fallback() {
		require.False(t, filter.Allows("new-0", simNew))
	}
	// It isn't allowed after the next order either, before a directive for that order arrives.
	_, err := follower.SetOrder(time.Hour, Order{Service: simService, Target: "third", Duration: time.Second, Revision: 8})
	require.NoError(t, err)
	for filter := follower.Filter(time.Hour, simService, testRoute, 0, false); filter != nil; filter = filter.Fallback() {
		require.False(t, filter.Allows("new-0", simNew))
	}
}

// TestSupersededTargetIsAvoided guards against preferring an earlier target of unknown outcome to
// other workers, and against excluding it when there are none.
func TestSupersededTargetIsAvoided(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	_, err := follower.SetOrder(time.Second, Order{Service: simService, Target: "third", Duration: time.Second, Revision: 8})
	require.NoError(t, err)
	filter := follower.Filter(time.Second, simService, testRoute, 0, false)
	requireReachable(t, filter, true, false, false)
	requireReachable(t, filter.Fallback(), true, true, true)
	require.False(t, filter.Fallback().Allows("third-0", "third"))
	require.True(t, filter.Fallback().Fallback().Allows("third-0", "third"))
}

func TestDirectiveImpliesItsOrder(t *testing.T) {
	follower := NewFollower(Options{})
	require.True(t, follower.ApplyDirective(0, canaryDirective(0)))
	requireReachable(t, follower.Filter(0, simService, testRoute, 0, false), false, true, false)
	require.Len(t, follower.Evidence(0), 1)
}

func TestNewVersionIsHeldBackWithoutAnOrder(t *testing.T) {
	follower := NewFollower(Options{})
	follower.ObserveVersions(0, simService, []fleet.SoftwareVersion{simOld})
	require.Nil(t, follower.Filter(0, simService, testRoute, 0, false))
	follower.ObserveVersions(time.Second, simService, []fleet.SoftwareVersion{simOld, simNew})
	filter := follower.Filter(time.Second, simService, testRoute, 0, false)
	requireReachable(t, filter, true, false, false)
	require.True(t, filter.Fallback().Allows("new-0", simNew))
	require.Nil(t, follower.Filter(time.Second+newVersionHold, simService, testRoute, 0, false))
}

// recordResponses records n responses of a worker and reports whether the follower stopped sending.
func recordResponses(follower *Follower, n int, worker fleet.EngineID, version fleet.SoftwareVersion, failed bool) bool {
	stopped := false
	for range n {
		stopped = follower.RecordOutcome(0, Outcome{Service: simService, Route: testRoute, Worker: worker, Version: version, Failed: failed, TimeToFirstByte: time.Second, Predicted: time.Second}) || stopped
	}
	return stopped
}

func TestFollowerStopsOnItsOwnEvidence(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	recordResponses(follower, 200, "old-0", simOld, false)
	require.False(t, recordResponses(follower, 50, "new-0", simNew, true), "a single bad worker does not reject the version")
	require.True(t, recordResponses(follower, 5, "new-1", simNew, true))
	requireReachable(t, follower.Filter(0, simService, testRoute, 0, false), true, false, false)
	require.True(t, follower.Evidence(0)[0].Stopped)
	shifting := canaryDirective(time.Second)
	shifting.Stage, shifting.Sequence = StageShifting, 2
	require.True(t, follower.ApplyDirective(time.Second, shifting))
	requireReachable(t, follower.Filter(time.Second, simService, testRoute, 0, false), true, false, false)
}

func TestFollowerStopsOnSlowResponses(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	recordResponses(follower, 200, "old-0", simOld, false)
	stopped := false
	for index := range 12 {
		worker := []fleet.EngineID{"new-0", "new-1"}[index%2]
		stopped = stopped || follower.RecordOutcome(0, Outcome{Service: simService, Route: testRoute, Worker: worker, Version: simNew, TimeToFirstByte: 8 * time.Second, Predicted: time.Second})
	}
	require.True(t, stopped)
}

func TestEvidenceIsACopy(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	recordResponses(follower, 3, "old-0", simOld, false)
	recordResponses(follower, 2, "new-0", simNew, true)
	evidence := follower.Evidence(0)[0]
	recordResponses(follower, 3, "old-0", simOld, false)
	recordResponses(follower, 3, "new-0", simNew, false)
	require.EqualValues(t, 3, evidence.Old[testRoute].Responses)
	require.EqualValues(t, 2, evidence.New[testRoute]["new-0"].Failures)
	require.EqualValues(t, 2, evidence.New[testRoute]["new-0"].Responses)
}

func TestFilterAllocatesNothing(t *testing.T) {
	follower := newTestFollower(t, canaryDirective(0))
	random := rand.New(rand.NewPCG(1, 1))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		filter := follower.Filter(0, simService, testRoute, random.Float64(), false)
		filter.Allows("new-0", simNew)
	}))
}
