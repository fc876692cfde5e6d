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

// longHeaderTimeout keeps the agent waiting for an engine whose answer a test delays.
var longHeaderTimeout = map[string][]string{"agent": {"--set", "engines.header_timeout=10m"}}

// shortHeaderTimeout makes the agent soon give up on an engine that does not answer.
var shortHeaderTimeout = map[string][]string{"agent": {"--set", "engines.header_timeout=700ms"}}

// TestEngineKilledWhileItsStreamRuns guards against lost or repeated tokens when an engine dies and
// another one continues the stream.
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
	assert.Positive(t, f.executionsElsewhere(killed, got.requestID()), "another engine continues the stream")

	f.processes[killed].start()
	f.awaitListening(killed)
	assert.Greater(t, f.engineStatus(killed).Incarnation, old)
	f.awaitConvergence()
	assert.Zero(t, f.executionsAt(killed, got.requestID()), "the restarted engine must not run the old request")
}

// TestEngineKilledUnderNotRepeatableRequest guards against a request that must run at most once
// being run again after its engine died.
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
	assert.Zero(t, f.executions(got.requestID()), "no other engine may run the request")
}

// TestRestartedEngineRejectsLateDispatch guards against a delayed dispatch that a restarted engine
// runs.
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

// TestCancelledDispatchNeverRuns guards against a delayed dispatch that runs after the agent has
// cancelled it and tried another engine.
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

// TestDispatchConnectionCutRunsAtMostOnce guards against a request that runs twice when its
// connection breaks before or after the dispatch takes effect.
func TestDispatchConnectionCutRunsAtMostOnce(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: shortHeaderTimeout})
	for _, cut := range []struct {
		name         string
		rule         rule
		wantComplete bool
	}{
		{"request reset", rule{direction: towardsServer, match: dispatchLine, action: actionReset, remaining: matchLimit(1)}, true},
		{"request closed in its body", rule{direction: towardsServer, match: dispatchLine, after: 200, action: actionClose, remaining: matchLimit(1)}, true},
		{"request discarded", rule{direction: towardsServer, match: dispatchLine, action: actionDiscard, remaining: matchLimit(1)}, true},
		{"answer reset", rule{direction: towardsClient, match: streamHeader, action: actionReset, remaining: matchLimit(1)}, true},
		{"answer closed in its header", rule{direction: towardsClient, match: streamHeader, after: 40, action: actionClose, remaining: matchLimit(1)}, true},
		{"answer discarded", rule{direction: towardsClient, match: streamHeader, action: actionDiscard, remaining: matchLimit(1)}, true},
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
			if cut.wantComplete {
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

// TestStreamsCutAtVariedBytes guards against broken output when connections to engines are cut at
// many different bytes.
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
	matched := 0
	for _, name := range f.names("engine") {
		matched += f.proxies[name].matchCount()
	}
	assert.Greater(t, matched, streams, "resumed streams must be cut too")
}

// TestDelayedConnectionsKeepAnswersApart guards against callers that receive the answer to another
// request when connections to engines are slow.
func TestDelayedConnectionsKeepAnswersApart(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true})
	for position, name := range f.names("engine") {
		f.proxies[name].setDelay(pollInterval * 2 / (1 << position))
	}
	running := startLoad(t, f, 16, 10)
	running.requireAllComplete(t)
}

// TestRouterAnswersLost guards against requests that fail when the connections to routers are reset
// before the answer.
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

// executionsElsewhere counts the dispatches of a request that all other engines have accepted.
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
