package agent_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/settings"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
)

type responseBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		ResultCode resultcode.Code `json:"result_code"`
		NotRun     bool            `json:"not_run"`
		RequestID  string          `json:"request_id"`
	} `json:"error"`
}

func decode(t *testing.T, response *http.Response) (int, responseBody) {
	status, body := readAll(t, response)
	var decoded responseBody
	require.NoError(t, json.Unmarshal([]byte(body), &decoded), body)
	return status, decoded
}

// newScanner returns a scanner for a response. It reads ahead, so a response needs a single one.
func newScanner(response *http.Response) *bufio.Scanner { return bufio.NewScanner(response.Body) }

// readEvents reads a stream's events until its end or up to limit events.
func readEvents(t *testing.T, scanner *bufio.Scanner, limit int) (tokens, events []string) {
	for len(events) < limit && scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		events = append(events, data)
		var chunk responseBody
		if data != "[DONE]" {
			require.NoError(t, json.Unmarshal([]byte(data), &chunk))
		}
		for _, choice := range chunk.Choices {
			if choice.Text != "" {
				tokens = append(tokens, choice.Text)
			}
		}
	}
	return tokens, events
}

const allEvents = 10000

func TestInvalidRequestsReturnResultCodes(t *testing.T) {
	a := startAgent(t, nil, startRouter(t, startEngine(t, "a", time.Millisecond)))
	cases := map[string]struct {
		path, body, header string
		status             int
		code               resultcode.Code
	}{
		"no key":                  {openai.PathCompletions, "{}", "Authorization: ", 401, resultcode.MissingKey},
		"wrong key":               {openai.PathCompletions, "{}", "Authorization: Bearer x", 401, resultcode.WrongKey},
		"malformed":               {openai.PathCompletions, `{"model"`, "", 400, resultcode.MalformedBody},
		"too large":               {openai.PathCompletions, strings.Repeat(" ", maxBody+1), "", 413, resultcode.BodyTooLarge},
		"unknown model":           {openai.PathCompletions, `{"model":"x","prompt":"p"}`, "", 404, resultcode.UnknownModel},
		"negative limit":          {openai.PathCompletions, `{"model":"notes","prompt":"p","max_tokens":-1}`, "", 400, resultcode.InvalidParameter},
		"prompt too long":         {openai.PathCompletions, `{"model":"notes","prompt":"` + strings.Repeat("p", 8001) + `"}`, "", 400, resultcode.PromptTooLong},
		"unknown class":           {openai.PathCompletions, "{}", "X-Tillerfall-Class: x", 403, resultcode.ClassNotAllowed},
		"class of another tenant": {openai.PathCompletions, "{}", "X-Tillerfall-Class: batch", 403, resultcode.ClassNotAllowed},
		"bad deadline":            {openai.PathCompletions, "{}", "X-Tillerfall-Deadline-Ms: soon", 400, resultcode.HeaderInvalid},
		"bad request id":          {openai.PathCompletions, "{}", "X-Request-Id: a b", 400, resultcode.HeaderInvalid},
		"unknown path":            {"/v1/files", "{}", "", 404, resultcode.UnknownPath},
		"wrong method":            {openai.PathModels, "{}", "", 404, resultcode.UnknownPath},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, decoded := decode(t, post(t, a, test.path, test.body, test.header))
			require.NotNil(t, decoded.Error)
			assert.Equal(t, test.status, status)
			assert.Equal(t, test.code, decoded.Error.ResultCode)
			assert.True(t, decoded.Error.NotRun)
			assert.NotEmpty(t, decoded.Error.RequestID)
		})
	}
	status, _ := decode(t, post(t, a, openai.PathCompletions, completionBody(2, false)))
	assert.Equal(t, http.StatusOK, status)
}

func TestStreamedAndBufferedResponsesAreComplete(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	a := startAgent(t, nil, router)
	response := post(t, a, openai.PathCompletions, completionBody(20, true), "X-Request-Id: caller")
	defer response.Body.Close()
	assert.True(t, strings.HasPrefix(response.Header.Get("X-Request-Id"), "caller-"))
	tokens, events := readEvents(t, newScanner(response), allEvents)
	require.NoError(t, enginemodel.VerifyOutput(testPrompt, tokens))
	assert.Len(t, tokens, 20)
	assert.Equal(t, "[DONE]", events[len(events)-1])
	assert.Contains(t, events[len(events)-2], `"completion_tokens":20`)

	status, decoded := decode(t, post(t, a, openai.PathCompletions, completionBody(20, false)))
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, 20, decoded.Usage.CompletionTokens)
	whole := enginemodel.SplitOutput(decoded.Choices[0].Text)
	require.NoError(t, enginemodel.VerifyOutput(testPrompt, whole))
	assert.Len(t, whole, 20)
	assert.Positive(t, decoded.Usage.PromptTokensDetails.CachedTokens)
	require.Eventually(t, func() bool {
		phases := router.phases()
		return len(phases) == 6 && phases[5] == rpc.AttemptPhase_ATTEMPT_PHASE_FINISHED
	}, waitTimeout, pollInterval)
	_, metrics := get(t, a, agent.PathMetrics)
	assert.Contains(t, metrics, `tillerfall_agent_requests_total{class="urgent",code="ok"} 2`)
}

func TestCallerDisconnectCancelsEngineStream(t *testing.T) {
	server := startEngine(t, "a", 5*time.Millisecond)
	router := startRouter(t, server)
	a := startAgent(t, nil, router)
	response := post(t, a, openai.PathCompletions, completionBody(400, true))
	_, events := readEvents(t, newScanner(response), 2)
	require.Len(t, events, 2)
	response.Body.Close()
	require.Eventually(t, func() bool { return server.Status().Load.RunningStreams == 0 }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		phases := router.phases()
		return len(phases) > 0 && phases[len(phases)-1] == rpc.AttemptPhase_ATTEMPT_PHASE_FAILED
	}, waitTimeout, pollInterval)
}

func TestStreamContinuesAfterEngineFailure(t *testing.T) {
	first := startEngine(t, "a", 5*time.Millisecond)
	second := startEngine(t, "b", time.Millisecond)
	router := startRouter(t, first, second)
	a := startAgent(t, nil, router)
	response := post(t, a, openai.PathCompletions, completionBody(200, true))
	defer response.Body.Close()
	stream := newScanner(response)
	begin, events := readEvents(t, stream, 3)
	require.Len(t, events, 3)
	first.Kill()
	rest, events := readEvents(t, stream, allEvents)
	require.Equal(t, "[DONE]", events[len(events)-1])
	whole := append(begin, rest...)
	require.NoError(t, enginemodel.VerifyOutput(testPrompt, whole))
	assert.Len(t, whole, 200)
}

func TestNonRepeatableRequestIsDispatchedOnce(t *testing.T) {
	first := startEngine(t, "a", time.Millisecond)
	second := startEngine(t, "b", time.Millisecond)
	router := startRouter(t, first, second)
	a := startAgent(t, nil, router)
	first.SetFaults(engineserver.Faults{LoseAnswers: 1})
	headers := []string{"X-Tillerfall-Not-Repeatable: true", "Idempotency-Key: booking-1"}
	response := post(t, a, openai.PathCompletions, completionBody(5, false), headers...)
	assert.Equal(t, "false", response.Header.Get("X-Should-Retry"))
	_, decoded := decode(t, response)
	require.NotNil(t, decoded.Error)
	assert.Equal(t, resultcode.OutcomeUnknown, decoded.Error.ResultCode)
	assert.False(t, decoded.Error.NotRun)
	assert.Zero(t, second.Counters().PromptTokens)

	_, decoded = decode(t, post(t, a, openai.PathCompletions, completionBody(5, false), headers...))
	require.NotNil(t, decoded.Error)
	assert.Equal(t, resultcode.DuplicateRequest, decoded.Error.ResultCode)
}

func TestWaitingRequestsLeaveUnresponsiveRouter(t *testing.T) {
	server := startEngine(t, "a", time.Millisecond)
	routers := []*fakeRouter{startRouter(t, server), startRouter(t, server)}
	a := startAgent(t, func(s *agent.Settings) { s.Sync.Timeout = settings.Duration(300 * time.Millisecond) }, routers...)
	for _, blocked := range routers {
		unblock := blocked.blockResponses()
		// The deadline is below the class's maximum wait, so a request that stays at the blocked
		// router fails.
		response := post(t, a, openai.PathCompletions, completionBody(2, false), "X-Tillerfall-Deadline-Ms: 15000")
		status, _ := decode(t, response)
		assert.Equal(t, http.StatusOK, status)
		unblock()
	}
}

func TestCallerDisconnectCancelsPlacement(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	a := startAgent(t, func(s *agent.Settings) { s.Sync.Interval = settings.Duration(time.Hour) }, router)
	defer router.blockResponses()()
	ctx, cancel := context.WithCancel(context.Background())
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, openai.PathCompletions, strings.NewReader(completionBody(2, false)))
	request.Header.Set("Authorization", "Bearer "+testKey)
	served := make(chan struct{})
	go func() {
		defer close(served)
		a.Handler().ServeHTTP(httptest.NewRecorder(), request)
	}()
	counts := func() (blocked, cancelled int) {
		router.mutex.Lock()
		defer router.mutex.Unlock()
		return router.blockedCalls, router.cancelledCalls
	}
	require.Eventually(t, func() bool { blocked, _ := counts(); return blocked == 1 }, waitTimeout, pollInterval)
	cancel()
	require.Eventually(t, func() bool { _, cancelled := counts(); return cancelled == 1 }, waitTimeout, pollInterval)
	<-served
}

func TestUnreachableRouterFailsRequestImmediately(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	a := startAgent(t, nil, router)
	router.server.CloseClientConnections()
	router.server.Close()
	response := post(t, a, openai.PathCompletions, completionBody(2, false))
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	_, decoded := decode(t, response)
	require.NotNil(t, decoded.Error)
	assert.Equal(t, resultcode.NoRouter, decoded.Error.ResultCode)
	assert.True(t, decoded.Error.NotRun)
}

func TestAgentRestoresStateOfRestartedRouter(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	startAgent(t, nil, router)
	router.mutex.Lock()
	router.revision, router.config, router.machines = 0, nil, nil
	router.mutex.Unlock()
	require.Eventually(t, func() bool {
		router.mutex.Lock()
		defer router.mutex.Unlock()
		return router.revision == uint64(testDocument().Revision) && router.config != nil && router.machines.GetDigest() == 5
	}, waitTimeout, pollInterval)
}

func TestGracefulStopFinishesStreams(t *testing.T) {
	a := startAgent(t, nil, startRouter(t, startEngine(t, "a", 5*time.Millisecond)))
	response := post(t, a, openai.PathCompletions, completionBody(100, true))
	defer response.Body.Close()
	stream := newScanner(response)
	_, events := readEvents(t, stream, 1)
	require.Len(t, events, 1)
	stopped := make(chan error, 2)
	for range cap(stopped) { // a second stop must not cut running streams
		go func() { stopped <- a.Stop() }()
	}
	require.Eventually(t, func() bool {
		status, _ := get(t, a, agent.PathReady)
		return status == http.StatusServiceUnavailable
	}, waitTimeout, time.Millisecond)
	_, decoded := decode(t, post(t, a, openai.PathCompletions, completionBody(2, false)))
	require.NotNil(t, decoded.Error)
	assert.Equal(t, resultcode.Stopping, decoded.Error.ResultCode)
	_, events = readEvents(t, stream, allEvents)
	assert.Equal(t, "[DONE]", events[len(events)-1])
	require.NoError(t, <-stopped)
	require.NoError(t, <-stopped)
}

func TestTenantConcurrencyIsBounded(t *testing.T) {
	a := startAgent(t, nil, startRouter(t, startEngine(t, "a", 5*time.Millisecond)))
	for range 4 {
		response := post(t, a, openai.PathCompletions, completionBody(400, true))
		defer response.Body.Close()
	}
	response := post(t, a, openai.PathCompletions, completionBody(2, false))
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	status, decoded := decode(t, response)
	assert.Equal(t, http.StatusTooManyRequests, status)
	assert.Equal(t, resultcode.TenantConcurrency, decoded.Error.ResultCode)
}

func TestWaitingRequestSwitchesToPromotedVersion(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	a := startAgent(t, func(s *agent.Settings) { s.Sync.Interval = settings.Duration(time.Hour) }, router)
	promoted := testDocument()
	promoted.Revision++
	promoted.Models[0].Versions = []config.Version{
		{Name: "v1", State: config.VersionRetired}, {Name: "v2", State: config.VersionServing},
	}
	snapshot, err := config.SnapshotMessage(promoted)
	require.NoError(t, err)
	router.mutex.Lock()
	router.config, router.revision, router.retired = snapshot, snapshot.GetRevision(), "v1"
	router.mutex.Unlock()
	status, _ := decode(t, post(t, a, openai.PathCompletions, completionBody(2, false)))
	assert.Equal(t, http.StatusOK, status)
}

func TestFailedConfigurationChangeFetchesSnapshot(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	a := startAgent(t, nil, router)
	document := testDocument()
	document.Revision = 9
	document.Models[0].Name = "drafts"
	snapshot, err := config.SnapshotMessage(document)
	require.NoError(t, err)
	router.mutex.Lock()
	router.changes = []*rpc.ConfigChange{{Revision: 8, Patch: []byte("no patch")}}
	router.config = snapshot
	router.revision = snapshot.GetRevision()
	router.mutex.Unlock()
	require.Eventually(t, func() bool {
		status, _ := decode(t, post(t, a, openai.PathCompletions, `{"model":"drafts","prompt":"p","max_tokens":1}`))
		return status != http.StatusNotFound
	}, waitTimeout, pollInterval)
}

// TestDeadlineDuringPlacementFailsRequestImmediately guards against a request that outlives its
// deadline, or a placement that isn't cancelled, while a router holds the call.
func TestDeadlineDuringPlacementFailsRequestImmediately(t *testing.T) {
	router := startRouter(t, startEngine(t, "a", time.Millisecond))
	a := startAgent(t, func(agentSettings *agent.Settings) { agentSettings.Sync.Timeout = settings.Duration(waitTimeout) }, router)
	unblock := router.blockResponses()
	defer unblock()
	for _, stream := range []bool{false, true} {
		response := post(t, a, openai.PathCompletions, completionBody(2, stream), "X-Tillerfall-Deadline-Ms: 200")
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		status, decoded := decode(t, response)
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Equal(t, resultcode.QueueTimeout, decoded.Error.ResultCode)
		assert.True(t, decoded.Error.NotRun)
	}
	require.Eventually(t, func() bool {
		router.mutex.Lock()
		defer router.mutex.Unlock()
		return router.cancelledCalls == 2
	}, waitTimeout, pollInterval)
}
