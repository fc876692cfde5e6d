package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/rollout"
)

func TestUncertainOrderIsRepeatedSooner(t *testing.T) {
	assert.Equal(t, reorderUncertain, reorderDelay(rollout.OrderUncertain))
	for _, result := range []rollout.OrderResult{rollout.OrderAccepted, rollout.OrderAlreadyApplied, rollout.OrderRejected} {
		assert.Equal(t, reorderAfter, reorderDelay(result))
	}
}

// TestQuiesceLimitShrinksWithMemoryUse guards against quiescing busy engines for as long as idle
// ones.
func TestQuiesceLimitShrinksWithMemoryUse(t *testing.T) {
	assert.Equal(t, maxQuiesceIdle, quiesceLimit(0))
	assert.Equal(t, maxQuiesceIdle, quiesceLimit(idleMemoryUse))
	assert.Equal(t, maxQuiesceFull, quiesceLimit(fullMemoryUse))
	assert.Equal(t, maxQuiesceFull, quiesceLimit(1))
	assert.Greater(t, quiesceLimit(0.2), quiesceLimit(0.3))
}
