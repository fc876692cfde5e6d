package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// fingerprintFor returns a fingerprint that stands for a number.
func fingerprintFor(number int) Fingerprint {
	one := RequestIdentity{Body: fmt.Append(nil, number)}
	return one.Fingerprint()
}

const second = time.Second

// TestRunsThatEndWithTheirWorkerAreBlamed, once one broken exchange led to the question.
func TestRunsThatEndWithTheirWorkerAreBlamed(t *testing.T) {
	lost := NewLostRuns()
	blamed, check := lost.Observe(10*second, "w", fingerprintFor(1), ConnectionBroken)
	assert.False(t, blamed)
	assert.True(t, check, "the first broken exchange has the worker asked")
	_, check = lost.Observe(10*second, "w", fingerprintFor(2), ConnectionBroken)
	assert.False(t, check, "it is asked once")
	assert.Equal(t, []Fingerprint{fingerprintFor(1), fingerprintFor(2)}, lost.WorkerCrashed(10*second, "w", ConnectionRefused))
	blamed, check = lost.Observe(11*second, "w", fingerprintFor(3), ConnectionBroken)
	assert.True(t, blamed, "a connection of the same process that is heard to break later")
	assert.False(t, check)
	assert.Empty(t, lost.WorkerCrashed(11*second, "w", RowRemoved), "no run counts twice")
}

// TestBrokenExchangesAtALivingWorkerSayNothing: resets, cuts and spoilt answers.
func TestBrokenExchangesAtALivingWorkerSayNothing(t *testing.T) {
	lost := NewLostRuns()
	lost.Observe(0, "w", fingerprintFor(1), ConnectionBroken)
	lost.WorkerAlive("w")
	assert.Empty(t, lost.WorkerCrashed(second, "w", RowRemoved))
	_, check := lost.Observe(2*second, "w", fingerprintFor(1), ConnectionBroken)
	assert.True(t, check, "the next one is looked into again")
}

// TestRowTellsWhereTheWorkerCouldNotBeAsked, within the time that a row takes to go.
func TestRowTellsWhereTheWorkerCouldNotBeAsked(t *testing.T) {
	lost := NewLostRuns()
	lost.Observe(0, "w", fingerprintFor(1), ConnectionBroken)
	lost.ProbeInconclusive("w")
	assert.Equal(t, []Fingerprint{fingerprintFor(1)}, lost.WorkerCrashed(1700*time.Millisecond, "w", RowRemoved))
	lost.Observe(0, "v", fingerprintFor(1), ConnectionBroken)
	assert.Empty(t, lost.WorkerCrashed(lossWindow, "v", RowRemoved), "that end was another one")
	assert.Empty(t, lost.WorkerCrashed(0, "unheard", ConnectionRefused))
}

// TestAbandonedRunsCountIfTheWorkerEndedShortlyAfter: its caller had left, and the worker
// was at work still.
func TestAbandonedRunsCountIfTheWorkerEndedShortlyAfter(t *testing.T) {
	lost := NewLostRuns()
	_, check := lost.Observe(0, "w", fingerprintFor(1), Abandoned)
	assert.False(t, check, "a caller that leaves says nothing of the worker")
	lost.Observe(2*second, "w", fingerprintFor(2), Abandoned)
	lost.Observe(2100*time.Millisecond, "w", fingerprintFor(3), ConnectionBroken)
	assert.Equal(t, []Fingerprint{fingerprintFor(2), fingerprintFor(3)}, lost.WorkerCrashed(2200*time.Millisecond, "w", ConnectionRefused))

	lost.Observe(0, "v", fingerprintFor(1), Abandoned)
	assert.Equal(t, []Fingerprint{fingerprintFor(1)}, lost.WorkerCrashed(2500*time.Millisecond, "v", RowRemoved))
	lost.Observe(0, "u", fingerprintFor(1), Abandoned)
	assert.Empty(t, lost.WorkerCrashed(2500*time.Millisecond, "u", ConnectionRefused))
}

// TestLostRunsStayBounded under a caller that sends ever new bodies and a fleet that fails.
func TestLostRunsStayBounded(t *testing.T) {
	lost := NewLostRuns()
	for number := range 100_000 {
		lost.Observe(0, fleet.EngineID(fmt.Sprint(number%2000)), fingerprintFor(number), ConnectionBroken)
	}
	assert.Len(t, lost.workers, maxWorkers)
	for _, known := range lost.workers {
		assert.LessOrEqual(t, len(known.runs), maxRunsPerWorker)
	}
	for worker := range lost.workers {
		lost.ProbeInconclusive(worker)
	}
	lost.Sweep(lossWindow)
	assert.Empty(t, lost.workers)
}
