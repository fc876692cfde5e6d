package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func crashAt(worker string, at time.Duration) Crash {
	return Crash{Worker: fleet.EngineID(worker), At: at}
}

// newQuarantined returns a ledger that holds request 1 since 100 s.
func newQuarantined() *Tracker {
	ledger := NewTracker(Options{})
	for number := range DefaultThreshold {
		ledger.ObserveCrash(time.Duration(98+number)*second, fingerprintFor(1), fleet.EngineID(fmt.Sprint(number)))
	}
	return ledger
}

// TestRequestIsHeldAfterThreeEnds of different workers, whichever nodes saw them.
func TestRequestIsHeldAfterThreeEnds(t *testing.T) {
	ledger := NewTracker(Options{})
	assert.True(t, ledger.ObserveCrash(10*second, fingerprintFor(1), "a"))
	assert.False(t, ledger.ObserveCrash(11*second, fingerprintFor(1), "a"), "two runs at one worker are one end")
	ledger.ObserveCrash(11*second, fingerprintFor(1), "b")
	assert.False(t, ledger.Check(11*second, fingerprintFor(1)).Quarantined)
	ledger.Merge(&Record{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("c", 9*second), crashAt("b", 10500*time.Millisecond)}})
	verdict := ledger.Check(12*second, fingerprintFor(1))
	assert.Equal(t, Verdict{
		Quarantined: true, Crashes: 3, FirstAge: 3 * second, LastAge: 1500 * time.Millisecond,
		RetryAfter: DefaultTrialDelay - 1500*time.Millisecond,
	}, verdict)
	assert.False(t, ledger.Check(12*second, fingerprintFor(2)).Quarantined, "another request")
	assert.Equal(t, 1, ledger.QuarantinedCount())
}

// TestWholeAnswersSpeakForARequest that is under way at many workers, such as a popular one.
func TestWholeAnswersSpeakForARequest(t *testing.T) {
	ledger := NewTracker(Options{})
	assert.False(t, ledger.ObserveAnswer(10*second, fingerprintFor(1)), "nobody suspects it")
	for _, worker := range []fleet.EngineID{"a", "b", "c", "d"} {
		ledger.ObserveCrash(19*second, fingerprintFor(1), worker)
	}
	assert.False(t, ledger.Check(19*second, fingerprintFor(1)).Quarantined, "it was answered a moment before")
	for _, worker := range []fleet.EngineID{"e", "f", "g"} {
		ledger.ObserveCrash(21*second, fingerprintFor(1), worker)
	}
	assert.True(t, ledger.Check(21*second, fingerprintFor(1)).Quarantined, "and never since")
	assert.True(t, ledger.ObserveAnswer(22*second, fingerprintFor(1)), "others are to hear that it was answered")
	assert.False(t, ledger.Check(22*second, fingerprintFor(1)).Quarantined)
	told := Record{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("e", 21*second), crashAt("f", 21*second)}}
	assert.True(t, ledger.IsAheadOf(&told), "a node that suspects it still is to hear, too")
	told.Answered, told.AnsweredAt = true, 22*second
	assert.False(t, ledger.IsAheadOf(&told), "that one knows")
}

// TestRecordsMergeInAnyOrder, with words that come twice.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	words := []Record{
		{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("a", 5*second)}},
		{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("a", 4*second), crashAt("b", 6*second)}},
		{Fingerprint: fingerprintFor(1), Answered: true, AnsweredAt: 2 * second},
		{Fingerprint: fingerprintFor(1), Answered: true, AnsweredAt: second, Crashes: []Crash{crashAt("c", 14*second)}},
		{Fingerprint: fingerprintFor(1), Trials: 1, LastTrialAt: 15 * second},
		{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("d", 16*second)}},
	}
	random := rand.New(rand.NewPCG(1, 2))
	var first Record
	for round := range 50 {
		ledger := NewTracker(Options{})
		for _, index := range append(random.Perm(len(words)), random.Perm(len(words))...) {
			ledger.Merge(&words[index])
		}
		merged, known := ledger.Record(fingerprintFor(1))
		assert.True(t, known)
		if round == 0 {
			first = merged
			assert.Equal(t, []Crash{crashAt("a", 4*second), crashAt("b", 6*second), crashAt("c", 14*second), crashAt("d", 16*second)}, merged.Crashes)
		}
		assert.Equal(t, first, merged)
	}
}

// TestTrialsAreFewAndFarBetween: one after each hold, which grows, and none after the last.
func TestTrialsAreFewAndFarBetween(t *testing.T) {
	ledger := newQuarantined()
	at := 100 * second
	assert.False(t, ledger.Check(at+DefaultTrialDelay-1, fingerprintFor(1)).TrialDue)
	hold := DefaultTrialDelay
	for trial := 1; trial <= DefaultMaxTrials; trial++ {
		at += hold
		verdict := ledger.Check(at, fingerprintFor(1))
		assert.True(t, verdict.Quarantined && verdict.TrialDue, "trial %d", trial)
		ledger.BeginTrial(at, fingerprintFor(1), trial)
		assert.False(t, ledger.Check(at, fingerprintFor(1)).TrialDue, "others wait")
		at += second
		ledger.ObserveCrash(at, fingerprintFor(1), fleet.EngineID(fmt.Sprint("trial-", trial)))
		hold *= DefaultTrialDelayFactor
	}
	for _, later := range []time.Duration{hold, DefaultQuarantineRetention - 1} {
		verdict := ledger.Check(at+later, fingerprintFor(1))
		assert.True(t, verdict.Quarantined, later)
		assert.False(t, verdict.TrialDue, later)
	}
	assert.Empty(t, ledger.Sweep(at+DefaultQuarantineRetention-1))
	assert.Equal(t, []Fingerprint{fingerprintFor(1)}, ledger.Sweep(at+DefaultQuarantineRetention))
}

// TestTrialThatIsAnsweredEndsTheHold, and so does the removal of the row.
func TestTrialThatIsAnsweredEndsTheHold(t *testing.T) {
	ledger := newQuarantined()
	ledger.BeginTrial(100*second+DefaultTrialDelay, fingerprintFor(1), 1)
	assert.True(t, ledger.ObserveAnswer(101*second+DefaultTrialDelay, fingerprintFor(1)))
	assert.False(t, ledger.Check(101*second+DefaultTrialDelay, fingerprintFor(1)).Quarantined)
	ledger = newQuarantined()
	assert.True(t, ledger.Release(110*second, fingerprintFor(1)))
	assert.False(t, ledger.Check(110*second, fingerprintFor(1)).Quarantined)
	assert.False(t, ledger.Release(111*second, fingerprintFor(1)))
	for _, worker := range []fleet.EngineID{"x", "y", "z"} {
		ledger.ObserveCrash(111*second, fingerprintFor(1), worker)
	}
	assert.True(t, ledger.Check(111*second, fingerprintFor(1)).Quarantined, "it ends workers still")
	assert.False(t, ledger.Release(111*second, fingerprintFor(2)))
}

// TestSuspicionIsForgotten sooner than a hold.
func TestSuspicionIsForgotten(t *testing.T) {
	ledger := NewTracker(Options{})
	ledger.ObserveCrash(0, fingerprintFor(1), "a")
	ledger.ObserveCrash(0, fingerprintFor(1), "b")
	assert.Empty(t, ledger.Sweep(DefaultSuspectRetention))
	_, known := ledger.Record(fingerprintFor(1))
	assert.False(t, known)
}

// TestDigestTellsWhetherLedgersDiffer in what all are to know.
func TestDigestTellsWhetherLedgersDiffer(t *testing.T) {
	one, other := NewTracker(Options{}), NewTracker(Options{})
	one.ObserveCrash(0, fingerprintFor(1), "a")
	assert.Zero(t, one.Digest(2), "a single end is nobody else's concern")
	one.ObserveCrash(second, fingerprintFor(1), "b")
	assert.NotZero(t, one.Digest(2))
	other.ObserveCrash(2*second, fingerprintFor(1), "b")
	other.ObserveCrash(3*second, fingerprintFor(1), "a")
	assert.Equal(t, one.Digest(2), other.Digest(2), "times don't matter")
	one.ObserveCrash(second, fingerprintFor(1), "c")
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
	for _, record := range one.RecordsWithCrashes(2) {
		other.Merge(&record)
	}
	assert.Equal(t, one.Digest(2), other.Digest(2))
	one.BeginTrial(5*second, fingerprintFor(1), 1)
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
}

// TestLedgerStaysBounded under ever new requests that are under way at ending workers, and
// keeps what it holds.
func TestLedgerStaysBounded(t *testing.T) {
	ledger := newQuarantined()
	for number := range 20_000 {
		ledger.ObserveCrash(time.Duration(number)*time.Millisecond, fingerprintFor(number+10), "w")
	}
	assert.LessOrEqual(t, len(ledger.records), DefaultMaxRecords)
	assert.True(t, ledger.Check(200*second, fingerprintFor(1)).Quarantined)
	for number := range 100 {
		ledger.ObserveCrash(time.Duration(number)*second, fingerprintFor(1), fleet.EngineID(fmt.Sprint("w", number)))
	}
	record, _ := ledger.Record(fingerprintFor(1))
	assert.LessOrEqual(t, len(record.Crashes), maxCrashes)
}

// BenchmarkFingerprint of a request of 17 KB, the largest usual body.
func BenchmarkFingerprint(b *testing.B) {
	one := testIdentity()
	one.Body = make([]byte, 17_000)
	for b.Loop() {
		one.Fingerprint()
	}
}

// BenchmarkCheck of a request that nobody suspects, beside a full ledger.
func BenchmarkCheck(b *testing.B) {
	ledger := NewTracker(Options{})
	for number := range DefaultMaxRecords {
		ledger.ObserveCrash(0, fingerprintFor(number), "w")
	}
	fingerprint := fingerprintFor(-1)
	for b.Loop() {
		ledger.Check(second, fingerprint)
	}
}

// BenchmarkDigest of a full ledger of which one in a hundred requests is shared.
func BenchmarkDigest(b *testing.B) {
	ledger := NewTracker(Options{})
	for number := range DefaultMaxRecords {
		ledger.ObserveCrash(0, fingerprintFor(number), "w")
		if number%100 == 0 {
			ledger.ObserveCrash(0, fingerprintFor(number), "v")
		}
	}
	for b.Loop() {
		ledger.Digest(2)
	}
}
