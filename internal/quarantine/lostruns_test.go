package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// fingerprintFor returns a distinct fingerprint for each number.
func fingerprintFor(number int) Fingerprint {
	one := RequestIdentity{Body: fmt.Append(nil, number)}
	return one.Fingerprint()
}

// subjectFor returns a request with a distinct fingerprint for each number.
func subjectFor(number int) Subject { return Subject{Request: fingerprintFor(number)} }

const second = time.Second

// TestRunsAtCrashedWorkerCount guards against lost runs that are missed or counted twice when their
// worker crashes, and against repeated probes.
func TestRunsAtCrashedWorkerCount(t *testing.T) {
	lost := NewLostRuns()
	crashed, probe := lost.Observe(10*second, "w", subjectFor(1), ConnectionBroken)
	assert.False(t, crashed)
	assert.True(t, probe, "the first broken connection triggers a probe")
	_, probe = lost.Observe(10*second, "w", subjectFor(2), ConnectionBroken)
	assert.False(t, probe, "a probe is running")
	assert.Equal(t, []Subject{subjectFor(1), subjectFor(2)}, lost.WorkerCrashed(10*second, "w", ConnectionRefused))
	crashed, probe = lost.Observe(11*second, "w", subjectFor(3), ConnectionBroken)
	assert.True(t, crashed, "a later break of a connection to the same process")
	assert.False(t, probe)
	assert.Empty(t, lost.WorkerCrashed(11*second, "w", RowRemoved), "each run counts once")
}

// TestBrokenConnectionsAtLivingWorkerDontCount guards against resets, network failures and malformed
// answers that are taken for crashes.
func TestBrokenConnectionsAtLivingWorkerDontCount(t *testing.T) {
	lost := NewLostRuns()
	lost.Observe(0, "w", subjectFor(1), ConnectionBroken)
	lost.WorkerAlive(0, "w")
	assert.Empty(t, lost.WorkerCrashed(second, "w", RowRemoved))
	_, probe := lost.Observe(2*second, "w", subjectFor(1), ConnectionBroken)
	assert.True(t, probe, "the next break triggers another probe")
}

// TestRowRemovalCountsAfterInconclusiveProbe guards against lost runs that don't count if the probe
// fails, or count for a later crash.
func TestRowRemovalCountsAfterInconclusiveProbe(t *testing.T) {
	lost := NewLostRuns()
	lost.Observe(0, "w", subjectFor(1), ConnectionBroken)
	lost.ProbeInconclusive("w")
	assert.Equal(t, []Subject{subjectFor(1)}, lost.WorkerCrashed(1700*time.Millisecond, "w", RowRemoved))
	lost.Observe(0, "v", subjectFor(1), ConnectionBroken)
	assert.Empty(t, lost.WorkerCrashed(lossWindow, "v", RowRemoved), "too long before this crash")
	assert.Empty(t, lost.WorkerCrashed(0, "unknown", ConnectionRefused))
}

// TestAbandonedRunsCountShortlyBeforeCrash guards against crashes that aren't attributed to requests
// whose caller had just left, and against attribution of earlier ones.
func TestAbandonedRunsCountShortlyBeforeCrash(t *testing.T) {
	lost := NewLostRuns()
	_, probe := lost.Observe(0, "w", subjectFor(1), Abandoned)
	assert.False(t, probe, "a caller that leaves is no sign of a crash")
	lost.Observe(2*second, "w", subjectFor(2), Abandoned)
	lost.Observe(2100*time.Millisecond, "w", subjectFor(3), ConnectionBroken)
	assert.Equal(t, []Subject{subjectFor(2), subjectFor(3)}, lost.WorkerCrashed(2200*time.Millisecond, "w", ConnectionRefused))

	lost.Observe(0, "v", subjectFor(1), Abandoned)
	assert.Equal(t, []Subject{subjectFor(1)}, lost.WorkerCrashed(2500*time.Millisecond, "v", RowRemoved))
	lost.Observe(0, "u", subjectFor(1), Abandoned)
	assert.Empty(t, lost.WorkerCrashed(2500*time.Millisecond, "u", ConnectionRefused))
}

// TestLostRunsStayBounded guards against unbounded memory under a flood of distinct requests at many
// failing workers.
func TestLostRunsStayBounded(t *testing.T) {
	lost := NewLostRuns()
	for number := range 100_000 {
		lost.Observe(0, fleet.EngineID(fmt.Sprint(number%2000)), subjectFor(number), ConnectionBroken)
	}
	assert.Len(t, lost.workers, maxWorkers)
	for _, losses := range lost.workers {
		assert.LessOrEqual(t, len(losses.runs), maxRunsPerWorker)
	}
	for worker := range lost.workers {
		lost.ProbeInconclusive(worker)
	}
	lost.Sweep(lossWindow)
	assert.Empty(t, lost.workers)
}

// TestLateProbeMayFindASuccessor guards against crash evidence that is thrown away since the probe came late
// and found another worker at the address.
func TestLateProbeMayFindASuccessor(t *testing.T) {
	lost := NewLostRuns()
	lost.Observe(0, "w", subjectFor(1), ConnectionBroken)
	lost.WorkerAlive(SuccessorDelay, "w")
	assert.Equal(t, []Subject{subjectFor(1)}, lost.WorkerCrashed(SuccessorDelay+100*time.Millisecond, "w", RowRemoved))
}

// TestRunsLostBehindAnotherNodeNeedOtherEvidence guards against crashes that don't count since the run went
// through another node, and against a refusal on a lost link that is taken for one of the worker.
func TestRunsLostBehindAnotherNodeNeedOtherEvidence(t *testing.T) {
	for evidence, counts := range map[Evidence]bool{ConnectionRefused: false, RefusedElsewhere: true, RowRemoved: true} {
		lost := NewLostRuns()
		_, probe := lost.Observe(0, "w", subjectFor(1), PathBroken)
		assert.True(t, probe)
		assert.Equal(t, counts, len(lost.WorkerCrashed(100*time.Millisecond, "w", evidence)) > 0, evidence)
	}
}
