package openai_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

func chatResponse() openai.Response {
	return openai.Response{Endpoint: openai.Chat, RequestID: "r", Model: "m", Created: time.Unix(7, 0), IncludeUsage: true}
}

func TestCompleteStreamEndsWithDoneEvent(t *testing.T) {
	recorder := httptest.NewRecorder()
	stream := openai.NewStreamWriter(recorder, chatResponse())
	require.NoError(t, stream.Token("a"))
	require.NoError(t, stream.Finish("stop", openai.Usage{PromptTokens: 5, CachedTokens: 4, CompletionTokens: 1}))
	head := `data: {"id":"chatcmpl-r","object":"chat.completion.chunk","created":7,"model":"m","choices":[`
	want := head + `{"index":0,"delta":{"role":"assistant","content":"a"},"logprobs":null,"finish_reason":null}]}` + "\n\n" +
		head + `{"index":0,"delta":{},"logprobs":null,"finish_reason":"stop"}]}` + "\n\n" +
		head + `],"usage":{"prompt_tokens":5,"completion_tokens":1,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":4}}}` + "\n\n" +
		"data: [DONE]\n\n"
	assert.Equal(t, want, recorder.Body.String())
	assert.Equal(t, "text/event-stream", recorder.Header().Get("Content-Type"))
	assert.Equal(t, "r", recorder.Header().Get(openai.HeaderRequestID))
}

func TestFailedStreamHasNoDoneEvent(t *testing.T) {
	recorder := httptest.NewRecorder()
	stream := openai.NewStreamWriter(recorder, chatResponse())
	require.NoError(t, stream.Token("a"))
	require.NoError(t, stream.Fail(&openai.Failure{Code: resultcode.StreamInterrupted, RequestID: "r"}))
	assert.Contains(t, recorder.Body.String(), `"result_code":3002,"not_run":false,"request_id":"r"`)
	assert.NotContains(t, recorder.Body.String(), "[DONE]")
}

func TestFailureBeforeFirstTokenSetsStatus(t *testing.T) {
	recorder := httptest.NewRecorder()
	stream := openai.NewStreamWriter(recorder, chatResponse())
	failure := &openai.Failure{Code: resultcode.Overloaded, Message: "full", RequestID: "r", RetryAfter: 1200 * time.Millisecond}
	require.NoError(t, stream.Fail(failure))
	assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	assert.Equal(t, "2", recorder.Header().Get("Retry-After"))
	want := `{"error":{"message":"full","type":"server_error","param":null,"code":"overloaded",` +
		`"result_code":2010,"not_run":true,"request_id":"r","retry_after_ms":1200}}`
	assert.JSONEq(t, want, recorder.Body.String())
}

func TestUnknownOutcomeDisablesClientRetry(t *testing.T) {
	recorder := httptest.NewRecorder()
	failure := &openai.Failure{Code: resultcode.OutcomeUnknown, NotRepeatable: true}
	require.NoError(t, openai.WriteFailure(recorder, failure))
	assert.Equal(t, "false", recorder.Header().Get("X-Should-Retry"))

	recorder = httptest.NewRecorder()
	require.NoError(t, openai.WriteFailure(recorder, &openai.Failure{Code: resultcode.Overloaded, NotRepeatable: true}))
	assert.Empty(t, recorder.Header().Get("X-Should-Retry"))
}

func TestCompletionAndModelListBodies(t *testing.T) {
	recorder := httptest.NewRecorder()
	response := openai.Response{Endpoint: openai.Completion, RequestID: "r", Model: "m", Created: time.Unix(7, 0)}
	require.NoError(t, response.WriteCompletion(recorder, "text", "length", openai.Usage{PromptTokens: 2, CompletionTokens: 1}))
	want := `{"id":"cmpl-r","object":"text_completion","created":7,"model":"m",` +
		`"choices":[{"index":0,"text":"text","logprobs":null,"finish_reason":"length"}],` +
		`"usage":{"prompt_tokens":2,"completion_tokens":1,"total_tokens":3,"prompt_tokens_details":{"cached_tokens":0}}}`
	assert.JSONEq(t, want, recorder.Body.String())

	recorder = httptest.NewRecorder()
	require.NoError(t, openai.WriteModels(recorder, "r", []string{"m", "m:a"}))
	assert.Contains(t, recorder.Body.String(), `{"id":"m:a","object":"model","created":0,"owned_by":"tillerfall"}`)
}
