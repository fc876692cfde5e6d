package enginemodel

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prompt"
)

var testWeights = engine.ModelVersion{Model: "sahayak", Version: "v1"}

// testCosts returns round costs: 10 ms per step, 1 ms per output token and 0.1 ms per prompt token.
func testCosts() Costs {
	return Costs{
		StepBase:        10 * time.Millisecond,
		DecodePerToken:  time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		StepTokens:      100,
		ImportPerBlock:  time.Millisecond,
		LoadTime:        600 * time.Millisecond,
	}
}

func testConfig() Config {
	return Config{
		ID:          "engine-1",
		Costs:       testCosts(),
		CacheBlocks: 100,
		BlockTokens: 4,
		Loaded:      []engine.ModelVersion{testWeights},
	}
}

// repeatedPrompt returns a prompt of the given number of tokens that repeats a letter.
func repeatedPrompt(letter string, tokens int) string { return strings.Repeat(letter, 4*tokens) }

func request(e *Engine, id fleet.StreamID, text string, maxTokens int) engine.DispatchRequest {
	return engine.DispatchRequest{
		StreamID:     id,
		Incarnation:  e.Incarnation(),
		Tenant:       "ward",
		ModelVersion: testWeights,
		Prompt:       text,
		MaxTokens:    maxTokens,
	}
}

func blockHashes(tenant fleet.TenantName, weights engine.ModelVersion, text string) []fleet.BlockHash {
	return prompt.HashBlocks(cacheScope(tenant, weights), text, 4)
}

// runToIdle advances until the engine is idle and returns the time.
func runToIdle(e *Engine) time.Duration {
	for {
		due, found := e.NextWakeup()
		if !found {
			return e.now
		}
		e.Advance(due)
	}
}

func outputTokens(t require.TestingT, e *Engine, id fleet.StreamID) []string {
	frames, ended, err := e.Frames(id, 0)
	require.NoError(t, err)
	require.True(t, ended)
	last := frames[len(frames)-1]
	require.Equal(t, engine.FrameDone, last.Kind)
	require.Equal(t, len(frames)-1, last.Count)
	var tokens []string
	for _, frame := range frames[:len(frames)-1] {
		tokens = append(tokens, frame.Text)
	}
	return tokens
}

func requireCode(t *testing.T, code engine.ErrorCode, err error) {
	t.Helper()
	var failure *engine.Error
	require.True(t, errors.As(err, &failure), "got error %v", err)
	require.Equal(t, code, failure.Code)
}
