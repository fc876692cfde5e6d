package integration

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// badRequest is a request that the agent must refuse.
type badRequest struct {
	name   string
	header map[string]string
	method string
	path   string
	body   string
	code   resultcode.Code
	// text must be part of the message.
	text string
}

const goodBody = `{"model":"sahayak-llm","max_tokens":3,"messages":[{"role":"user","content":"Which flag?"}]}`

var badRequests = []badRequest{
	{name: "no key", header: map[string]string{openai.HeaderAuthorization: ""}, code: resultcode.MissingKey},
	{name: "wrong key", header: map[string]string{openai.HeaderAuthorization: "Bearer nobody"}, code: resultcode.WrongKey},
	{name: "unknown model", body: `{"model":"none","messages":[{"role":"user","content":"x"}]}`, code: resultcode.UnknownModel, text: `"none"`},
	{name: "malformed JSON", body: `{"model":"sahayak-llm",`, code: resultcode.MalformedBody, text: "offset"},
	{name: "no JSON object", body: `[]`, code: resultcode.MalformedBody},
	{name: "wrong type", body: `{"model":"sahayak-llm","max_tokens":"three"}`, code: resultcode.MalformedBody, text: "max_tokens"},
	{name: "negative limit", body: `{"model":"sahayak-llm","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, code: resultcode.InvalidParameter, text: "max_tokens"},
	{name: "negative deadline", header: map[string]string{openai.HeaderDeadline: "-5"}, code: resultcode.HeaderInvalid, text: openai.HeaderDeadline},
	{name: "class not allowed", header: map[string]string{openai.HeaderClass: "batch"}, code: resultcode.ClassNotAllowed},
	{name: "no messages", body: `{"model":"sahayak-llm","messages":[]}`, code: resultcode.InvalidParameter, text: "messages"},
	{name: "body too large", body: `{"model":"` + strings.Repeat("x", 300_000) + `"}`, code: resultcode.BodyTooLarge},
	{name: "unknown path", path: "/v1/nowhere", code: resultcode.UnknownPath},
	{name: "wrong method", method: http.MethodDelete, code: resultcode.UnknownPath},
}

// TestBadRequestsReturnResultCodes guards against bad requests that are accepted, or refused with
// another result code or status.
func TestBadRequestsReturnResultCodes(t *testing.T) {
	f := startFleet(t, fleetOptions{flags: map[string][]string{"agent": {"--set", "http.max_body_bytes=200000"}}})
	for _, bad := range badRequests {
		t.Run(bad.name, func(t *testing.T) {
			status, failure := sendBad(t, f.agentAddress(), bad)
			entry := resultcode.Lookup(bad.code)
			assert.Equal(t, entry.Status, status)
			assert.EqualValues(t, bad.code, failure.ResultCode)
			assert.Equal(t, entry.Name, failure.Code)
			assert.True(t, failure.NotRun)
			assert.NotEmpty(t, failure.RequestID)
			assert.Contains(t, failure.Message, bad.text)
		})
	}
	good := chat(model, 5, "You answer clerks.", "Which flag covers tankers?")
	requireComplete(t, good, ask(t, f.agentAddress(), good))
	batch := good
	batch.header = http.Header{openai.HeaderAuthorization: {"Bearer " + batchKey}}
	batch.Model = "lm-fab"
	refused := ask(t, f.agentAddress(), batch)
	require.NotNil(t, refused.failure)
	assert.EqualValues(t, resultcode.ModelNotAllowed, refused.failure.ResultCode)
}

func sendBad(t *testing.T, agentAddress string, bad badRequest) (int, answerFailure) {
	t.Helper()
	method, path, body := http.MethodPost, openai.PathChatCompletions, goodBody
	if bad.method != "" {
		method = bad.method
	}
	if bad.path != "" {
		path = bad.path
	}
	if bad.body != "" {
		body = bad.body
	}
	request, err := http.NewRequest(method, "http://"+agentAddress+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(openai.HeaderAuthorization, "Bearer "+counterKey)
	for name, value := range bad.header {
		request.Header.Set(name, value)
	}
	response, err := httpClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answered, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var decoded answerChunk
	require.NoError(t, json.Unmarshal(answered, &decoded), "%s", answered)
	require.NotNil(t, decoded.Error, "%s", answered)
	return response.StatusCode, *decoded.Error
}

// TestBadConfigurationNamesEachLineAndField guards against configuration errors that do not name
// the line and field of each fault.
func TestBadConfigurationNamesEachLineAndField(t *testing.T) {
	example, err := os.ReadFile(filepath.Join(repository, "examples", "config.yaml"))
	require.NoError(t, err)
	broken := strings.Replace(string(example), "    weight: 3\n", "    weight: -3\n    wieght: 3\n", 1)
	broken = strings.Replace(broken, "    max_loads: 2", "    max_loads: -2", 1)
	path := writeConfiguration(t, broken)
	result := runCommand(t, "tillerfall", "validate", path)
	assert.Equal(t, 1, result.exitCode)
	for _, text := range []string{"line 10, column 5: tenants[0].weight", "line 11, column 5: tenants[0].wieght", "pools[0].max_loads", "5001"} {
		assert.Contains(t, result.diagnostics, text)
	}
	usage := runCommand(t, "tillerfall", "validate", "--kind", "nothing", path)
	assert.Equal(t, 2, usage.exitCode)

	f := startFleet(t, fleetOptions{})
	refused := runCommand(t, "tillerfall", "apply", "--router", f.listenAddresses["router-2"], path)
	assert.Equal(t, 1, refused.exitCode)
	assert.Contains(t, refused.diagnostics, "5001 config_invalid")
	assert.Contains(t, refused.diagnostics, "line 11, column 5: tenants[0].wieght")
	assert.Equal(t, [][]string{{"1"}}, f.query("router-2", "show revision"))
}

// TestBadStatementsReportColumn guards against statement errors that do not report the column of
// the wrong word.
func TestBadStatementsReportColumn(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for _, bad := range []struct {
		statement string
		code      resultcode.Code
		column    int
		text      string
	}{
		{"shwo engines", resultcode.StatementSyntax, 1, `"show"`},
		{"show engnies", resultcode.StatementSyntax, 6, `"engines"`},
		{"show engines where stat = ready", resultcode.StatementSyntax, 20, `"state"`},
		{"drain engine-9", resultcode.TargetNotFound, 7, "engine-9"},
		{"promote sahayak-llm v9", resultcode.TargetNotFound, 21, "v9"},
	} {
		t.Run(bad.statement, func(t *testing.T) {
			answer, result := f.runStatement("router-1", bad.statement)
			require.NotNil(t, answer, result.diagnostics)
			assert.Equal(t, 1, result.exitCode)
			assert.EqualValues(t, bad.code, answer.Code)
			assert.Equal(t, bad.column, answer.ErrorColumn)
			assert.Contains(t, answer.Message, bad.text)
		})
	}
	f.awaitRows("router-1", "show engines where state = ready", 3)
	unreachable := runCommand(t, "tillerfall", "ctl", "--router", freeAddress(t), "show engines")
	assert.Equal(t, 1, unreachable.exitCode)
	assert.Contains(t, unreachable.diagnostics, resultcode.NoRouter.String())
}
