package gateway

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/workerlimit"
)

// limitObservation returns an observation of worker w's limit at a time.
func limitObservation(rate workerlimit.Rate, at time.Duration) workerlimit.Observation {
	return workerlimit.Observation{Worker: "w", Limited: true, Rate: rate, RequestedAt: at, AnsweredAt: at}
}

func TestLimitStatementMustComeFromTheWorker(t *testing.T) {
	limited := workerlimit.AdvertisedLimit{Kind: workerlimit.Limited, Rate: 2}
	assert.True(t, hasValidLimit(ResponseInfo{Signed: true, Notice: Notice{Limit: limited}}))
	assert.True(t, hasValidLimit(ResponseInfo{NotExecuted: true, Notice: Notice{Limit: limited}}), "rejection with a limit")
	assert.False(t, hasValidLimit(ResponseInfo{NotExecuted: true, Notice: Notice{Misdirected: true, Limit: limited}}), "response of another run")
	assert.True(t, hasValidLimit(ResponseInfo{Signed: true}))
	assert.False(t, hasValidLimit(ResponseInfo{}), "unsigned response")
	assert.False(t, hasValidLimit(ResponseInfo{NotExecuted: true, Signed: true}))
	assert.False(t, hasValidLimit(ResponseInfo{Signed: true, Notice: Notice{Limit: workerlimit.AdvertisedLimit{Kind: workerlimit.Unreadable}}}))
}

// Encoding must not make an observation younger than the call that delivered it.
func TestDecodedLimitIsNoYounger(t *testing.T) {
	observation := limitObservation(2, 0)
	observation.RequestedAt, observation.AnsweredAt = 900*time.Millisecond, 1000*time.Millisecond
	encoded := encodeLimit(5*time.Second, &observation)
	decoded, err := decodeLimit(encoded, 100*time.Second, 100*time.Second+200*time.Millisecond)
	require.NoError(t, err)
	assert.Equal(t, 95900*time.Millisecond, decoded.RequestedAt)
	assert.Equal(t, 96200*time.Millisecond, decoded.AnsweredAt)
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		_, err := decodeLimit(&rpc.WorkerLimit{Worker: "w", Limited: true, Rate: rate}, 0, 0)
		assert.Error(t, err)
	}
	_, err = decodeLimit(nil, 0, 0)
	assert.Error(t, err)
}

// Reports must not carry limits while none is known, and must carry the end of one.
func TestReportsOmitLimitsWhenNoneExist(t *testing.T) {
	g := newTestGateway(t)
	assert.Empty(t, g.loadReport("other").GetLimits())
	assert.False(t, g.limits.active.Load())
	g.limits.observe(limitObservation(2, g.now()), true)
	reported := g.loadReport("other").GetLimits()
	require.Len(t, reported, 1)
	assert.True(t, reported[0].GetLimited())

	other := newTestGateway(t)
	response := other.handleLoadReport(context.Background(), &rpc.LoadReport{Node: "g", Partial: true, LimitsOnly: true, Limits: reported})
	assert.True(t, other.limits.isLimited("w", 0))
	assert.Len(t, response.GetLimits(), 1)
	assert.Len(t, g.limits.takePendingBroadcast(), 1)
	assert.Empty(t, other.limits.takePendingBroadcast(), "received limits aren't broadcast")

	ended := workerlimit.Observation{Worker: "w", RequestedAt: g.now() + time.Second, AnsweredAt: g.now() + time.Second}
	g.limits.observe(ended, true)
	require.Len(t, g.loadReport("other").GetLimits(), 1)
	assert.False(t, g.loadReport("other").GetLimits()[0].GetLimited())
}

// A gateway that doesn't know its role yet must not grant: another one may be the granter.
func TestUnsettledNodeGrantsNothing(t *testing.T) {
	g := newTestGateway(t)
	g.roleSettled.Store(false)
	request := &rpc.LimitQuestion{Limit: &rpc.WorkerLimit{Worker: "w", Limited: true, Rate: 2}}
	_, err := g.handleGrantRequest(context.Background(), request)
	assert.ErrorIs(t, err, errUnsettled)
	g.roleSettled.Store(true)
	response, err := g.handleGrantRequest(context.Background(), request)
	require.NoError(t, err)
	assert.False(t, response.GetGranted(), "no initial allowance")
	assert.InDelta(t, 500, response.GetWaitMillis(), 20)
	assert.True(t, response.GetLimit().GetLimited())
}

// A granter that knows the end of a limit must override an older observation of the asking gateway.
func TestGranterKnowsThatALimitHasEnded(t *testing.T) {
	g := newTestGateway(t)
	g.roleSettled.Store(true)
	now := g.now() + 10*time.Second
	g.limits.observe(limitObservation(2, now-2*time.Second), false)
	g.limits.observe(workerlimit.Observation{Worker: "w", RequestedAt: now - time.Second, AnsweredAt: now}, false)
	response, err := g.grant(limitObservation(2, now-2*time.Second), 0)
	require.NoError(t, err)
	assert.True(t, response.Granted)
	known, found := g.limits.knownObservation("w")
	assert.True(t, found)
	assert.False(t, known.Limited)
}

// Members that have just gone may grant in another partition, so their share must stay reserved.
func TestShareIsReservedForRecentMembers(t *testing.T) {
	var share memberShare
	assert.InDelta(t, 1, share.update(0, 8), 0.001)
	assert.InDelta(t, 0.25, share.update(time.Second, 2), 0.001)
	assert.InDelta(t, 0.25, share.update(9*time.Second, 2), 0.001)
	assert.InDelta(t, 1, share.update(memberShareWindow+time.Second, 2), 0.001)
	assert.InDelta(t, 1, share.update(memberShareWindow+2*time.Second, 5), 0.001)
}

// A granter that doesn't answer must be skipped briefly, one that doesn't support grants for
// longer.
func TestUnansweredGranterIsSkipped(t *testing.T) {
	g := newTestGateway(t)
	view := largeFleet(20)
	near := membership.Location{Zone: "z1"}
	now := 100 * time.Second
	first := g.limits.selectGranter(now, "w", near, view)
	found, known := view.Find(first)
	require.True(t, known)
	assert.EqualValues(t, "z1", found.Zone, "granter near the worker")

	g.limits.skipGranter(first, now+unansweredBackoff)
	second := g.limits.selectGranter(now, "w", near, view)
	assert.NotEqual(t, first, second)
	assert.Equal(t, first, g.limits.selectGranter(now+unansweredBackoff, "w", near, view))

	g.markGranterUnavailable(context.Background(), membership.Member{Node: first}, twirp.NewError(twirp.BadRoute, "no handler"))
	assert.Equal(t, second, g.limits.selectGranter(g.now()+unansweredBackoff+time.Second, "w", near, view))
	assert.Equal(t, first, g.limits.selectGranter(g.now()+unsupportedBackoff, "w", near, view))

	for g.limits.selectGranter(now, "w", near, view) != "" {
		g.limits.skipGranter(g.limits.selectGranter(now, "w", near, view), now+unansweredBackoff)
	}
	assert.NotEmpty(t, g.limits.selectGranter(now+unansweredBackoff, "w", near, view), "granters available again after the backoff")
}

// Two granters for one worker would exceed its limit.
func TestAllNodesSelectTheSameGranter(t *testing.T) {
	one, other := newTestGateway(t), newTestGateway(t)
	granters := make(map[fleet.NodeID]bool)
	for number := range 200 {
		worker := fleet.EngineID(rune('a' + number))
		granter := one.limits.selectGranter(0, worker, membership.Location{}, largeFleet(30))
		assert.Equal(t, granter, other.limits.selectGranter(0, worker, membership.Location{}, largeFleet(30)))
		granters[granter] = true
	}
	assert.Greater(t, len(granters), 15, "granters spread over the nodes")
}

// The limit of one run must not apply to the next run of the same name.
func TestLimitsArePerWorkerRun(t *testing.T) {
	g := newTestGateway(t)
	observation := limitObservation(2, g.now())
	observation.StartTime = 100
	g.limits.observe(observation, false)
	admission, _ := g.limits.admission(g.now(), &backends.Worker{ID: "w", StartTime: 100}, 0)
	assert.Equal(t, backends.AdmissionLimited, admission)
	admission, _ = g.limits.admission(g.now(), &backends.Worker{ID: "w", StartTime: 200}, 0)
	assert.Equal(t, backends.AdmissionUnlimited, admission)
	g.limits.recordRefusal(g.now(), "w", 5, workerlimit.Grant{Wait: time.Second, Refill: 100 * time.Millisecond})
	admission, opensIn := g.limits.admission(g.now(), &backends.Worker{ID: "w", StartTime: 100}, 5)
	assert.Equal(t, backends.AdmissionClosed, admission)
	assert.InDelta(t, 1, opensIn.Seconds(), 0.05)
	_, opensIn = g.limits.admission(g.now(), &backends.Worker{ID: "w", StartTime: 100}, 1)
	assert.InDelta(t, 0.1, opensIn.Seconds(), 0.05, "higher priority opens earlier")
	g.forgetPreviousRun("w")
	assert.False(t, g.limits.isLimited("w", 0))
}

// A caller that leaves during a call must not make the granter count as unavailable.
func TestCallerCancellationDoesNotSkipGranter(t *testing.T) {
	g := newTestGateway(t)
	near, view := membership.Location{Zone: "z1"}, largeFleet(20)
	first := g.limits.selectGranter(g.now(), "w", near, view)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	g.markGranterUnavailable(cancelled, membership.Member{Node: first}, context.Canceled)
	assert.Equal(t, first, g.limits.selectGranter(g.now(), "w", near, view))
	g.markGranterUnavailable(context.Background(), membership.Member{Node: first}, context.DeadlineExceeded)
	assert.NotEqual(t, first, g.limits.selectGranter(g.now(), "w", near, view))
}
