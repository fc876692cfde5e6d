package integration

import (
	"bufio"
	"bytes"
	"context"
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
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// API keys of the example configuration.
const (
	counterKey = "example-key-counter"
	batchKey   = "example-key-batch"
)

// Parts of server-sent events.
const (
	eventPrefix = "data: "
	doneMarker  = "[DONE]"
)

// chatRequest is a chat or completion request of the API.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages,omitempty"`
	Prompt        string         `json:"prompt,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions map[string]any `json:"stream_options,omitempty"`

	// header holds additional HTTP headers.
	header http.Header
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat returns a streaming request. The first text is the system message, the others are user
// messages.
func chat(model string, maxTokens int, texts ...string) chatRequest {
	request := chatRequest{
		Model: model, MaxTokens: maxTokens, Stream: true, StreamOptions: map[string]any{"include_usage": true},
		header: http.Header{openai.HeaderAuthorization: {"Bearer " + counterKey}},
	}
	for position, text := range texts {
		role := "user"
		if position == 0 {
			role = "system"
		}
		request.Messages = append(request.Messages, chatMessage{Role: role, Content: text})
	}
	return request
}

// notRepeatable returns the request marked to run at most once.
func (r chatRequest) notRepeatable() chatRequest {
	r.header = r.header.Clone()
	r.header.Set(openai.HeaderNotRepeatable, "true")
	return r
}

func (r chatRequest) endpoint() (openai.Endpoint, string) {
	if len(r.Messages) > 0 {
		return openai.Chat, openai.PathChatCompletions
	}
	return openai.Completion, openai.PathCompletions
}

// prompt returns the text that the engine receives.
func (r chatRequest) prompt(t *testing.T) string {
	t.Helper()
	body, err := json.Marshal(r)
	require.NoError(t, err)
	endpoint, _ := r.endpoint()
	parsed, failure := openai.ParseRequest(endpoint, body)
	require.Nil(t, failure)
	return parsed.Prompt
}

// answerChunk is an event of a stream, or a whole answer.
type answerChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage"`
	Error   *answerFailure `json:"error"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Delta        *answerMessage `json:"delta"`
	Message      *answerMessage `json:"message"`
	Text         *string        `json:"text"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string  `json:"role"`
	Content *string `json:"content"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type answerFailure struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Param      *string `json:"param"`
	Code       string  `json:"code"`
	ResultCode int     `json:"result_code"`
	NotRun     bool    `json:"not_run"`
	RequestID  string  `json:"request_id"`
}

// answer is everything that a caller has received.
type answer struct {
	status int
	header http.Header
	// chunks holds the events of a stream, or the single body.
	chunks  []answerChunk
	tokens  []string
	finish  string
	usage   *answerUsage
	failure *answerFailure
	// done is set by the end marker of a stream, or by a complete body.
	done bool
	// broken is the error that ended the connection early.
	broken error
}

// exchange is a request whose answer is being read.
type exchange struct {
	t        *testing.T
	request  chatRequest
	response *http.Response
	lines    *bufio.Reader
	cancel   context.CancelFunc
	answer   answer
}

// callerClient is the HTTP client of all callers. It has no timeout.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request to an agent and returns once the response header has arrived.
func send(t *testing.T, agentAddress string, request chatRequest) *exchange {
	t.Helper()
	opened, err := trySend(t, agentAddress, request)
	require.NoError(t, err)
	return opened
}

func trySend(t *testing.T, agentAddress string, request chatRequest) (*exchange, error) {
	t.Helper()
	body, err := json.Marshal(request)
	require.NoError(t, err)
	_, path := request.endpoint()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agentAddress+path, bytes.NewReader(body))
	require.NoError(t, err)
	sent.Header = request.header.Clone()
	sent.Header.Set("Content-Type", "application/json")
	response, err := callerClient.Do(sent)
	if err != nil {
		return nil, err
	}
	return &exchange{
		t: t, request: request, response: response, lines: bufio.NewReader(response.Body), cancel: cancel,
		answer: answer{status: response.StatusCode, header: response.Header},
	}, nil
}

// ask sends a request and reads the whole answer.
func ask(t *testing.T, agentAddress string, request chatRequest) answer {
	t.Helper()
	return send(t, agentAddress, request).readAll()
}

// readTokens reads until the answer has count tokens or ends.
func (e *exchange) readTokens(count int) {
	for len(e.answer.tokens) < count && e.readEvent() {
		continue
	}
}

// readAll reads the answer to its end.
func (e *exchange) readAll() answer {
	defer e.cancel()
	defer e.response.Body.Close()
	if strings.HasPrefix(e.response.Header.Get("Content-Type"), "text/event-stream") {
		for e.readEvent() {
			continue
		}
		return e.answer
	}
	body, err := io.ReadAll(e.response.Body)
	e.answer.broken = err
	var chunk answerChunk
	if json.Unmarshal(body, &chunk) == nil {
		e.answer.addChunk(chunk)
		e.answer.done = err == nil && chunk.Error == nil
	}
	return e.answer
}

// readEvent reads one line and reports whether more may follow.
func (e *exchange) readEvent() bool {
	line, err := e.lines.ReadString('\n')
	if err != nil {
		if err != io.EOF || line != "" {
			e.answer.broken = err
		}
		return false
	}
	line = strings.TrimSuffix(line, "\n")
	if line == "" {
		return true
	}
	data, found := strings.CutPrefix(line, eventPrefix)
	assert.True(e.t, found, "line %q", line)
	if data == doneMarker {
		e.answer.done = true
		return true
	}
	var chunk answerChunk
	assert.NoError(e.t, json.Unmarshal([]byte(data), &chunk), "event %q", data)
	assert.False(e.t, e.answer.done, "event after the end marker: %q", data)
	e.answer.addChunk(chunk)
	return true
}

func (a *answer) addChunk(chunk answerChunk) {
	a.chunks = append(a.chunks, chunk)
	if chunk.Error != nil {
		a.failure = chunk.Error
	}
	if chunk.Usage != nil {
		a.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.FinishReason != nil {
			a.finish = *choice.FinishReason
		}
		for _, text := range []*string{choice.Text, choice.Delta.content(), choice.Message.content()} {
			if text != nil {
				a.tokens = append(a.tokens, enginemodel.SplitOutput(*text)...)
			}
		}
	}
}

func (m *answerMessage) content() *string {
	if m == nil {
		return nil
	}
	return m.Content
}

// requireComplete checks that an answer is complete and belongs to its request: all tokens in order
// and chained to the prompt, with correct counts.
func requireComplete(t *testing.T, request chatRequest, got answer) {
	t.Helper()
	require.Nil(t, got.failure, "%+v", got.failure)
	require.Equal(t, http.StatusOK, got.status)
	require.NoError(t, got.broken)
	require.True(t, got.done, "no end marker after %d tokens", len(got.tokens))
	require.Equal(t, "length", got.finish)
	promptText := request.prompt(t)
	require.NoError(t, enginemodel.VerifyOutput(promptText, got.tokens))
	require.Len(t, got.tokens, request.MaxTokens)
	require.NotNil(t, got.usage)
	require.Equal(t, len(got.tokens), got.usage.CompletionTokens)
	require.Equal(t, prompt.CountTokens(promptText), got.usage.PromptTokens)
	require.Equal(t, got.usage.PromptTokens+got.usage.CompletionTokens, got.usage.TotalTokens)
}

// requireCompleteOrError checks that an answer is complete, or ends in an error after a valid part
// of the output.
func requireCompleteOrError(t *testing.T, request chatRequest, got answer) {
	t.Helper()
	if got.failure == nil {
		requireComplete(t, request, got)
		return
	}
	require.False(t, got.done, "the answer has both an error and an end marker")
	require.NoError(t, enginemodel.VerifyOutput(request.prompt(t), got.tokens))
}

// examplePrompt reads one of the example prompts.
func examplePrompt(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repository, "examples", "prompts", name+".txt"))
	require.NoError(t, err)
	return string(content)
}
