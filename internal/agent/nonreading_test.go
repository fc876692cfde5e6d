package agent_test

import (
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/settings"
)

const (
	// longOutput is over what the buffers of both ends of a connection hold.
	longOutput = 20000
	// maxTokensRead is over what the small buffers hold, in tokens.
	maxTokensRead = 1000
	smallBuffer   = 4096
	stuckCallers  = 3
)

// startNonReadingCaller asks for a long stream over a connection with a small
// receive buffer and reads nothing of it.
func startNonReadingCaller(t *testing.T, a *agent.Agent) {
	connection, err := net.Dial("tcp", string(a.Address()))
	require.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	require.NoError(t, connection.(*net.TCPConn).SetReadBuffer(smallBuffer))
	body := completionBody(longOutput, true)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: agent\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		openai.PathCompletions, testKey, len(body), body)
	require.NoError(t, err)
}

// metric reads a counter or gauge without labels; -1 if there is none.
func metric(t *testing.T, a *agent.Agent, name string) int {
	_, text := get(t, a, agent.PathMetrics)
	found := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindStringSubmatch(text)
	if found == nil {
		return -1
	}
	value, err := strconv.ParseFloat(found[1], 64)
	require.NoError(t, err)
	return int(value)
}

// TestNonReadingCallersAreBoundedAndCancelled holds up real connections: what the agent takes
// from the engines for them stays bounded, other requests go on, and after the
// write timeout the streams are cancelled at the engine and the callers counted as gone.
func TestNonReadingCallersAreBoundedAndCancelled(t *testing.T) {
	server := startEngine(t, "a", time.Millisecond)
	router := startRouter(t, server)
	document := testDocument()
	document.Models[0].MaxOutputTokens = longOutput
	snapshot, err := config.SnapshotMessage(document)
	require.NoError(t, err)
	router.config = snapshot
	a := startAgent(t, func(own *agent.Settings) {
		own.HTTP.WriteTimeout = settings.Duration(time.Second)
		own.HTTP.WriteBufferBytes = smallBuffer
	}, router)
	for range stuckCallers {
		startNonReadingCaller(t, a)
	}
	require.Eventually(t, func() bool {
		return metric(t, a, "tillerfall_agent_running_requests") == stuckCallers
	}, waitTimeout, pollInterval)
	status, _ := decode(t, post(t, a, openai.PathCompletions, completionBody(20, false)))
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		return metric(t, a, "tillerfall_agent_running_requests") == 0
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return server.Status().Load.RunningStreams == 0 }, waitTimeout, pollInterval)
	taken := metric(t, a, "tillerfall_agent_output_tokens_total")
	t.Logf("%d of %d tokens were taken from the engine", taken, stuckCallers*longOutput)
	assert.Less(t, taken, stuckCallers*maxTokensRead)
	_, text := get(t, a, agent.PathMetrics)
	gone := fmt.Sprintf(`tillerfall_agent_requests_total{class="urgent",code="caller_gone"} %d`, stuckCallers)
	assert.Contains(t, text, gone)
}
