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

// patientAgent keeps the agent from giving up an exchange that a test holds.
var patientAgent = map[string][]string{"agent": {"--set", "engines.header_timeout=10m"}}

// hastyAgent makes the agent give up a silent engine soon.
var hastyAgent = map[string][]string{"agent": {"--set", "engines.header_timeout=700ms"}}

// TestEngineKilledWhileItsStreamRuns kills an engine under a stream. The stream
// goes on at another engine from exactly the tokens sent.
func TestEngineKilledWhileItsStreamRuns(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat(model, 300, "You answer clerks.", "Which flag covers tankers?")
	opened := send(t, f.agentAddress(), request)
	opened.readTokens(5)
	killed := f.engineOf(opened.answer.requestID())
	old := f.engineStatus(killed).Incarnation
	f.processes[killed].kill()
	got := opened.readAll()
	requireWhole(t, request, got)
	assert.Positive(t, f.executionsElsewhere(killed, got.requestID()), "another engine has gone on")

	f.processes[killed].start()
	f.awaitListening(killed)
	assert.Greater(t, f.engineStatus(killed).Incarnation, old)
	f.awaitSettled()
	assert.Zero(t, f.executionsAt(killed, got.requestID()), "the new run has begun the old request")
}

// TestEngineKilledUnderNotRepeatableRequest kills an engine under a stream that
// must run at most once: it ends in an error event and runs nowhere else.
func TestEngineKilledUnderNotRepeatableRequest(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat(model, 300, "You book tankers.", "Book one for Bopal.").notRepeatable()
	opened := send(t, f.agentAddress(), request)
	opened.readTokens(5)
	killed := f.engineOf(opened.answer.requestID())
	f.processes[killed].kill()
	f.processes[killed].start()
	got := opened.readAll()
	require.NotNil(t, got.failure)
	assert.EqualValues(t, resultcode.StreamInterrupted, got.failure.ResultCode)
	assert.False(t, got.failure.NotRun)
	requireHonestEnd(t, request, got)
	f.awaitListening(killed)
	f.awaitSettled()
	assert.Zero(t, f.executions(got.requestID()), "only the killed run has begun the request")
}

// TestLateDispatchToNewIncarnation delivers a dispatch after its engine has been
// restarted. The new run rejects it.
func TestLateDispatchToNewIncarnation(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: patientAgent})
	f.ruleEngines(rule{way: towardsServer, match: dispatchLine, end: endHold, times: times(1)})
	request := chat(model, 20, "You book tankers.", "Book one for Vasna.").notRepeatable()
	var got answer
	var running sync.WaitGroup
	running.Go(func() { got = ask(t, f.agentAddress(), request) })
	held := f.awaitStrike()
	f.control(held, engineserver.PathRestart, struct{}{})
	f.proxies[held].releaseHeld()
	running.Wait()
	requireWhole(t, request, got)
	assert.True(t, f.proxies[held].answered(string(engine.ErrorWrongIncarnation)))
	assert.Equal(t, 1, f.executions(got.requestID()))
}

// TestLateDispatchAfterCancel delivers a dispatch that the agent has given up and
// barred. The engine rejects it, so the request runs once, elsewhere.
func TestLateDispatchAfterCancel(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: hastyAgent})
	f.ruleEngines(rule{way: towardsServer, match: dispatchLine, end: endHold, times: times(1)})
	request := chat(model, 20, "You book tankers.", "Book one for Paldi.").notRepeatable()
	var got answer
	var running sync.WaitGroup
	running.Go(func() { got = ask(t, f.agentAddress(), request) })
	held := f.awaitStrike()
	running.Wait()
	requireWhole(t, request, got)
	require.Equal(t, 1, f.executions(got.requestID()))
	f.proxies[held].releaseHeld()
	eventually(t, "the engine answers the late dispatch", func() bool {
		return f.proxies[held].answered(string(engine.ErrorBarred))
	})
	assert.Equal(t, 1, f.executions(got.requestID()))
}

// TestDispatchCutAroundItsEffect cuts the exchange of a dispatch before and
// after its effect, for a request that must run at most once.
func TestDispatchCutAroundItsEffect(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true, flags: hastyAgent})
	for _, cut := range []struct {
		name   string
		rule   rule
		proper bool
	}{
		{"request reset", rule{way: towardsServer, match: dispatchLine, end: endReset, times: times(1)}, true},
		{"request closed in its body", rule{way: towardsServer, match: dispatchLine, after: 200, end: endClose, times: times(1)}, true},
		{"request swallowed", rule{way: towardsServer, match: dispatchLine, end: endDiscard, times: times(1)}, true},
		{"answer reset", rule{way: towardsClient, match: streamHeader, end: endReset, times: times(1)}, true},
		{"answer closed in its head", rule{way: towardsClient, match: streamHeader, after: 40, end: endClose, times: times(1)}, true},
		{"answer swallowed", rule{way: towardsClient, match: streamHeader, end: endDiscard, times: times(1)}, true},
		{"every answer reset", rule{way: towardsClient, match: streamHeader, end: endReset}, false},
	} {
		t.Run(cut.name, func(t *testing.T) {
			f.ruleEngines(cut.rule)
			request := chat(model, 20, "You book tankers.", "Book one for "+cut.name+".").notRepeatable()
			got := ask(t, f.agentAddress(), request)
			f.ruleEngines()
			executions := f.executions(got.requestID())
			assert.LessOrEqual(t, executions, 1)
			requireHonestEnd(t, request, got)
			if cut.proper {
				requireWhole(t, request, got)
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
		rules = append(rules, rule{way: towardsClient, match: streamHeader, after: offset, end: ending(offset % 2), times: times(1)})
	}
	f.ruleEngines(rules...)
	running := startLoad(t, f, streams, tokens)
	running.requireAllWhole(t)
	struck := 0
	for _, name := range f.names("engine") {
		struck += f.proxies[name].strikes()
	}
	assert.Greater(t, struck, streams, "resumed streams are cut too")
}

// TestCrossedConnectionsUnderDelay delays every piece on the way to the engines
// and checks that each caller gets its own answer.
func TestCrossedConnectionsUnderDelay(t *testing.T) {
	f := startFleet(t, fleetOptions{engineProxies: true})
	for position, name := range f.names("engine") {
		f.proxies[name].setDelay(pollInterval * 2 / (1 << position))
	}
	running := startLoad(t, f, 16, 10)
	running.requireAllWhole(t)
}

// TestRoutersAnswersLost resets the connections on which routers answer.
func TestRoutersAnswersLost(t *testing.T) {
	f := startFleet(t, fleetOptions{routerProxies: true})
	for _, name := range f.names("router") {
		f.proxies[name].setRules(
			rule{way: towardsClient, match: "application/protobuf", end: endReset, times: times(4)},
			rule{way: towardsServer, match: "Placement/Place", end: endClose, times: times(2)},
		)
	}
	running := startLoad(t, f, 12, 20)
	running.requireAllWhole(t)
	for _, name := range f.names("router") {
		f.proxies[name].setRules()
		f.proxies[name].cutAll()
	}
	again := startLoad(t, f, 12, 20)
	again.requireAllWhole(t)
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
