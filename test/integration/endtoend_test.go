package integration

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/openai"
)

// TestNestedPromptsThroughEveryProcess guards against requests that fail on the way through all
// processes, and prefixes that are not found in the cache.
func TestNestedPromptsThroughEveryProcess(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	t.Run("flags", func(t *testing.T) {
		circular, context := examplePrompt(t, "tariff-circular"), examplePrompt(t, "flag-context")
		first := chat("sahayak-llm", 48, circular, context, examplePrompt(t, "flag-question"))
		second := chat("sahayak-llm", 48, circular, context, examplePrompt(t, "flag-question-2"))
		requireCachedPrefix(t, f, first, second)
	})
	t.Run("fab", func(t *testing.T) {
		rulebook, boards := examplePrompt(t, "fab-rulebook"), examplePrompt(t, "board-set")
		first := chat("lm-fab", 48, rulebook, boards, examplePrompt(t, "quote-request"))
		second := chat("lm-fab", 48, rulebook, boards, "What does the panel cost without gold fingers?")
		requireCachedPrefix(t, f, first, second)
	})
	t.Run("plain", func(t *testing.T) {
		request := chat("sahayak-llm", 16, "You answer clerks.", "Which flag covers tankers?")
		request.Stream = false
		request.StreamOptions = nil
		requireComplete(t, request, ask(t, f.agentAddress(), request))
	})
	t.Run("completions", func(t *testing.T) {
		request := chat("sahayak-llm:tariff-notes", 16)
		request.Prompt = "A note on the tariff of metered connections:"
		eventually(t, "the adapter is loaded", func() bool {
			return ask(t, f.agentAddress(), request).failure == nil
		})
		requireComplete(t, request, ask(t, f.agentAddress(), request))
		request.Stream = false
		request.StreamOptions = nil
		requireComplete(t, request, ask(t, f.agentAddress(), request))
	})
	t.Run("models", func(t *testing.T) {
		assert.Equal(t, []string{"lm-fab", "sahayak-llm", "sahayak-llm:tariff-notes"}, listModels(t, f, counterKey))
		assert.Equal(t, []string{"sahayak-llm", "sahayak-llm:tariff-notes"}, listModels(t, f, batchKey))
	})
}

// requireCachedPrefix asks two questions with a common prefix and checks that the second one finds
// the prefix cached.
func requireCachedPrefix(t *testing.T, f *testFleet, first, second chatRequest) {
	t.Helper()
	cold := ask(t, f.agentAddress(), first)
	requireComplete(t, first, cold)
	require.Zero(t, cold.usage.Details.CachedTokens)
	warm := ask(t, f.agentAddress(), second)
	requireComplete(t, second, warm)
	require.Greater(t, warm.usage.Details.CachedTokens, warm.usage.PromptTokens/2)
}

func listModels(t *testing.T, f *testFleet, key string) []string {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+f.agentAddress()+openai.PathModels, nil)
	require.NoError(t, err)
	request.Header.Set(openai.HeaderAuthorization, "Bearer "+key)
	response, err := httpClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	var list struct {
		Object string `json:"object"`
		Data   []struct {
			ID     string `json:"id"`
			Object string `json:"object"`
		} `json:"data"`
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&list))
	require.Equal(t, "list", list.Object)
	var names []string
	for _, model := range list.Data {
		require.Equal(t, "model", model.Object)
		names = append(names, model.ID)
	}
	return names
}

// TestStreamMatchesAPIFormat guards against events of a stream that do not follow the API.
func TestStreamMatchesAPIFormat(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	request := chat("sahayak-llm", 5, "You answer clerks.", "Which flag covers meter photographs?")
	opened := send(t, f.agentAddress(), request)
	got := opened.readAll()
	requireComplete(t, request, got)
	assert.Equal(t, "text/event-stream", got.header.Get("Content-Type"))
	assert.NotEmpty(t, got.header.Get(openai.HeaderRequestID))
	require.Len(t, got.chunks, request.MaxTokens+2, "the tokens, the finish reason and the usage")
	for position, chunk := range got.chunks {
		assert.Equal(t, got.chunks[0].ID, chunk.ID)
		assert.Equal(t, "chat.completion.chunk", chunk.Object)
		assert.Equal(t, request.Model, chunk.Model)
		assert.Equal(t, got.chunks[0].Created, chunk.Created)
		if position == len(got.chunks)-1 {
			assert.Empty(t, chunk.Choices)
			assert.NotNil(t, chunk.Usage)
			continue
		}
		require.Len(t, chunk.Choices, 1)
		assert.Nil(t, chunk.Usage)
		choice := chunk.Choices[0]
		require.NotNil(t, choice.Delta)
		assert.Equal(t, position == 0, choice.Delta.Role == "assistant")
		assert.Equal(t, position == request.MaxTokens, choice.FinishReason != nil)
		assert.Equal(t, position < request.MaxTokens, choice.Delta.Content != nil)
	}
}
