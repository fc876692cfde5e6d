package backends

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBaselineExcludesEngineSlowness guards against an engine's own slowness in the baseline, and
// against a baseline without the wait for queued prompts.
func TestBaselineExcludesEngineSlowness(t *testing.T) {
	place := func(prefill int, slowness float64) *EnginePlacement {
		registry := newEngineRegistry()
		for _, state := range registry.workers {
			state.prefillTokens, state.slowness = prefill, slowness
		}
		placement, refusal := registry.Choose(0, engineRequest("p"))
		require.NotNil(t, placement, refusal)
		return placement.Engine
	}
	sound, slow, busy := place(0, 1), place(0, 4), place(20_000, 1)
	assert.Greater(t, slow.Predicted, 3*sound.Predicted)
	assert.InEpsilon(t, sound.Baseline.Seconds(), slow.Baseline.Seconds(), 0.1)
	assert.Equal(t, sound.Predicted, sound.Baseline)
	assert.Equal(t, busy.Predicted, busy.Baseline)
	assert.Greater(t, busy.Baseline, sound.Baseline)
}
