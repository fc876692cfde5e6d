package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCachedTokensLeaveOneToCompute(t *testing.T) {
	request, endpoint := testRequest(), testEndpoint(1)
	endpoint.CachedBlocks = 10
	assert.Equal(t, 160, cachedTokens(&request, &endpoint))
	endpoint.CachedBlocks = 64
	assert.Equal(t, 1023, cachedTokens(&request, &endpoint))
	request.PromptTokens = 0
	assert.Zero(t, cachedTokens(&request, &endpoint))
}

func TestPendingPrefixIsWaitedFor(t *testing.T) {
	request, endpoint := testRequest(), testEndpoint(1)
	endpoint.CachedBlocks, endpoint.PendingBlocks = 10, 40
	endpoint.PendingRemaining = 30 * time.Millisecond
	assert.Equal(t, 640, cachedTokens(&request, &endpoint))
	assert.Equal(t, 30*time.Millisecond, queueTime(&endpoint))
	endpoint.PrefillTokens = 1000
	assert.Equal(t, 100*time.Millisecond, queueTime(&endpoint), "the pending work is part of the queue")
}

func TestInterferenceCountsSteps(t *testing.T) {
	endpoint := testEndpoint(1)
	assert.Equal(t, time.Millisecond, interferenceTime(&endpoint, 0))
	endpoint.PrefillTokens = 600
	assert.Equal(t, 3*time.Millisecond, interferenceTime(&endpoint, 601))
}

func TestZoneAndRecomputePrices(t *testing.T) {
	scheduler := New(Options{ZonePenalty: time.Millisecond, RecomputeWeight: time.Microsecond})
	request, endpoint := testRequest(), testEndpoint(1)
	assert.Zero(t, scheduler.zonePrice(&request, &endpoint))
	request.AgentZone = "b"
	assert.Equal(t, time.Millisecond, scheduler.zonePrice(&request, &endpoint))
	assert.Equal(t, 1024*time.Microsecond, scheduler.score(&request, &endpoint).Recompute)
}
