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

// limitObservation is what a worker named at a time.
func limitObservation(rate workerlimit.Rate, at time.Duration) workerlimit.Observation {
	return workerlimit.Observation{Worker: "w", Limited: true, Rate: rate, RequestedAt: at, AnsweredAt: at}
}

func TestOnlyAWorkersOwnAnswerTellsOfItsLimit(t *testing.T) {
	limited := workerlimit.Statement{Kind: workerlimit.Limited, Rate: 2}
	assert.True(t, saysLimit(AnswerInfo{Signed: true, Notice: Notice{Limit: limited}}))
	assert.True(t, saysLimit(AnswerInfo{NotExecuted: true, Notice: Notice{Limit: limited}}), "it says so where it rejects as well")
	assert.False(t, saysLimit(AnswerInfo{NotExecuted: true, Notice: Notice{Misdirected: true, Limit: limited}}), "another run")
	assert.True(t, saysLimit(AnswerInfo{Signed: true}))
	assert.False(t, saysLimit(AnswerInfo{}), "it may not be the worker's")
	assert.False(t, saysLimit(AnswerInfo{NotExecuted: true, Signed: true}))
	assert.False(t, saysLimit(AnswerInfo{Signed: true, Notice: Notice{Limit: workerlimit.Statement{Kind: workerlimit.Unreadable}}}))
}

// TestObservationIsNoYoungerAfterACall: what was said within a call may be as old as the call.
func TestObservationIsNoYoungerAfterACall(t *testing.T) {
	observation := limitObservation(2, 0)
	observation.RequestedAt, observation.AnsweredAt = 900*time.Millisecond, 1000*time.Millisecond
	told := encodeLimit(5*time.Second, &observation)
	heard, err := decodeLimit(told, 100*time.Second, 100*time.Second+200*time.Millisecond)
	require.NoError(t, err)
	assert.Equal(t, 95900*time.Millisecond, heard.RequestedAt)
	assert.Equal(t, 96200*time.Millisecond, heard.AnsweredAt)
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		_, err := decodeLimit(&rpc.WorkerLimit{Worker: "w", Limited: true, Rate: rate}, 0, 0)
		assert.Error(t, err)
	}
	_, err = decodeLimit(nil, 0, 0)
	assert.Error(t, err)
}

// TestNothingIsSaidWhileNoWorkerHasALimit, and the end of one is told for a while.
func TestNothingIsSaidWhileNoWorkerHasALimit(t *testing.T) {
	g := idleGateway(t)
	assert.Empty(t, g.loadReport("other").GetLimits())
	assert.False(t, g.limits.any.Load())
	g.limits.observe(limitObservation(2, g.now()), true)
	reported := g.loadReport("other").GetLimits()
	require.Len(t, reported, 1)
	assert.True(t, reported[0].GetLimited())

	other := idleGateway(t)
	answer := other.answerLoad(context.Background(), &rpc.LoadReport{Node: "g", Partial: true, LimitsOnly: true, Limits: reported})
	assert.True(t, other.limits.limited("w", 0))
	assert.Len(t, answer.GetLimits(), 1)
	assert.Len(t, g.limits.takeUntold(), 1)
	assert.Empty(t, other.limits.takeUntold(), "what another node told isn't passed on at once: that one tells all")

	ended := workerlimit.Observation{Worker: "w", RequestedAt: g.now() + time.Second, AnsweredAt: g.now() + time.Second}
	g.limits.observe(ended, true)
	require.Len(t, g.loadReport("other").GetLimits(), 1)
	assert.False(t, g.loadReport("other").GetLimits()[0].GetLimited())
}

// TestNodeThatHasJustStartedGrantsNothing: it may not be the one that grants.
func TestNodeThatHasJustStartedGrantsNothing(t *testing.T) {
	g := idleGateway(t)
	g.settled.Store(false)
	question := &rpc.LimitQuestion{Limit: &rpc.WorkerLimit{Worker: "w", Limited: true, Rate: 2}}
	_, err := g.answerGrant(context.Background(), question)
	assert.ErrorIs(t, err, errUnsettled)
	g.settled.Store(true)
	answer, err := g.answerGrant(context.Background(), question)
	require.NoError(t, err)
	assert.False(t, answer.GetGranted(), "it begins with nothing to give")
	assert.InDelta(t, 500, answer.GetWaitMillis(), 20)
	assert.True(t, answer.GetLimit().GetLimited())
}

// TestWhoGrantsKnowsThatALimitHasEnded and says so to one that believes in it still.
func TestWhoGrantsKnowsThatALimitHasEnded(t *testing.T) {
	g := idleGateway(t)
	g.settled.Store(true)
	now := g.now() + 10*time.Second
	g.limits.observe(limitObservation(2, now-2*time.Second), false)
	g.limits.observe(workerlimit.Observation{Worker: "w", RequestedAt: now - time.Second, AnsweredAt: now}, false)
	answer, err := g.grant(limitObservation(2, now-2*time.Second), 0)
	require.NoError(t, err)
	assert.True(t, answer.Granted)
	known, found := g.limits.known("w")
	assert.True(t, found)
	assert.False(t, known.Limited)
}

// TestPartIsLeftToMembersThatWentOfLate: they may be alive beyond a cut, and grant there.
func TestPartIsLeftToMembersThatWentOfLate(t *testing.T) {
	var touched touch
	assert.InDelta(t, 1, touched.part(0, 8), 0.001)
	assert.InDelta(t, 0.25, touched.part(time.Second, 2), 0.001)
	assert.InDelta(t, 0.25, touched.part(9*time.Second, 2), 0.001)
	assert.InDelta(t, 1, touched.part(touchMemory+time.Second, 2), 0.001)
	assert.InDelta(t, 1, touched.part(touchMemory+2*time.Second, 5), 0.001)
}

// TestNextNodeIsAskedWhereOneDoesNotAnswer, for a short time, and for longer where its release
// doesn't know the question.
func TestNextNodeIsAskedWhereOneDoesNotAnswer(t *testing.T) {
	g := idleGateway(t)
	view := largeFleet(20)
	near := membership.Location{Zone: "z1"}
	now := 100 * time.Second
	first := g.limits.granter(now, "w", near, view)
	found, known := view.Find(first)
	require.True(t, known)
	assert.EqualValues(t, "z1", found.Zone, "near the worker")

	g.limits.passOver(first, now+silentFor)
	second := g.limits.granter(now, "w", near, view)
	assert.NotEqual(t, first, second)
	assert.Equal(t, first, g.limits.granter(now+silentFor, "w", near, view))

	g.noteSilentGranter(context.Background(), membership.Member{Node: first}, twirp.NewError(twirp.BadRoute, "no handler"))
	assert.Equal(t, second, g.limits.granter(g.now()+silentFor+time.Second, "w", near, view))
	assert.Equal(t, first, g.limits.granter(g.now()+unableFor, "w", near, view))

	for g.limits.granter(now, "w", near, view) != "" {
		g.limits.passOver(g.limits.granter(now, "w", near, view), now+silentFor)
	}
	assert.NotEmpty(t, g.limits.granter(now+silentFor, "w", near, view), "none answered a moment ago: nothing is granted")
}

// TestOneWorkerIsGrantedByTheSameNodeAtAllNodes, whichever they are.
func TestOneWorkerIsGrantedByTheSameNodeAtAllNodes(t *testing.T) {
	one, other := idleGateway(t), idleGateway(t)
	granters := make(map[fleet.NodeID]bool)
	for number := range 200 {
		worker := fleet.EngineID(rune('a' + number))
		granter := one.limits.granter(0, worker, membership.Location{}, largeFleet(30))
		assert.Equal(t, granter, other.limits.granter(0, worker, membership.Location{}, largeFleet(30)))
		granters[granter] = true
	}
	assert.Greater(t, len(granters), 15, "shared out over the nodes")
}

// TestRunsUnderOneNameHaveLimitsOfTheirOwn.
func TestRunsUnderOneNameHaveLimitsOfTheirOwn(t *testing.T) {
	g := idleGateway(t)
	observation := limitObservation(2, g.now())
	observation.StartTime = 100
	g.limits.observe(observation, false)
	intake, _ := g.limits.intake(g.now(), &backends.Worker{ID: "w", Born: 100}, 0)
	assert.Equal(t, backends.IntakeLimited, intake)
	intake, _ = g.limits.intake(g.now(), &backends.Worker{ID: "w", Born: 200}, 0)
	assert.Equal(t, backends.IntakeFree, intake)
	g.limits.close(g.now(), "w", 5, workerlimit.Grant{Wait: time.Second, Refill: 100 * time.Millisecond})
	intake, opensIn := g.limits.intake(g.now(), &backends.Worker{ID: "w", Born: 100}, 5)
	assert.Equal(t, backends.IntakeClosed, intake)
	assert.InDelta(t, 1, opensIn.Seconds(), 0.05)
	_, opensIn = g.limits.intake(g.now(), &backends.Worker{ID: "w", Born: 100}, 1)
	assert.InDelta(t, 0.1, opensIn.Seconds(), 0.05, "more urgent requests may ask sooner")
	g.forgetFormerRun("w")
	assert.False(t, g.limits.limited("w", 0))
}

// TestNodeIsNotPassedOverWhereACallerLeaves while it is asked.
func TestNodeIsNotPassedOverWhereACallerLeaves(t *testing.T) {
	g := idleGateway(t)
	near, view := membership.Location{Zone: "z1"}, largeFleet(20)
	first := g.limits.granter(g.now(), "w", near, view)
	gone, leave := context.WithCancel(context.Background())
	leave()
	g.noteSilentGranter(gone, membership.Member{Node: first}, context.Canceled)
	assert.Equal(t, first, g.limits.granter(g.now(), "w", near, view))
	g.noteSilentGranter(context.Background(), membership.Member{Node: first}, context.DeadlineExceeded)
	assert.NotEqual(t, first, g.limits.granter(g.now(), "w", near, view))
}
