package gateway

import (
	"context"
	"net/url"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/liveness"
	"github.com/tillerfall/tillerfall/internal/rollout"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// watchTestSend watches a repeatable send to an engine, and returns the context that its move ends.
func watchTestSend(g *Gateway, engine fleet.EngineID) (*watchedSend, context.Context) {
	ctx, cancel := context.WithCancelCause(context.Background())
	send := &watchedSend{
		cancel: cancel, service: "engines", hasElsewhere: func(time.Duration, streamorigin.Constraint) bool { return true },
		moves: make(chan struct{}, 1),
	}
	send.run = g.engineWatch.monitor.Begin(0, liveness.Send{
		Engine: engine, Expected: 10 * time.Millisecond, Deadline: time.Minute, Target: time.Minute, Repeatable: true, Resumable: true,
	})
	g.engineWatch.sends[send.run] = send
	return send, ctx
}

// fallSilent evaluates the monitor until it names moves. Another engine is heard throughout.
func fallSilent(t *testing.T, g *Gateway) (time.Duration, liveness.Verdict) {
	t.Helper()
	monitor := g.engineWatch.monitor
	live := monitor.Begin(0, liveness.Send{Engine: "live"})
	for now := evaluationInterval; now < 2*time.Second; now += evaluationInterval {
		monitor.Head(now, live)
		if verdict := monitor.Evaluate(now); len(verdict.Moves) > 0 {
			return now, verdict
		}
	}
	require.Fail(t, "no engine fell silent")
	return 0, liveness.Verdict{}
}

// earnRetries fills the retry budget of a service.
func earnRetries(g *Gateway, service fleet.PoolName) {
	for range 1000 {
		g.budgets.forRequest(service, "r1").Deposit(0)
	}
}

// TestSendStaysWithNowhereToGo guards against a send that is broken off while nothing else could
// take it, and against one that then never moves.
func TestSendStaysWithNowhereToGo(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	send, ctx := watchTestSend(g, "dark")
	room := false
	send.hasElsewhere = func(time.Duration, streamorigin.Constraint) bool { return room }
	now, verdict := fallSilent(t, g)
	g.moveSends(now, verdict.Moves)
	require.NoError(t, ctx.Err())
	room = true
	g.moveSends(now, verdict.Moves)
	assert.ErrorIs(t, context.Cause(ctx), errEngineSilent)
}

// TestStreamStaysWithoutItsCopy guards against a stream that is broken off although the engine with
// its copy, its only way on, can't continue it.
func TestStreamStaysWithoutItsCopy(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	send, ctx := watchTestSend(g, "dark")
	for event := range 3 {
		g.engineWatch.monitor.Event(time.Duration(event)*time.Millisecond, send.run, true)
	}
	usable := false
	send.canContinue, send.copyHolder = func(time.Duration) bool { return usable }, "holder"
	g.workers.Observe(1, backends.Worker{ID: "holder", Service: "engines"})
	now, verdict := fallSilent(t, g)
	g.moveSends(now, verdict.Moves)
	require.Empty(t, send.moves)
	usable = true
	g.moveSendsAfter(now, verdict.Moves, "holder")
	assert.Len(t, send.moves, 1)
	assert.NoError(t, ctx.Err(), "the stream stays open until another engine has taken it over")
}

// beginCopiedStream watches a stream whose only way on is its copy, after some events. A probe of the engine with the
// copy is under way.
func beginCopiedStream(g *Gateway) *watchedSend {
	send, _ := watchTestSend(g, "dark")
	for event := range 3 {
		g.engineWatch.monitor.Event(time.Duration(event)*time.Millisecond, send.run, true)
	}
	send.canContinue, send.copyHolder = func(time.Duration) bool { return true }, "holder"
	g.workers.Observe(1, backends.Worker{ID: "holder", Service: "engines"})
	g.engineWatch.awaiting["holder"] = nil
	return send
}

// TestUnheardEngineIsAskedForACopy guards against a stream that an engine is asked to continue which is silent too, so
// that its refusal comes after the close of the first connection.
func TestUnheardEngineIsAskedForACopy(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	send := beginCopiedStream(g)
	now, verdict := fallSilent(t, g)
	g.recordSilence(now, &liveness.Silence{Engine: "dark", Since: now - time.Second})
	g.moveSends(now, verdict.Moves)
	assert.Empty(t, send.moves)
	g.moveSendsAfter(now, g.engineWatch.takeAwaiting("holder"), "holder")
	assert.Len(t, send.moves, 1, "moved with the answer")
	assert.Empty(t, g.engineWatch.awaiting)
}

// slowEngines answers a call for a report after a time.
type slowEngines struct {
	EngineClient
	delay time.Duration
}

func (e slowEngines) Report(ctx context.Context, _ backends.Worker) (rollout.Report, error) {
	if !pauseWithContext(ctx, e.delay) {
		return rollout.Report{}, &url.Error{Op: "Get", Err: ctx.Err()}
	}
	return rollout.Report{}, nil
}

// TestSlowReportKeepsStreamAtALostEngine guards against a stream that waits at a dark engine, since the engine with its
// copy takes longer to report than a suspected one may.
func TestSlowReportKeepsStreamAtALostEngine(t *testing.T) {
	g := newTestGateway(t)
	g.dependencies.Engines = slowEngines{delay: liveness.ProbeTimeout + 50*time.Millisecond}
	earnRetries(g, "engines")
	send := beginCopiedStream(g)
	delete(g.engineWatch.awaiting, "holder")
	now, verdict := fallSilent(t, g)
	g.recordSilence(now, &liveness.Silence{Engine: "dark", Since: now})
	g.moveSends(now, verdict.Moves)
	assert.Empty(t, send.moves)
	assert.Eventually(t, func() bool { return len(send.moves) == 1 }, time.Second, time.Millisecond)
}

// TestStreamStaysAtALostEngine guards against a stream that waits for ever for a sign of the engine with its copy,
// though its own engine is silent for longer than a sound one.
func TestStreamStaysAtALostEngine(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	send := beginCopiedStream(g)
	now, verdict := fallSilent(t, g)
	g.recordSilence(now, &liveness.Silence{Engine: "dark", Since: now})
	g.moveSends(now+fleet.MaxSilence, verdict.Moves)
	assert.Empty(t, send.moves)
	g.moveSends(now+fleet.MaxSilence+time.Millisecond, verdict.Moves)
	assert.Len(t, send.moves, 1)
}

// TestStreamingEngineIsProbedForACopy guards against a probe, and the wait for it, of an engine whose events come in.
func TestStreamingEngineIsProbedForACopy(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	send := beginCopiedStream(g)
	other := g.engineWatch.monitor.Begin(0, liveness.Send{Engine: "holder"})
	now, verdict := fallSilent(t, g)
	g.recordSilence(now, &liveness.Silence{Engine: "dark", Since: now})
	g.engineWatch.monitor.Event(now-maxHolderAge, other, true)
	g.moveSends(now, verdict.Moves)
	assert.Len(t, send.moves, 1)
	assert.Empty(t, g.engineWatch.awaiting["holder"])
}

// TestSendStaysOnceEngineIsHeard guards against a send that is broken off after a sign of life has
// come between the verdict and the move.
func TestSendStaysOnceEngineIsHeard(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "engines")
	send, ctx := watchTestSend(g, "dark")
	now, verdict := fallSilent(t, g)
	g.engineWatch.monitor.Head(now, send.run)
	g.moveSends(now, verdict.Moves)
	assert.NoError(t, ctx.Err())
}

// TestSpentBudgetBlocksOtherServices guards against sends of one service that stay because the retry
// budget of another one is spent, and against counting a waiting send more than once.
func TestSpentBudgetBlocksOtherServices(t *testing.T) {
	g := newTestGateway(t)
	earnRetries(g, "other")
	_, first := watchTestSend(g, "dark")
	send, second := watchTestSend(g, "dark")
	send.service = "other"
	now, verdict := fallSilent(t, g)
	require.Len(t, verdict.Moves, 2)
	g.moveSends(now, verdict.Moves)
	g.moveSends(now, verdict.Moves)
	require.NoError(t, first.Err())
	require.ErrorIs(t, context.Cause(second), errEngineSilent)
	assert.InDelta(t, 1, testutil.ToFloat64(g.metrics.silence.moves.WithLabelValues("over_budget")), 0)
}

// TestWholeAnswerTriesSilentEngine guards against a request without events as the trial of a silent
// engine, where nothing would move it on.
func TestWholeAnswerTriesSilentEngine(t *testing.T) {
	policy := attempt.ForwardingPolicy{MaxRuns: 2, Idempotent: true}
	attempts := attempt.NewForwarding(0, policy, attempt.NewBudget(attempt.BudgetOptions{}))
	assert.True(t, mayTry(&callerRequest{attempts: attempts, route: &routes.Route{Kind: routes.Streaming}}))
	assert.False(t, mayTry(&callerRequest{attempts: attempts, route: &routes.Route{Kind: routes.Safe}}))
	assert.False(t, mayTry(&callerRequest{attempts: attempts, route: &routes.Route{Kind: routes.Streaming}, moved: true}))
}

// TestRelayedEventEndsSilence guards against the end of a silence by an event that another gateway
// has heard.
func TestRelayedEventEndsSilence(t *testing.T) {
	g := newTestGateway(t)
	g.workers.Observe(1, backends.Worker{ID: "dark", Service: "engines"})
	g.recordSilence(g.now(), &liveness.Silence{Engine: "dark"})
	require.NotEmpty(t, g.workers.Suspects(g.now()))
	g.applyCacheUpdates([]cachefeed.Update{{Cache: "dark"}})
	assert.Contains(t, g.engineWatch.silentSince, fleet.EngineID("dark"))
	assert.Empty(t, g.workers.Suspects(g.now()), "the trial is due")
}

// TestUnsentMoveCountsAsMove guards against a request that stays at a second silent engine because a
// send of which no byte was written was moved before, and against holding that send against the engine.
func TestUnsentMoveCountsAsMove(t *testing.T) {
	g := newTestGateway(t)
	g.workers.Observe(1, backends.Worker{ID: "dark", Service: "app", Slots: 1})
	for _, sent := range []bool{false, true} {
		placement, refusal := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
		require.NotNil(t, placement, refusal)
		policy := attempt.ForwardingPolicy{MaxRuns: 2, Idempotent: true, Deadline: g.now() + time.Minute}
		current := deliveryRequest()
		current.attempts = attempt.NewForwarding(g.now(), policy, attempt.NewBudget(attempt.BudgetOptions{}))
		outcome := backends.Cancelled
		if sent {
			outcome = backends.Silent
		}
		step := g.abandonSilent(current, placement, sent)
		assert.Equal(t, attempt.StepSend, step.Kind)
		assert.Equal(t, sent, current.moved)
		assert.InDelta(t, 1, testutil.ToFloat64(g.metrics.attempts.WithLabelValues("app", outcome.String())), 0)
	}
}

// TestHeardEngineIsAnnounced guards against telling other gateways of an engine that has been heard
// since it was found silent.
func TestHeardEngineIsAnnounced(t *testing.T) {
	g := newTestGateway(t)
	for _, engine := range []fleet.EngineID{"heard", "dark"} {
		g.recordSilence(0, &liveness.Silence{Engine: engine})
	}
	g.observeAnswer("heard")
	assert.Equal(t, []fleet.EngineID{"dark"}, g.engineWatch.takeUnannounced(time.Second))
	assert.Empty(t, g.engineWatch.takeUnannounced(time.Minute))
}

// TestForgottenWorkerStaysSilent guards against a record and a gauge that keep a worker that is gone.
func TestForgottenWorkerStaysSilent(t *testing.T) {
	g := newTestGateway(t)
	g.workers.Observe(1, backends.Worker{ID: "known", Service: "engines"})
	for _, engine := range []fleet.EngineID{"known", "gone"} {
		g.recordSilence(0, &liveness.Silence{Engine: engine})
	}
	g.sweepSilences()
	assert.Len(t, g.engineWatch.silentSince, 1)
	assert.Contains(t, g.engineWatch.silentSince, fleet.EngineID("known"))
	assert.InDelta(t, 1, testutil.ToFloat64(g.metrics.silence.silentEngines), 0)
}

// TestBegunStreamMovesOnlyWithinItsVersion guards against a send that is broken off since an engine of
// another software version has room.
func TestBegunStreamMovesOnlyWithinItsVersion(t *testing.T) {
	monitor := liveness.New()
	send := &watchedSend{run: monitor.Begin(0, liveness.Send{Engine: "e"}), software: "v1"}
	send.hasElsewhere = func(_ time.Duration, origin streamorigin.Constraint) bool { return origin.Allows("v2") }
	assert.True(t, send.canMove(0))
	monitor.Event(0, send.run, true)
	assert.False(t, send.canMove(0))
	send.software = "v2"
	assert.True(t, send.canMove(0))
}
