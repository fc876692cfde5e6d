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
	assert.Zero(t, scheduler.zonePenalty(&request, &endpoint))
	request.AgentZone = "b"
	assert.Equal(t, time.Millisecond, scheduler.zonePenalty(&request, &endpoint))
	decision := scheduleOne(t, scheduler.options, explained(request), endpoint)
	assert.Equal(t, 1024*time.Microsecond, decision.Candidates[0].Scores.Recompute)
}

func explained(request Request) Request {
	request.Explain = true
	return request
}

func TestRecomputePriceRisesWithQueues(t *testing.T) {
	options := Options{
		RecomputeWeight: time.Microsecond, CongestionWeight: 2 * time.Microsecond, CongestedQueue: 100 * time.Millisecond,
	}
	price := func(discount float64, queues ...int) time.Duration {
		request := explained(testRequest())
		request.RecomputeDiscount = discount
		var endpoints []Endpoint
		for number, tokens := range queues {
			endpoint := testEndpoint(number)
			endpoint.PrefillTokens = tokens
			endpoints = append(endpoints, endpoint)
		}
		return scheduleOne(t, options, request, endpoints...).Candidates[0].Scores.Recompute / 1024
	}
	assert.Equal(t, time.Microsecond, price(0, 0, 0))
	assert.Equal(t, 2*time.Microsecond, price(0, 1000, 0), "half of the engines are congested")
	assert.Equal(t, 2*time.Microsecond, price(0, 1000000, 0), "one long queue counts for one engine only")
	assert.Equal(t, 3*time.Microsecond, price(0, 1000, 1000))
	assert.Zero(t, price(1, 0, 0), "full discount without congestion")
	assert.Equal(t, 750*time.Nanosecond, price(1, 500, 0), "a congestion of a quarter halves the discount")
	assert.Equal(t, 2*time.Microsecond, price(1, 1000, 0), "no discount if half of the engines are congested")
	assert.Equal(t, 3*time.Microsecond, price(1, 1000, 1000))
}

func TestCongestionPriceIsBounded(t *testing.T) {
	prices := recomputePrices{perToken: time.Microsecond, congestionPerToken: 2 * time.Microsecond}
	assert.Zero(t, prices.cost(-1))
	assert.Equal(t, 3*maxCongestionTokens*time.Microsecond, prices.cost(maxCongestionTokens))
	assert.Equal(t, (3*maxCongestionTokens+100)*time.Microsecond, prices.cost(maxCongestionTokens+100))
}
