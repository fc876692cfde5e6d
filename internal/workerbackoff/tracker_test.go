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

// TestBackoffLastsAsLongAsWasAsked whatever is answered or asked meanwhile.
func TestBackoffLastsAsLongAsWasAsked(t *testing.T) {
	ledger := newTestTracker()
	assert.True(t, ledger.Extend(time.Second, testRun, 3*time.Second))
	assert.False(t, ledger.Extend(2*time.Second, testRun, time.Second), "a shorter time asked for later")
	ledger.ObserveAnswer(testRun, 900*time.Millisecond)
	ledger.ObserveAnswer(testRun, 3*time.Second)
	for now := time.Second; now < 4*time.Second; now += 10 * time.Millisecond {
		assert.GreaterOrEqual(t, ledger.BeginRequest(now, testRun), 4*time.Second-now)
	}
	assert.True(t, ledger.Extend(2*time.Second, testRun, 4*time.Second), "a longer one extends it")
	assert.Positive(t, ledger.ClosedFor(6*time.Second-1, testRun))
	assert.Zero(t, ledger.ClosedFor(6*time.Second+maxJitter, testRun))
	assert.Equal(t, []fleet.EngineID{"w"}, ledger.ClosedWorkers(5*time.Second))
}

// TestBackoffOfAnyLengthEnds: an hour is an hour, and nothing overflows.
func TestBackoffOfAnyLengthEnds(t *testing.T) {
	for _, wait := range []time.Duration{time.Nanosecond, time.Millisecond, time.Hour, 10 * 365 * 24 * time.Hour} {
		ledger := newTestTracker()
		ledger.Extend(time.Second, testRun, wait)
		assert.Positive(t, ledger.ClosedFor(time.Second+wait-1, testRun))
		assert.Zero(t, ledger.ClosedFor(time.Second+wait+maxJitter, testRun))
	}
}

// TestOneRequestGoesBeforeManyAfterABackoff, also where that one isn't answered.
func TestOneRequestGoesBeforeManyAfterABackoff(t *testing.T) {
	ledger := newTestTracker()
	ledger.Extend(0, testRun, time.Second)
	reopened := time.Second + maxJitter
	assert.Zero(t, ledger.BeginRequest(reopened, testRun))
	assert.Positive(t, ledger.BeginRequest(reopened+time.Millisecond, testRun))
	assert.Positive(t, ledger.ClosedFor(reopened+trialTimeout-1, testRun))
	assert.Zero(t, ledger.BeginRequest(reopened+trialTimeout, testRun), "the first wasn't answered")
	ledger.ObserveAnswer(testRun, reopened)
	assert.True(t, ledger.IsEmpty())

	ledger.Extend(0, testRun, time.Second)
	assert.Zero(t, ledger.BeginRequest(reopened, testRun))
	ledger.Extend(reopened+time.Millisecond, testRun, time.Second)
	assert.GreaterOrEqual(t, ledger.ClosedFor(reopened+2*time.Millisecond, testRun), 999*time.Millisecond, "it asked again")
}

// TestBackoffEndsWithItsRun and isn't told by an earlier one.
func TestBackoffEndsWithItsRun(t *testing.T) {
	ledger := newTestTracker()
	ledger.Extend(0, testRun, time.Hour)
	assert.Positive(t, ledger.ClosedFor(time.Second, Run{Worker: "w"}), "a run whose start isn't known")
	next := Run{Worker: "w", StartTime: 2000}
	assert.Zero(t, ledger.ClosedFor(time.Second, next))
	assert.True(t, ledger.Extend(time.Second, next, time.Second))
	assert.False(t, ledger.Extend(time.Second, testRun, time.Hour), "late word of the former")
	assert.LessOrEqual(t, ledger.ClosedFor(time.Second, next), time.Second+maxJitter)
	ledger.Forget("w")
	assert.True(t, ledger.IsEmpty())
}

// TestEndsOfBackoffsAreSpread over nodes that were asked at the same moment.
func TestEndsOfBackoffsAreSpread(t *testing.T) {
	ends := make(map[time.Duration]bool)
	for seed := range uint64(100) {
		ledger := NewTracker(rand.New(rand.NewPCG(seed, 0)))
		ledger.Extend(0, testRun, 3*time.Second)
		ends[ledger.ClosedFor(0, testRun).Truncate(10*time.Millisecond)] = true
	}
	assert.Greater(t, len(ends), 20)
}

// TestRefusedCallersComeBackAtDifferentTimes and the more urgent ones first.
func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	var times RetryScheduler
	told := make(map[time.Duration]bool)
	for number := range 200 {
		urgent, other := times.Next(3*time.Second, 1), times.Next(3*time.Second, 2)
		assert.Less(t, urgent, other)
		assert.GreaterOrEqual(t, urgent, 3*time.Second)
		assert.LessOrEqual(t, other, 3*time.Second+maxRetrySpread)
		told[urgent] = true
		assert.Len(t, told, number+1)
	}
}
