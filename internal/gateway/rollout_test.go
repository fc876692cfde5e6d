package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/rollout"
)

func TestOrderThatMayBeLostIsRepeatedSoon(t *testing.T) {
	assert.Equal(t, reorderUncertain, repeatAfter(rollout.OrderUncertain))
	for _, result := range []rollout.OrderResult{rollout.OrderAccepted, rollout.OrderAlreadyApplied, rollout.OrderRejected} {
		assert.Equal(t, reorderAfter, repeatAfter(result))
	}
}

// TestRunsAreLetEndForLongerWhileEnginesAreIdle looks at both ends.
func TestRunsAreLetEndForLongerWhileEnginesAreIdle(t *testing.T) {
	assert.Equal(t, quiesceIdle, quiesceMost(0))
	assert.Equal(t, quiesceIdle, quiesceMost(idleBelow))
	assert.Equal(t, quiesceFull, quiesceMost(fullAbove))
	assert.Equal(t, quiesceFull, quiesceMost(1))
	assert.Greater(t, quiesceMost(0.2), quiesceMost(0.3))
}
