package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBaselineLeavesOutWhatASlowEngineExplains has the same request placed at an engine that
// is idle, and at one that was found slow and has work waiting.
func TestBaselineLeavesOutWhatASlowEngineExplains(t *testing.T) {
	place := func(prefill int, slowness float64) *EnginePlacement {
		registry := withEngines()
		for _, known := range registry.workers {
			known.prefill, known.slowness = prefill, slowness
		}
		placement, refused := registry.Choose(0, engineRequest("p"))
		require.NotNil(t, placement, refused)
		return placement.Engine
	}
	idle, slow := place(0, 1), place(20_000, 4)
	assert.Greater(t, slow.Predicted, 10*idle.Predicted)
	assert.InEpsilon(t, idle.Baseline.Seconds(), slow.Baseline.Seconds(), 0.05)
	assert.Greater(t, idle.Baseline, time.Millisecond)
}
