package integration

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

// commitLine is the request line of a transaction at the platform.
const commitLine = "POST /v1/tables/commit HTTP/1.1"

// TestEnginesAndRoutersKilledInTurn guards against a stream that does not survive the death of
// several engines and routers.
func TestEnginesAndRoutersKilledInTurn(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat(model, 300, "You answer clerks.", "Which flag covers tankers?")
	opened := send(t, f.agentAddress(), request)
	for round := range 2 {
		opened.readTokens(len(opened.answer.tokens) + 5)
		require.Nil(t, opened.answer.failure, "%+v", opened.answer.failure)
		f.processes["router-"+strconv.Itoa(round+1)].kill()
		killed := f.awaitEngineForRequest(opened.answer.requestID())
		f.processes[killed].kill()
		f.processes[killed].start()
		f.awaitListening(killed)
	}
	requireComplete(t, request, opened.readAll())
}

// TestAgentKilledDuringStreams guards against a stream that looks complete after the agent died,
// and an agent that cannot serve after a restart while the platform is down.
func TestAgentKilledDuringStreams(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat(model, 300, "You answer clerks.", "Which flag covers tankers?")
	opened := send(t, f.agentAddress(), request)
	opened.readTokens(5)
	f.processes["agent-1"].kill()
	got := opened.readAll()
	assert.False(t, got.done, "an interrupted stream must not have an end marker")
	f.setPlatformFaults(platformserver.Faults{Down: true})
	f.processes["agent-1"].start()
	f.awaitListening("agent-1")
	f.awaitReady(f.agentAddress())
	request.MaxTokens = 10
	requireComplete(t, request, ask(t, f.agentAddress(), request))
}

// TestCommandsSurviveCutPlatformConnections guards against commands that are lost or take effect
// twice when connections to a slow platform are cut.
func TestCommandsSurviveCutPlatformConnections(t *testing.T) {
	f := startFleet(t, fleetOptions{platformProxy: true})
	f.setPlatformFaults(platformserver.Faults{AnswerDelay: config.Duration(100 * time.Millisecond)})
	revision := uint64(1)
	for round, cut := range []rule{
		{direction: towardsServer, match: commitLine, action: actionReset, remaining: matchLimit(2)},
		{direction: towardsServer, match: commitLine, after: 250, action: actionClose, remaining: matchLimit(2)},
		{direction: towardsClient, match: "HTTP/1.1 200 OK", after: 20, action: actionReset, remaining: matchLimit(6)},
		{direction: towardsClient, match: "HTTP/1.1 200 OK", action: actionClose, remaining: matchLimit(6)},
	} {
		f.proxies["platform"].setRules(cut)
		token := "cut-" + strconv.Itoa(round)
		statement := []string{"drain engine-1", "admit engine-1"}[round%2]
		reported, _ := f.runStatement("router-2", statement, "--token", token)
		f.proxies["platform"].setRules()
		require.NotNil(t, reported)
		repeated := f.mustRunStatement("router-3", statement, "--token", token)
		revision++
		assert.Equal(t, revision, repeated.Revision, "the command takes effect once")
		if resultcode.Code(reported.Code) == resultcode.OK {
			assert.Equal(t, revision, reported.Revision)
		} else {
			assert.Contains(t, []resultcode.Code{resultcode.CommandUncertain, resultcode.PlatformUnavailable}, resultcode.Code(reported.Code))
		}
		f.awaitRevision(revision)
	}
}
