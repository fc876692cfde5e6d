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
	// longOutput is a number of tokens that exceeds the connection buffers of both ends.
	longOutput = 20000
	// maxTokensRead is above the number of tokens that the small buffers hold.
	maxTokensRead     = 1000
	smallBuffer       = 4096
	nonReadingCallers = 3
)

// startNonReadingCaller requests a long stream over a connection with a small receive buffer and
// never reads it.
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

// metric returns the value of a metric without labels, or -1 if there is none.
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

// TestNonReadingCallersAreBoundedAndCancelled guards against callers that stop reading and make the
// agent buffer without limit, block other requests or keep their streams past the write timeout.
func TestNonReadingCallersAreBoundedAndCancelled(t *testing.T) {
	server := startEngine(t, "a", time.Millisecond)
	router := startRouter(t, server)
	document := testDocument()
	document.Models[0].MaxOutputTokens = longOutput
	snapshot, err := config.SnapshotMessage(document)
	require.NoError(t, err)
	router.config = snapshot
	a := startAgent(t, func(agentSettings *agent.Settings) {
		agentSettings.HTTP.WriteTimeout = settings.Duration(time.Second)
		agentSettings.HTTP.WriteBufferBytes = smallBuffer
	}, router)
	for range nonReadingCallers {
		startNonReadingCaller(t, a)
	}
	require.Eventually(t, func() bool {
		return metric(t, a, "tillerfall_agent_running_requests") == nonReadingCallers
	}, waitTimeout, pollInterval)
	status, _ := decode(t, post(t, a, openai.PathCompletions, completionBody(20, false)))
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool {
		return metric(t, a, "tillerfall_agent_running_requests") == 0
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return server.Status().Load.RunningStreams == 0 }, waitTimeout, pollInterval)
	tokensRead := metric(t, a, "tillerfall_agent_output_tokens_total")
	t.Logf("%d of %d tokens were read from the engine", tokensRead, nonReadingCallers*longOutput)
	assert.Less(t, tokensRead, nonReadingCallers*maxTokensRead)
	_, text := get(t, a, agent.PathMetrics)
	gone := fmt.Sprintf(`tillerfall_agent_requests_total{class="urgent",code="caller_gone"} %d`, nonReadingCallers)
	assert.Contains(t, text, gone)
}
