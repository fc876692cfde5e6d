package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// print returns a fingerprint that stands for a number.
func print(number int) Fingerprint {
	one := Subject{Body: fmt.Append(nil, number)}
	return one.Fingerprint()
}

const second = time.Second

// TestRunsThatEndWithTheirWorkerAreBlamed, once one broken exchange led to the question.
func TestRunsThatEndWithTheirWorkerAreBlamed(t *testing.T) {
	lost := NewLostRuns()
	blamed, check := lost.Note(10*second, "w", print(1), BrokenOff)
	assert.False(t, blamed)
	assert.True(t, check, "the first broken exchange has the worker asked")
	_, check = lost.Note(10*second, "w", print(2), BrokenOff)
	assert.False(t, check, "it is asked once")
	assert.Equal(t, []Fingerprint{print(1), print(2)}, lost.Ended(10*second, "w", Refused))
	blamed, check = lost.Note(11*second, "w", print(3), BrokenOff)
	assert.True(t, blamed, "a connection of the same process that is heard to break later")
	assert.False(t, check)
	assert.Empty(t, lost.Ended(11*second, "w", RowGone), "no run counts twice")
}

// TestBrokenExchangesAtALivingWorkerSayNothing: resets, cuts and spoilt answers.
func TestBrokenExchangesAtALivingWorkerSayNothing(t *testing.T) {
	lost := NewLostRuns()
	lost.Note(0, "w", print(1), BrokenOff)
	lost.Alive("w")
	assert.Empty(t, lost.Ended(second, "w", RowGone))
	_, check := lost.Note(2*second, "w", print(1), BrokenOff)
	assert.True(t, check, "the next one is looked into again")
}

// TestRowTellsWhereTheWorkerCouldNotBeAsked, within the time that a row takes to go.
func TestRowTellsWhereTheWorkerCouldNotBeAsked(t *testing.T) {
	lost := NewLostRuns()
	lost.Note(0, "w", print(1), BrokenOff)
	lost.Undecided("w")
	assert.Equal(t, []Fingerprint{print(1)}, lost.Ended(1700*time.Millisecond, "w", RowGone))
	lost.Note(0, "v", print(1), BrokenOff)
	assert.Empty(t, lost.Ended(lostFor, "v", RowGone), "that end was another one")
	assert.Empty(t, lost.Ended(0, "unheard", Refused))
}

// TestAbandonedRunsCountIfTheWorkerEndedShortlyAfter: its caller had left, and the worker
// was at work still.
func TestAbandonedRunsCountIfTheWorkerEndedShortlyAfter(t *testing.T) {
	lost := NewLostRuns()
	_, check := lost.Note(0, "w", print(1), Abandoned)
	assert.False(t, check, "a caller that leaves says nothing of the worker")
	lost.Note(2*second, "w", print(2), Abandoned)
	lost.Note(2100*time.Millisecond, "w", print(3), BrokenOff)
	assert.Equal(t, []Fingerprint{print(2), print(3)}, lost.Ended(2200*time.Millisecond, "w", Refused))

	lost.Note(0, "v", print(1), Abandoned)
	assert.Equal(t, []Fingerprint{print(1)}, lost.Ended(2500*time.Millisecond, "v", RowGone))
	lost.Note(0, "u", print(1), Abandoned)
	assert.Empty(t, lost.Ended(2500*time.Millisecond, "u", Refused))
}

// TestLostRunsStayBounded under a caller that sends ever new bodies and a fleet that fails.
func TestLostRunsStayBounded(t *testing.T) {
	lost := NewLostRuns()
	for number := range 100_000 {
		lost.Note(0, fleet.EngineID(fmt.Sprint(number%2000)), print(number), BrokenOff)
	}
	assert.Len(t, lost.workers, maxWorkers)
	for _, known := range lost.workers {
		assert.LessOrEqual(t, len(known.runs), maxRuns)
	}
	for worker := range lost.workers {
		lost.Undecided(worker)
	}
	lost.Sweep(lostFor)
	assert.Empty(t, lost.workers)
}
