package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func end(worker string, at time.Duration) Crash { return Crash{Worker: fleet.EngineID(worker), At: at} }

// held returns a ledger that holds request 1 since 100 s.
func held() *Tracker {
	ledger := NewTracker(Options{})
	for number := range DefaultThreshold {
		ledger.ObserveCrash(time.Duration(98+number)*second, print(1), fleet.EngineID(fmt.Sprint(number)))
	}
	return ledger
}

// TestRequestIsHeldAfterThreeEnds of different workers, whichever nodes saw them.
func TestRequestIsHeldAfterThreeEnds(t *testing.T) {
	ledger := NewTracker(Options{})
	assert.True(t, ledger.ObserveCrash(10*second, print(1), "a"))
	assert.False(t, ledger.ObserveCrash(11*second, print(1), "a"), "two runs at one worker are one end")
	ledger.ObserveCrash(11*second, print(1), "b")
	assert.False(t, ledger.Check(11*second, print(1)).Quarantined)
	ledger.Merge(&Record{Fingerprint: print(1), Crashes: []Crash{end("c", 9*second), end("b", 10500*time.Millisecond)}})
	verdict := ledger.Check(12*second, print(1))
	assert.Equal(t, Verdict{
		Quarantined: true, Crashes: 3, FirstAge: 3 * second, LastAge: 1500 * time.Millisecond,
		RetryAfter: DefaultTrialDelay - 1500*time.Millisecond,
	}, verdict)
	assert.False(t, ledger.Check(12*second, print(2)).Quarantined, "another request")
	assert.Equal(t, 1, ledger.QuarantinedCount())
}

// TestWholeAnswersSpeakForARequest that is under way at many workers, such as a popular one.
func TestWholeAnswersSpeakForARequest(t *testing.T) {
	ledger := NewTracker(Options{})
	assert.False(t, ledger.ObserveAnswer(10*second, print(1)), "nobody suspects it")
	for _, worker := range []fleet.EngineID{"a", "b", "c", "d"} {
		ledger.ObserveCrash(19*second, print(1), worker)
	}
	assert.False(t, ledger.Check(19*second, print(1)).Quarantined, "it was answered a moment before")
	for _, worker := range []fleet.EngineID{"e", "f", "g"} {
		ledger.ObserveCrash(21*second, print(1), worker)
	}
	assert.True(t, ledger.Check(21*second, print(1)).Quarantined, "and never since")
	assert.True(t, ledger.ObserveAnswer(22*second, print(1)), "others are to hear that it was answered")
	assert.False(t, ledger.Check(22*second, print(1)).Quarantined)
	told := Record{Fingerprint: print(1), Crashes: []Crash{end("e", 21*second), end("f", 21*second)}}
	assert.True(t, ledger.IsAheadOf(&told), "a node that suspects it still is to hear, too")
	told.Answered, told.AnsweredAt = true, 22*second
	assert.False(t, ledger.IsAheadOf(&told), "that one knows")
}

// TestRecordsMergeInAnyOrder, with words that come twice.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	words := []Record{
		{Fingerprint: print(1), Crashes: []Crash{end("a", 5*second)}},
		{Fingerprint: print(1), Crashes: []Crash{end("a", 4*second), end("b", 6*second)}},
		{Fingerprint: print(1), Answered: true, AnsweredAt: 2 * second},
		{Fingerprint: print(1), Answered: true, AnsweredAt: second, Crashes: []Crash{end("c", 14*second)}},
		{Fingerprint: print(1), Trials: 1, LastTrialAt: 15 * second},
		{Fingerprint: print(1), Crashes: []Crash{end("d", 16*second)}},
	}
	random := rand.New(rand.NewPCG(1, 2))
	var first Record
	for round := range 50 {
		ledger := NewTracker(Options{})
		for _, index := range append(random.Perm(len(words)), random.Perm(len(words))...) {
			ledger.Merge(&words[index])
		}
		merged, known := ledger.Record(print(1))
		assert.True(t, known)
		if round == 0 {
			first = merged
			assert.Equal(t, []Crash{end("a", 4*second), end("b", 6*second), end("c", 14*second), end("d", 16*second)}, merged.Crashes)
		}
		assert.Equal(t, first, merged)
	}
}

// TestTrialsAreFewAndFarBetween: one after each hold, which grows, and none after the last.
func TestTrialsAreFewAndFarBetween(t *testing.T) {
	ledger := held()
	at := 100 * second
	assert.False(t, ledger.Check(at+DefaultTrialDelay-1, print(1)).TrialDue)
	hold := DefaultTrialDelay
	for trial := 1; trial <= DefaultMaxTrials; trial++ {
		at += hold
		verdict := ledger.Check(at, print(1))
		assert.True(t, verdict.Quarantined && verdict.TrialDue, "trial %d", trial)
		ledger.BeginTrial(at, print(1), trial)
		assert.False(t, ledger.Check(at, print(1)).TrialDue, "others wait")
		at += second
		ledger.ObserveCrash(at, print(1), fleet.EngineID(fmt.Sprint("trial-", trial)))
		hold *= DefaultTrialDelayFactor
	}
	for _, later := range []time.Duration{hold, DefaultQuarantineRetention - 1} {
		verdict := ledger.Check(at+later, print(1))
		assert.True(t, verdict.Quarantined, later)
		assert.False(t, verdict.TrialDue, later)
	}
	assert.Empty(t, ledger.Sweep(at+DefaultQuarantineRetention-1))
	assert.Equal(t, []Fingerprint{print(1)}, ledger.Sweep(at+DefaultQuarantineRetention))
}

// TestTrialThatIsAnsweredEndsTheHold, and so does the removal of the row.
func TestTrialThatIsAnsweredEndsTheHold(t *testing.T) {
	ledger := held()
	ledger.BeginTrial(100*second+DefaultTrialDelay, print(1), 1)
	assert.True(t, ledger.ObserveAnswer(101*second+DefaultTrialDelay, print(1)))
	assert.False(t, ledger.Check(101*second+DefaultTrialDelay, print(1)).Quarantined)
	ledger = held()
	assert.True(t, ledger.Release(110*second, print(1)))
	assert.False(t, ledger.Check(110*second, print(1)).Quarantined)
	assert.False(t, ledger.Release(111*second, print(1)))
	for _, worker := range []fleet.EngineID{"x", "y", "z"} {
		ledger.ObserveCrash(111*second, print(1), worker)
	}
	assert.True(t, ledger.Check(111*second, print(1)).Quarantined, "it ends workers still")
	assert.False(t, ledger.Release(111*second, print(2)))
}

// TestSuspicionIsForgotten sooner than a hold.
func TestSuspicionIsForgotten(t *testing.T) {
	ledger := NewTracker(Options{})
	ledger.ObserveCrash(0, print(1), "a")
	ledger.ObserveCrash(0, print(1), "b")
	assert.Empty(t, ledger.Sweep(DefaultSuspectRetention))
	_, known := ledger.Record(print(1))
	assert.False(t, known)
}

// TestDigestTellsWhetherLedgersDiffer in what all are to know.
func TestDigestTellsWhetherLedgersDiffer(t *testing.T) {
	one, other := NewTracker(Options{}), NewTracker(Options{})
	one.ObserveCrash(0, print(1), "a")
	assert.Zero(t, one.Digest(2), "a single end is nobody else's concern")
	one.ObserveCrash(second, print(1), "b")
	assert.NotZero(t, one.Digest(2))
	other.ObserveCrash(2*second, print(1), "b")
	other.ObserveCrash(3*second, print(1), "a")
	assert.Equal(t, one.Digest(2), other.Digest(2), "times don't matter")
	one.ObserveCrash(second, print(1), "c")
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
	for _, record := range one.RecordsWithCrashes(2) {
		other.Merge(&record)
	}
	assert.Equal(t, one.Digest(2), other.Digest(2))
	one.BeginTrial(5*second, print(1), 1)
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
}

// TestLedgerStaysBounded under ever new requests that are under way at ending workers, and
// keeps what it holds.
func TestLedgerStaysBounded(t *testing.T) {
	ledger := held()
	for number := range 20_000 {
		ledger.ObserveCrash(time.Duration(number)*time.Millisecond, print(number+10), "w")
	}
	assert.LessOrEqual(t, len(ledger.records), DefaultMaxRecords)
	assert.True(t, ledger.Check(200*second, print(1)).Quarantined)
	for number := range 100 {
		ledger.ObserveCrash(time.Duration(number)*second, print(1), fleet.EngineID(fmt.Sprint("w", number)))
	}
	record, _ := ledger.Record(print(1))
	assert.LessOrEqual(t, len(record.Crashes), maxCrashes)
}

// BenchmarkFingerprint of a request of 17 KB, the largest usual body.
func BenchmarkFingerprint(b *testing.B) {
	one := subject()
	one.Body = make([]byte, 17_000)
	for b.Loop() {
		one.Fingerprint()
	}
}

// BenchmarkCheck of a request that nobody suspects, beside a full ledger.
func BenchmarkCheck(b *testing.B) {
	ledger := NewTracker(Options{})
	for number := range DefaultMaxRecords {
		ledger.ObserveCrash(0, print(number), "w")
	}
	fingerprint := print(-1)
	for b.Loop() {
		ledger.Check(second, fingerprint)
	}
}

// BenchmarkDigest of a full ledger of which one in a hundred requests is shared.
func BenchmarkDigest(b *testing.B) {
	ledger := NewTracker(Options{})
	for number := range DefaultMaxRecords {
		ledger.ObserveCrash(0, print(number), "w")
		if number%100 == 0 {
			ledger.ObserveCrash(0, print(number), "v")
		}
	}
	for b.Loop() {
		ledger.Digest(2)
	}
}
