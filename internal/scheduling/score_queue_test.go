package scheduling

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSlotWaitDivertsRequest guards against a warm engine without a free slot being chosen over a
// cold one with a free slot.
func TestSlotWaitDivertsRequest(t *testing.T) {
	warm, cold := testEndpoint(0), testEndpoint(1)
	warm.CachedBlocks = 60
	warm.Slots, warm.InFlight, warm.SlotTime = 4, 3, 2*time.Second
	assert.Equal(t, 0, scheduleOne(t, DefaultOptions(), testRequest(), warm, cold).Index)
	warm.InFlight = 5
	assert.Equal(t, time.Second, slotWait(&warm), "one stream waits and a slot becomes free every half second")
	assert.Equal(t, 1, scheduleOne(t, DefaultOptions(), testRequest(), warm, cold).Index)
	warm.Slots = 0
	assert.Zero(t, slotWait(&warm), "unknown number of slots")
}

// TestUrgentRequestBypassesLowerPriorityWork guards against counting lower-priority work in an
// urgent request's wait.
func TestUrgentRequestBypassesLowerPriorityWork(t *testing.T) {
	busy := testEndpoint(0)
	busy.PrefillTokens = 10_000
	busy.Slots, busy.InFlight, busy.SlotTime = 4, 7, time.Second
	request := testRequest()
	request.Deadline = 700 * time.Millisecond
	assert.True(t, scheduleOne(t, DefaultOptions(), request, busy).Late)
	all := scheduleOne(t, DefaultOptions(), request, busy)
	busy.LowerPriorityTokens, busy.LowerPriorityStreams = 9_000, 3
	urgent := scheduleOne(t, DefaultOptions(), request, busy)
	assert.False(t, urgent.Late)
	assert.Equal(t, 350*time.Millisecond, urgent.WaitTime, "1,000 tokens and the next free slot")
	assert.Equal(t, all.ServiceTime, urgent.ServiceTime)
	assert.Greater(t, urgent.FirstToken, urgent.WaitTime+urgent.ServiceTime)
}

// TestComputedWorkCountsInTheTimeLimitOnly guards against leaving out an engine whose reported work
// is done by now, and against filling it up before the next report.
func TestComputedWorkCountsInTheTimeLimitOnly(t *testing.T) {
	reported, slow := testEndpoint(0), testEndpoint(1)
	reported.PrefillTokens, reported.ComputedTokens = 1000, 1000
	slow.PrefillPerToken *= 3
	request := testRequest()
	request.Deadline = 150 * time.Millisecond
	decision := scheduleOne(t, Options{}, request, reported, slow)
	assert.False(t, decision.Late)
	assert.Equal(t, 0, decision.Index)
	assert.Less(t, decision.FirstToken, request.Deadline)
	idle := testEndpoint(1)
	assert.Equal(t, 1, scheduleOne(t, Options{}, request, reported, idle).Index)
}

// TestMinTieFractionSpreadsRequests guards against all nodes choosing the engine that is slightly
// faster than the others.
func TestMinTieFractionSpreadsRequests(t *testing.T) {
	faster, other := testEndpoint(0), testEndpoint(1)
	faster.PrefillPerToken = 95 * time.Microsecond
	request, random, chosen := testRequest(), testRandom(), make(map[int]int)
	request.MinTieFraction = 0.1
	for range 100 {
		decision, _ := New(Options{}).Schedule(request, []Endpoint{faster, other}, random)
		chosen[decision.Index]++
	}
	assert.Greater(t, min(chosen[0], chosen[1]), 20)
}
