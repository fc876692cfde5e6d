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

// Keys of the example configuration.
const (
	counterKey = "example-key-counter"
	batchKey   = "example-key-batch"
)

// Markers of server-sent events.
const (
	eventPrefix = "data: "
	doneMarker  = "[DONE]"
)

// chatRequest is a request of a caller. Its fields are those of the API.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages,omitempty"`
	Prompt        string         `json:"prompt,omitempty"`
	MaxTokens     int            `json:"max_tokens,omitempty"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions map[string]any `json:"stream_options,omitempty"`

	// header is added to the request's.
	header http.Header
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat returns a streamed request whose messages are the texts: the first from
// the system, the others from the user.
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

// notRepeatable returns the request with the mark that it must run at most once.
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

// prompt is the text that the engine gets.
func (r chatRequest) prompt(t *testing.T) string {
	t.Helper()
	body, err := json.Marshal(r)
	require.NoError(t, err)
	endpoint, _ := r.endpoint()
	parsed, failure := openai.Parse(endpoint, body)
	require.Nil(t, failure)
	return parsed.Prompt
}

// answerChunk is one event of a stream, or a whole answer.
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

// answer is all that a caller has received.
type answer struct {
	status int
	header http.Header
	// chunks are the events of a stream, or the one body.
	chunks  []answerChunk
	tokens  []string
	finish  string
	usage   *answerUsage
	failure *answerFailure
	// done is set by the mark that ends a whole stream, or by a whole body.
	done bool
	// broken is why the connection ended early.
	broken error
}

// exchange is an answer that is being read.
type exchange struct {
	t        *testing.T
	request  chatRequest
	response *http.Response
	lines    *bufio.Reader
	cancel   context.CancelFunc
	answer   answer
}

// callerClient is the HTTP client of all callerClient; it has no limit of time.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request to an agent and returns when the answer's head is there.
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

// ask sends a request and reads its answer to the end.
func ask(t *testing.T, agentAddress string, request chatRequest) answer {
	t.Helper()
	return send(t, agentAddress, request).readAll()
}

// readTokens reads until there are so many tokens or the stream ends.
func (e *exchange) readTokens(count int) {
	for len(e.answer.tokens) < count && e.readEvent() {
		continue
	}
}

// readAll reads to the end.
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

// readEvent reads one event and tells whether more may follow.
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
	assert.False(e.t, e.answer.done, "an event after the end: %q", data)
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

// requireComplete checks that an answer is the whole answer to its own request:
// each token in order and chained to this prompt, and the right counts.
func requireComplete(t *testing.T, request chatRequest, got answer) {
	t.Helper()
	require.Nil(t, got.failure, "%+v", got.failure)
	require.Equal(t, http.StatusOK, got.status)
	require.NoError(t, got.broken)
	require.True(t, got.done, "the answer has no proper end after %d tokens", len(got.tokens))
	require.Equal(t, "length", got.finish)
	promptText := request.prompt(t)
	require.NoError(t, enginemodel.VerifyOutput(promptText, got.tokens))
	require.Len(t, got.tokens, request.MaxTokens)
	require.NotNil(t, got.usage)
	require.Equal(t, len(got.tokens), got.usage.CompletionTokens)
	require.Equal(t, prompt.CountTokens(promptText), got.usage.PromptTokens)
	require.Equal(t, got.usage.PromptTokens+got.usage.CompletionTokens, got.usage.TotalTokens)
}

// requireCompleteOrError checks that an answer is whole, or says that it isn't by an
// error after a part that is in order.
func requireCompleteOrError(t *testing.T, request chatRequest, got answer) {
	t.Helper()
	if got.failure == nil {
		requireComplete(t, request, got)
		return
	}
	require.False(t, got.done, "an error and a proper end")
	require.NoError(t, enginemodel.VerifyOutput(request.prompt(t), got.tokens))
}

// examplePrompt reads one of the example prompts.
func examplePrompt(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repository, "examples", "prompts", name+".txt"))
	require.NoError(t, err)
	return string(content)
}
