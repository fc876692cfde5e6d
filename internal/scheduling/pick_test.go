package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestWaitLimitIsTakenForADeadline guards against passing over an idle engine since the request takes
// longer there than at the engine that it may not wait for.
func TestWaitLimitIsTakenForADeadline(t *testing.T) {
	hot, cold, busy := testEndpoint(0), testEndpoint(1), testEndpoint(2)
	hot.CachedBlocks, hot.PrefillTokens = 60, 700
	busy.PrefillTokens = 9000
	request := testRequest()
	request.Deadline = 600 * time.Millisecond
	assert.Zero(t, scheduleOne(t, Options{}, request, hot, cold, busy).Index)
	request.MaxWait = 55 * time.Millisecond
	decision := scheduleOne(t, Options{}, request, hot, cold, busy)
	assert.Equal(t, 1, decision.Index)
	assert.False(t, decision.Late)
	request.Deadline = 50 * time.Millisecond
	decision = scheduleOne(t, Options{}, request, hot, cold, busy)
	assert.Equal(t, 1, decision.Index, "the earliest within the limit")
	assert.True(t, decision.Late)
	decision = scheduleOne(t, Options{}, request, busy, hot)
	assert.Equal(t, 1, decision.Index, "the earliest of all")
	assert.True(t, decision.Late)
}
