package agent_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// TestAPIPageMatchesCode guards against differences between docs/API.md and the code.
func TestAPIPageMatchesCode(t *testing.T) {
	data, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	page := string(data)
	for _, path := range []string{
		"POST " + openai.PathChatCompletions, "POST " + openai.PathCompletions, "GET " + openai.PathModels,
		"GET " + agent.PathHealth, "GET " + agent.PathReady, "GET " + agent.PathMetrics,
	} {
		assert.Contains(t, page, "| `"+path+"` |")
	}
	for _, header := range []string{
		openai.HeaderAuthorization, openai.HeaderClass, openai.HeaderDeadline,
		openai.HeaderNotRepeatable, openai.HeaderIdempotencyKey, openai.HeaderRequestID,
	} {
		assert.Contains(t, page, "| `"+header+"` |")
	}
	defaults := agent.DefaultSettings()
	for _, limit := range []string{
		fmt.Sprintf("| body | %d bytes (`http.max_body_bytes`)", defaults.HTTP.MaxBodyBytes),
		fmt.Sprintf("| header | %d bytes (`http.max_header_bytes`)", defaults.HTTP.MaxHeaderBytes),
		fmt.Sprintf("%s (`http.header_timeout`)", time.Duration(defaults.HTTP.HeaderTimeout)),
		fmt.Sprintf("%s (`http.body_timeout`)", time.Duration(defaults.HTTP.BodyTimeout)),
		fmt.Sprintf("%s (`http.write_timeout`)", time.Duration(defaults.HTTP.WriteTimeout)),
		fmt.Sprintf("%d (`requests.max_concurrent`)", defaults.Requests.MaxConcurrent),
		fmt.Sprintf("`default_deadline`, %.0fm", time.Duration(defaults.Requests.DefaultDeadline).Minutes()),
		fmt.Sprintf("last %d finished ones are kept\n  (`requests.idempotency_keys`)", defaults.Requests.IdempotencyKeys),
	} {
		assert.Contains(t, page, limit)
	}
	names := make(map[string]bool)
	for _, entry := range resultcode.Table {
		names[entry.Name] = true
	}
	for _, found := range regexp.MustCompile("`([a-z]+_[a-z_]+)`").FindAllStringSubmatch(page, -1) {
		assert.True(t, names[found[1]] || documentedFields[found[1]], "%s is neither a result name nor a documented field", found[1])
	}
}

// documentedFields are the identifiers on the page that are not result names.
var documentedFields = map[string]bool{
	"default_deadline": true, "max_tokens": true, "max_completion_tokens": true, "max_output_tokens": true,
	"max_prompt_tokens": true, "max_concurrent": true, "max_waiting": true, "max_wait": true, "best_of": true,
	"top_p": true, "finish_reason": true, "result_code": true, "not_run": true, "request_id": true,
	"retry_after_ms": true,
}

// TestAPIPageListsFailureFields guards against headers and fields of failures that the page doesn't
// list.
func TestAPIPageListsFailureFields(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	recorder := httptest.NewRecorder()
	require.NoError(t, openai.WriteFailure(recorder, &openai.Failure{
		Code: resultcode.OutcomeUnknown, Param: "p", RetryAfter: time.Second, NotRepeatable: true,
	}))
	for name := range recorder.Header() {
		if name != "Content-Type" {
			assert.Contains(t, string(page), "| `"+name+"` |")
		}
	}
	for _, field := range regexp.MustCompile(`"([a-z_]+)":`).FindAllStringSubmatch(recorder.Body.String(), -1) {
		if field[1] != "error" {
			assert.Contains(t, string(page), "`"+field[1]+"`")
		}
	}
}
