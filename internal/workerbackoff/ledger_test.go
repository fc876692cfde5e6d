package workerbackoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func newTestLedger() *Ledger { return NewLedger(rand.New(rand.NewPCG(1, 2))) }

var testRun = Run{Worker: "w", Born: 1000}

// TestBackoffLastsAsLongAsWasAsked whatever is answered or asked meanwhile.
func TestBackoffLastsAsLongAsWasAsked(t *testing.T) {
	ledger := newTestLedger()
	assert.True(t, ledger.Ask(time.Second, testRun, 3*time.Second))
	assert.False(t, ledger.Ask(2*time.Second, testRun, time.Second), "a shorter time asked for later")
	ledger.Answered(testRun, 900*time.Millisecond)
	ledger.Answered(testRun, 3*time.Second)
	for now := time.Second; now < 4*time.Second; now += 10 * time.Millisecond {
		assert.GreaterOrEqual(t, ledger.Begin(now, testRun), 4*time.Second-now)
	}
	assert.True(t, ledger.Ask(2*time.Second, testRun, 4*time.Second), "a longer one extends it")
	assert.Positive(t, ledger.Closed(6*time.Second-1, testRun))
	assert.Zero(t, ledger.Closed(6*time.Second+mostSpread, testRun))
	assert.Equal(t, []fleet.EngineID{"w"}, ledger.Closing(5*time.Second))
}

// TestBackoffOfAnyLengthEnds: an hour is an hour, and nothing overflows.
func TestBackoffOfAnyLengthEnds(t *testing.T) {
	for _, wait := range []time.Duration{time.Nanosecond, time.Millisecond, time.Hour, 10 * 365 * 24 * time.Hour} {
		ledger := newTestLedger()
		ledger.Ask(time.Second, testRun, wait)
		assert.Positive(t, ledger.Closed(time.Second+wait-1, testRun))
		assert.Zero(t, ledger.Closed(time.Second+wait+mostSpread, testRun))
	}
}

// TestOneRequestGoesBeforeManyAfterABackoff, also where that one isn't answered.
func TestOneRequestGoesBeforeManyAfterABackoff(t *testing.T) {
	ledger := newTestLedger()
	ledger.Ask(0, testRun, time.Second)
	reopened := time.Second + mostSpread
	assert.Zero(t, ledger.Begin(reopened, testRun))
	assert.Positive(t, ledger.Begin(reopened+time.Millisecond, testRun))
	assert.Positive(t, ledger.Closed(reopened+trialTimeout-1, testRun))
	assert.Zero(t, ledger.Begin(reopened+trialTimeout, testRun), "the first wasn't answered")
	ledger.Answered(testRun, reopened)
	assert.True(t, ledger.Empty())

	ledger.Ask(0, testRun, time.Second)
	assert.Zero(t, ledger.Begin(reopened, testRun))
	ledger.Ask(reopened+time.Millisecond, testRun, time.Second)
	assert.GreaterOrEqual(t, ledger.Closed(reopened+2*time.Millisecond, testRun), 999*time.Millisecond, "it asked again")
}

// TestBackoffEndsWithItsRun and isn't told by an earlier one.
func TestBackoffEndsWithItsRun(t *testing.T) {
	ledger := newTestLedger()
	ledger.Ask(0, testRun, time.Hour)
	assert.Positive(t, ledger.Closed(time.Second, Run{Worker: "w"}), "a run whose start isn't known")
	next := Run{Worker: "w", Born: 2000}
	assert.Zero(t, ledger.Closed(time.Second, next))
	assert.True(t, ledger.Ask(time.Second, next, time.Second))
	assert.False(t, ledger.Ask(time.Second, testRun, time.Hour), "late word of the former")
	assert.LessOrEqual(t, ledger.Closed(time.Second, next), time.Second+mostSpread)
	ledger.Forget("w")
	assert.True(t, ledger.Empty())
}

// TestEndsOfBackoffsAreSpread over nodes that were asked at the same moment.
func TestEndsOfBackoffsAreSpread(t *testing.T) {
	ends := make(map[time.Duration]bool)
	for seed := range uint64(100) {
		ledger := NewLedger(rand.New(rand.NewPCG(seed, 0)))
		ledger.Ask(0, testRun, 3*time.Second)
		ends[ledger.Closed(0, testRun).Truncate(10*time.Millisecond)] = true
	}
	assert.Greater(t, len(ends), 20)
}

// TestRefusedCallersComeBackAtDifferentTimes and the more urgent ones first.
func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	var times ReturnTimes
	told := make(map[time.Duration]bool)
	for number := range 200 {
		urgent, other := times.After(3*time.Second, 1), times.After(3*time.Second, 2)
		assert.Less(t, urgent, other)
		assert.GreaterOrEqual(t, urgent, 3*time.Second)
		assert.LessOrEqual(t, other, 3*time.Second+mostReturns)
		told[urgent] = true
		assert.Len(t, told, number+1)
	}
}
