package workerbackoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func newTestTracker() *Tracker { return NewTracker(rand.New(rand.NewPCG(1, 2))) }

var testRun = Run{Worker: "w", StartTime: 1000}

// TestBackoffLastsAsLongAsRequested guards against backoffs that answers or shorter requests cut short.
func TestBackoffLastsAsLongAsRequested(t *testing.T) {
	tracker := newTestTracker()
	assert.True(t, tracker.Extend(time.Second, testRun, 3*time.Second))
	assert.False(t, tracker.Extend(2*time.Second, testRun, time.Second), "a later request for a shorter time")
	tracker.ObserveAnswer(testRun, 900*time.Millisecond)
	tracker.ObserveAnswer(testRun, 3*time.Second)
	for now := time.Second; now < 4*time.Second; now += 10 * time.Millisecond {
		assert.GreaterOrEqual(t, tracker.BeginRequest(now, testRun), 4*time.Second-now)
	}
	assert.True(t, tracker.Extend(2*time.Second, testRun, 4*time.Second), "a longer time extends it")
	assert.Positive(t, tracker.ClosedFor(6*time.Second-1, testRun))
	assert.Zero(t, tracker.ClosedFor(6*time.Second+maxJitter, testRun))
	assert.Equal(t, []fleet.EngineID{"w"}, tracker.ClosedWorkers(5*time.Second))
}

// TestBackoffOfAnyLengthEnds guards against capped or overflowing backoffs.
func TestBackoffOfAnyLengthEnds(t *testing.T) {
	for _, wait := range []time.Duration{time.Nanosecond, time.Millisecond, time.Hour, 10 * 365 * 24 * time.Hour} {
		tracker := newTestTracker()
		tracker.Extend(time.Second, testRun, wait)
		assert.Positive(t, tracker.ClosedFor(time.Second+wait-1, testRun))
		assert.Zero(t, tracker.ClosedFor(time.Second+wait+maxJitter, testRun))
	}
}

// TestHalfOpenRunGetsOneRequestAtATime guards against many requests to a half-open run, and against a
// run that gets none after an unanswered one.
func TestHalfOpenRunGetsOneRequestAtATime(t *testing.T) {
	tracker := newTestTracker()
	tracker.Extend(0, testRun, time.Second)
	reopened := time.Second + maxJitter
	assert.Zero(t, tracker.BeginRequest(reopened, testRun))
	assert.Positive(t, tracker.BeginRequest(reopened+time.Millisecond, testRun))
	assert.Positive(t, tracker.ClosedFor(reopened+trialTimeout-1, testRun))
	assert.Zero(t, tracker.BeginRequest(reopened+trialTimeout, testRun), "the first one timed out")
	tracker.ObserveAnswer(testRun, reopened)
	assert.True(t, tracker.IsEmpty())

	tracker.Extend(0, testRun, time.Second)
	assert.Zero(t, tracker.BeginRequest(reopened, testRun))
	tracker.Extend(reopened+time.Millisecond, testRun, time.Second)
	assert.GreaterOrEqual(t, tracker.ClosedFor(reopened+2*time.Millisecond, testRun), 999*time.Millisecond, "another backoff")
}

// TestBackoffEndsWithItsRun guards against backoffs of an earlier run that apply to the next one.
func TestBackoffEndsWithItsRun(t *testing.T) {
	tracker := newTestTracker()
	tracker.Extend(0, testRun, time.Hour)
	assert.Positive(t, tracker.ClosedFor(time.Second, Run{Worker: "w"}), "a run with an unknown start time")
	next := Run{Worker: "w", StartTime: 2000}
	assert.Zero(t, tracker.ClosedFor(time.Second, next))
	assert.True(t, tracker.Extend(time.Second, next, time.Second))
	assert.False(t, tracker.Extend(time.Second, testRun, time.Hour), "a late request of the previous run")
	assert.LessOrEqual(t, tracker.ClosedFor(time.Second, next), time.Second+maxJitter)
	tracker.Forget("w")
	assert.True(t, tracker.IsEmpty())
}

// TestEndsOfBackoffsAreJittered guards against nodes that all send again at the same time.
func TestEndsOfBackoffsAreJittered(t *testing.T) {
	reopenTimes := make(map[time.Duration]bool)
	for seed := range uint64(100) {
		tracker := NewTracker(rand.New(rand.NewPCG(seed, 0)))
		tracker.Extend(0, testRun, 3*time.Second)
		reopenTimes[tracker.ClosedFor(0, testRun).Truncate(10*time.Millisecond)] = true
	}
	assert.Greater(t, len(reopenTimes), 20)
}

// TestRetryTimesAreSpreadByPriority guards against callers that retry at the same time, or before more
// urgent ones.
func TestRetryTimesAreSpreadByPriority(t *testing.T) {
	var scheduler RetryScheduler
	assigned := make(map[time.Duration]bool)
	for number := range 200 {
		urgent, other := scheduler.Next(3*time.Second, 1), scheduler.Next(3*time.Second, 2)
		assert.Less(t, urgent, other)
		assert.GreaterOrEqual(t, urgent, 3*time.Second)
		assert.LessOrEqual(t, other, 3*time.Second+maxRetrySpread)
		assigned[urgent] = true
		assert.Len(t, assigned, number+1)
	}
}
