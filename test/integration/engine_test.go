package integration

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
)

// longHeaderTimeout keeps the agent from giving up an exchange that a test holds.
var longHeaderTimeout = map[string][]string{"agent": {"--set", "engines.header_timeout=10m"}}

// shortHeaderTimeout makes the agent give up a silent engine soon.
var shortHeaderTimeout = map[string][]string{"agent": {"--set", "engines.header_timeout=700ms"}}

// TestEngineKilledWhileItsStreamRuns kills an engine under a stream. The stream
// goes on at another engine from exactly the tokens sent.
func TestEngineKilledWhileItsStreamRuns(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat(model, 300, "You answer clerks.", "Which flag covers tankers?")
	opened := send(t, f.agentAddress(), request)
	opened.readTokens(5)
	killed := f.engineForRequest(opened.answer.requestID())
	old := f.engineStatus(killed).Incarnation
	f.processes[killed].kill()
	got := opened.readAll()
	requireComplete(t, request, got)
	assert.Positive(t, f.executionsElsewhere(killed, got.requestID()), "another engine has gone on")

	f.processes[killed].start()
	f.awaitListening(killed)
	assert.Greater(t, f.engineStatus(killed).Incarnation, old)
	f.awaitConvergence()
	assert.Zero(t, f.executionsAt(killed, got.requestID()), "the new run has begun the old request")
}

// TestEngineKilledUnderNotRepeatableRequest kills an engine under a stream that
// must run at most once: it ends in an error event and runs nowhere else.
func TestEngineKilledUnderNotRepeatableRequest(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat(model, 300, "You book tankers.", "Book one for Bopal.").notRepeatable()
	opened := send(t, f.agentAddress(), request)
	opened.readTokens(5)
	killed := f.engineForRequest(opened.answer.requestID())
	f.processes[killed].kill()
	f.processes[killed].start()
	got := opened.readAll()
	require.NotNil(t, got.failure)
	assert.EqualValues(t, resultcode.StreamInterrupted, got.failure.ResultCode)
	assert.False(t, got.failure.NotRun)
	requireCompleteOrError(t, request, got)
	f.awaitListening(killed)
	f.awaitConvergence()
	assert.Zero(t, f.executions(got.requestID()), "only the killed run has begun the request")
}

// TestRestartedEngineRejectsLateDispatch delivers a dispatch after its engine has been
// restarted. The new run rejects it.
func TestRestartedEngineRejectsLateDispatch(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: longHeaderTimeout})
	f.setEngineRules(rule{direction: towardsServer, match: dispatchLine, action: actionHold, remaining: matchLimit(1)})
	request := chat(model, 20, "You book tankers.", "Book one for Vasna.").notRepeatable()
	var got answer
	var running sync.WaitGroup
	running.Go(func() { got = ask(t, f.agentAddress(), request) })
	held := f.awaitMatchedRule()
	f.control(held, engineserver.PathRestart, struct{}{})
	f.proxies[held].releaseHeld()
	running.Wait()
	requireComplete(t, request, got)
	assert.True(t, f.proxies[held].hasAnswered(string(engine.ErrorWrongIncarnation)))
	assert.Equal(t, 1, f.executions(got.requestID()))
}

// TestCancelledDispatchNeverRuns delivers a dispatch that the agent has given up and
// barred. The engine rejects it, so the request runs once, elsewhere.
func TestCancelledDispatchNeverRuns(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: shortHeaderTimeout})
	f.setEngineRules(rule{direction: towardsServer, match: dispatchLine, action: actionHold, remaining: matchLimit(1)})
	request := chat(model, 20, "You book tankers.", "Book one for Paldi.").notRepeatable()
	var got answer
	var running sync.WaitGroup
	running.Go(func() { got = ask(t, f.agentAddress(), request) })
	held := f.awaitMatchedRule()
	running.Wait()
	requireComplete(t, request, got)
	require.Equal(t, 1, f.executions(got.requestID()))
	f.proxies[held].releaseHeld()
	eventually(t, "the engine answers the late dispatch", func() bool {
		return f.proxies[held].hasAnswered(string(engine.ErrorBarred))
	})
	assert.Equal(t, 1, f.executions(got.requestID()))
}

// TestDispatchConnectionCutRunsAtMostOnce cuts the exchange of a dispatch before and
// after its effect, for a request that must run at most once.
func TestDispatchConnectionCutRunsAtMostOnce(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: shortHeaderTimeout})
	for _, cut := range []struct {
		name   string
		rule   rule
		proper bool
	}{
		{"request reset", rule{direction: towardsServer, match: dispatchLine, action: actionReset, remaining: matchLimit(1)}, true},
		{"request closed in its body", rule{direction: towardsServer, match: dispatchLine, after: 200, action: actionClose, remaining: matchLimit(1)}, true},
		{"request swallowed", rule{direction: towardsServer, match: dispatchLine, action: actionDiscard, remaining: matchLimit(1)}, true},
		{"answer reset", rule{direction: towardsClient, match: streamHeader, action: actionReset, remaining: matchLimit(1)}, true},
		{"answer closed in its head", rule{direction: towardsClient, match: streamHeader, after: 40, action: actionClose, remaining: matchLimit(1)}, true},
		{"answer swallowed", rule{direction: towardsClient, match: streamHeader, action: actionDiscard, remaining: matchLimit(1)}, true},
		{"every answer reset", rule{direction: towardsClient, match: streamHeader, action: actionReset}, false},
	} {
		t.Run(cut.name, func(t *testing.T) {
			f.setEngineRules(cut.rule)
			request := chat(model, 20, "You book tankers.", "Book one for "+cut.name+".").notRepeatable()
			got := ask(t, f.agentAddress(), request)
			f.setEngineRules()
			executions := f.executions(got.requestID())
			assert.LessOrEqual(t, executions, 1)
			requireCompleteOrError(t, request, got)
			if cut.proper {
				requireComplete(t, request, got)
				return
			}
			require.NotNil(t, got.failure)
			assert.EqualValues(t, resultcode.OutcomeUnknown, got.failure.ResultCode)
			assert.False(t, got.failure.NotRun)
			assert.Equal(t, "false", got.header.Get("X-Should-Retry"))
			assert.Equal(t, 1, executions)
		})
	}
}

// TestStreamsCutAtVariedBytes cuts and resets many streams between agent and
// engine, each at another byte.
func TestStreamsCutAtVariedBytes(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true})
	const streams, tokens, step, lastByte = 12, 40, 97, 3500
	var rules []rule
	for offset := int64(0); offset < lastByte; offset += step {
		rules = append(rules, rule{direction: towardsClient, match: streamHeader, after: offset, action: faultAction(offset % 2), remaining: matchLimit(1)})
	}
	f.setEngineRules(rules...)
	running := startLoad(t, f, streams, tokens)
	running.requireAllComplete(t)
	struck := 0
	for _, name := range f.names("engine") {
		struck += f.proxies[name].matchCount()
	}
	assert.Greater(t, struck, streams, "resumed streams are cut too")
}

// TestDelayedConnectionsKeepAnswersApart delays every piece on the way to the engines
// and checks that each caller gets its own answer.
func TestDelayedConnectionsKeepAnswersApart(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true})
	for position, name := range f.names("engine") {
		f.proxies[name].setDelay(pollInterval * 2 / (1 << position))
	}
	running := startLoad(t, f, 16, 10)
	running.requireAllComplete(t)
}

// TestRouterAnswersLost resets the connections on which routers answer.
func TestRouterAnswersLost(t *testing.T) {
	f := startFleet(t, fleetOptions{routerProxies: true})
	for _, name := range f.names("router") {
		f.proxies[name].setRules(
			rule{direction: towardsClient, match: "application/protobuf", action: actionReset, remaining: matchLimit(4)},
			rule{direction: towardsServer, match: "Placement/Place", action: actionClose, remaining: matchLimit(2)},
		)
	}
	running := startLoad(t, f, 12, 20)
	running.requireAllComplete(t)
	for _, name := range f.names("router") {
		f.proxies[name].setRules()
		f.proxies[name].resetAll()
	}
	again := startLoad(t, f, 12, 20)
	again.requireAllComplete(t)
}

// executionsElsewhere counts the dispatches of a request at all engines but one.
func (f *testFleet) executionsElsewhere(engineName, requestID string) int {
	f.t.Helper()
	count := 0
	for _, name := range f.names("engine") {
		if name != engineName {
			count += f.executionsAt(name, requestID)
		}
	}
	return count
}
