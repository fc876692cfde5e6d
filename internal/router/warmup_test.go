package router

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// delayResponses delays the responses of every engine.
func (f *testFleet) delayResponses(delay time.Duration) {
	for _, server := range f.engines {
		faults := server.Faults()
		faults.AnswerDelayMillis = delay.Milliseconds()
		server.SetFaults(faults)
	}
}

func TestWarmingRouterHandsRequestsBack(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	f.delayResponses(time.Hour)
	second := f.startRouter("r2", joinThrough(first))
	second.warmup.isStarted, second.warmup.startedAt = true, time.Hour // keep warm-up within its time limit
	awaitRoutable(t, 2, first, second)
	require.Eventually(t, second.Ready, waitTimeout, pollInterval)
	handedBack := place(t, second, "q").GetHandBack()
	require.NotNil(t, handedBack)
	assert.Equal(t, string(placement.HandBackWarmingUp), handedBack.GetReason())
	assert.Empty(t, handedBack.GetRouters(), "the agent must use its own order")

	again := placeRequest("again")
	again.Hops = 1
	responses := make(chan *rpc.PlaceResponse, 1)
	go func() {
		response, _ := placementClient(second).Place(context.Background(), again)
		responses <- response
	}()
	require.Eventually(t, func() bool { return second.placer.openCallCount() == 1 }, waitTimeout, pollInterval, "a request that was handed back once must be placed")
	f.delayResponses(0)
	assert.NotNil(t, (<-responses).GetGrant())
	require.Eventually(t, func() bool { return !second.isWarmingUp() }, waitTimeout, pollInterval)
	assert.NotNil(t, place(t, second, "known").GetGrant())
}

func TestSingleRouterSkipsWarmup(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	f.delayResponses(time.Hour)
	alone := f.startRouter("r")
	alone.warmup.isStarted, alone.warmup.startedAt = true, time.Hour
	require.Eventually(t, alone.Ready, waitTimeout, pollInterval)
	assert.False(t, alone.isWarmingUp())
}

func TestWarmupIsBounded(t *testing.T) {
	var w warmup
	never := func() bool { return false }
	assert.False(t, w.isOver(time.Minute, never))
	assert.False(t, w.isOver(time.Minute+warmupLimit-1, never))
	assert.True(t, w.isOver(time.Minute+warmupLimit, never))
	assert.True(t, w.isOver(time.Minute, never), "warm-up must not resume")
}

func TestWarmupEndsWhenEnginesAreSynchronised(t *testing.T) {
	var w warmup
	assert.True(t, w.isOver(0, func() bool { return true }))
}
