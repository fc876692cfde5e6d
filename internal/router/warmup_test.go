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

// answerAfter makes every engine answer late.
func (f *testFleet) answerAfter(delay time.Duration) {
	for _, server := range f.engines {
		faults := server.Faults()
		faults.AnswerDelayMillis = delay.Milliseconds()
		server.SetFaults(faults)
	}
}

func TestRouterLeavesRequestsToOthersUntilItKnowsTheCaches(t *testing.T) {
	f := newTestFleet(t, 2)
	f.commitConfiguration()
	first := f.startReadyRouter("r1")
	f.answerAfter(time.Hour)
	second := f.startRouter("r2", joining(first))
	second.warmup.begun, second.warmup.since = true, time.Hour // not over by time
	awaitRoutable(t, 2, first, second)
	require.Eventually(t, second.Ready, patience, pollTime)
	handedBack := place(t, second, "q").GetHandBack()
	require.NotNil(t, handedBack)
	assert.Equal(t, string(placement.HandBackWarmingUp), handedBack.GetReason())
	assert.Empty(t, handedBack.GetRouters(), "the agent knows the order")

	again := placeRequest("again")
	again.Hops = 1
	answer := make(chan *rpc.PlaceResponse, 1)
	go func() {
		response, _ := placementClient(second).Place(context.Background(), again)
		answer <- response
	}()
	require.Eventually(t, func() bool { return second.placer.openCalls() == 1 }, patience, pollTime, "one hop is enough")
	f.answerAfter(0)
	assert.NotNil(t, (<-answer).GetGrant())
	require.Eventually(t, func() bool { return !second.warmingUp() }, patience, pollTime)
	assert.NotNil(t, place(t, second, "known").GetGrant())
}

func TestLoneRouterPlacesAtOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	f.commitConfiguration()
	f.answerAfter(time.Hour)
	alone := f.startRouter("r")
	alone.warmup.begun, alone.warmup.since = true, time.Hour
	require.Eventually(t, alone.Ready, patience, pollTime)
	assert.False(t, alone.warmingUp())
}

func TestWarmupIsBounded(t *testing.T) {
	var w warmup
	never := func() bool { return false }
	assert.False(t, w.over(time.Minute, never))
	assert.False(t, w.over(time.Minute+warmupLimit-1, never))
	assert.True(t, w.over(time.Minute+warmupLimit, never))
	assert.True(t, w.over(time.Minute, never), "once over, it stays so")
}

func TestWarmupEndsWhenTheEnginesAreKnown(t *testing.T) {
	var w warmup
	assert.True(t, w.over(0, func() bool { return true }))
}
