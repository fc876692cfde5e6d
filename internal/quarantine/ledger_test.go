package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func end(worker string, at time.Duration) End { return End{Worker: fleet.EngineID(worker), At: at} }

// held returns a ledger that holds request 1 since 100 s.
func held() *Ledger {
	ledger := NewLedger(Options{})
	for number := range DefaultThreshold {
		ledger.Ended(time.Duration(98+number)*second, print(1), fleet.EngineID(fmt.Sprint(number)))
	}
	return ledger
}

// TestRequestIsHeldAfterThreeEnds of different workers, whichever nodes saw them.
func TestRequestIsHeldAfterThreeEnds(t *testing.T) {
	ledger := NewLedger(Options{})
	assert.True(t, ledger.Ended(10*second, print(1), "a"))
	assert.False(t, ledger.Ended(11*second, print(1), "a"), "two runs at one worker are one end")
	ledger.Ended(11*second, print(1), "b")
	assert.False(t, ledger.Check(11*second, print(1)).Held)
	ledger.Merge(&Record{Fingerprint: print(1), Ends: []End{end("c", 9*second), end("b", 10500*time.Millisecond)}})
	verdict := ledger.Check(12*second, print(1))
	assert.Equal(t, Verdict{
		Held: true, Ends: 3, FirstAge: 3 * second, LastAge: 1500 * time.Millisecond,
		RetryAfter: DefaultHoldFor - 1500*time.Millisecond,
	}, verdict)
	assert.False(t, ledger.Check(12*second, print(2)).Held, "another request")
	assert.Equal(t, 1, ledger.Held())
}

// TestWholeAnswersSpeakForARequest that is under way at many workers, such as a popular one.
func TestWholeAnswersSpeakForARequest(t *testing.T) {
	ledger := NewLedger(Options{})
	assert.False(t, ledger.Answered(10*second, print(1)), "nobody suspects it")
	for _, worker := range []fleet.EngineID{"a", "b", "c", "d"} {
		ledger.Ended(19*second, print(1), worker)
	}
	assert.False(t, ledger.Check(19*second, print(1)).Held, "it was answered a moment before")
	for _, worker := range []fleet.EngineID{"e", "f", "g"} {
		ledger.Ended(21*second, print(1), worker)
	}
	assert.True(t, ledger.Check(21*second, print(1)).Held, "and never since")
	assert.True(t, ledger.Answered(22*second, print(1)), "others are to hear that it was answered")
	assert.False(t, ledger.Check(22*second, print(1)).Held)
	told := Record{Fingerprint: print(1), Ends: []End{end("e", 21*second), end("f", 21*second)}}
	assert.True(t, ledger.Beyond(&told), "a node that suspects it still is to hear, too")
	told.Answered, told.AnsweredAt = true, 22*second
	assert.False(t, ledger.Beyond(&told), "that one knows")
}

// TestRecordsMergeInAnyOrder, with words that come twice.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	words := []Record{
		{Fingerprint: print(1), Ends: []End{end("a", 5*second)}},
		{Fingerprint: print(1), Ends: []End{end("a", 4*second), end("b", 6*second)}},
		{Fingerprint: print(1), Answered: true, AnsweredAt: 2 * second},
		{Fingerprint: print(1), Answered: true, AnsweredAt: second, Ends: []End{end("c", 14*second)}},
		{Fingerprint: print(1), Trials: 1, TriedAt: 15 * second},
		{Fingerprint: print(1), Ends: []End{end("d", 16*second)}},
	}
	random := rand.New(rand.NewPCG(1, 2))
	var first Record
	for round := range 50 {
		ledger := NewLedger(Options{})
		for _, index := range append(random.Perm(len(words)), random.Perm(len(words))...) {
			ledger.Merge(&words[index])
		}
		merged, known := ledger.Record(print(1))
		assert.True(t, known)
		if round == 0 {
			first = merged
			assert.Equal(t, []End{end("a", 4*second), end("b", 6*second), end("c", 14*second), end("d", 16*second)}, merged.Ends)
		}
		assert.Equal(t, first, merged)
	}
}

// TestTrialsAreFewAndFarBetween: one after each hold, which grows, and none after the last.
func TestTrialsAreFewAndFarBetween(t *testing.T) {
	ledger := held()
	at := 100 * second
	assert.False(t, ledger.Check(at+DefaultHoldFor-1, print(1)).TrialDue)
	hold := DefaultHoldFor
	for trial := 1; trial <= DefaultMaxTrials; trial++ {
		at += hold
		verdict := ledger.Check(at, print(1))
		assert.True(t, verdict.Held && verdict.TrialDue, "trial %d", trial)
		ledger.BeginTrial(at, print(1), trial)
		assert.False(t, ledger.Check(at, print(1)).TrialDue, "others wait")
		at += second
		ledger.Ended(at, print(1), fleet.EngineID(fmt.Sprint("trial-", trial)))
		hold *= DefaultHoldGrowth
	}
	for _, later := range []time.Duration{hold, DefaultForgetAfter - 1} {
		verdict := ledger.Check(at+later, print(1))
		assert.True(t, verdict.Held, later)
		assert.False(t, verdict.TrialDue, later)
	}
	assert.Empty(t, ledger.Sweep(at+DefaultForgetAfter-1))
	assert.Equal(t, []Fingerprint{print(1)}, ledger.Sweep(at+DefaultForgetAfter))
}

// TestTrialThatIsAnsweredEndsTheHold, and so does the removal of the row.
func TestTrialThatIsAnsweredEndsTheHold(t *testing.T) {
	ledger := held()
	ledger.BeginTrial(100*second+DefaultHoldFor, print(1), 1)
	assert.True(t, ledger.Answered(101*second+DefaultHoldFor, print(1)))
	assert.False(t, ledger.Check(101*second+DefaultHoldFor, print(1)).Held)
	ledger = held()
	assert.True(t, ledger.Release(110*second, print(1)))
	assert.False(t, ledger.Check(110*second, print(1)).Held)
	assert.False(t, ledger.Release(111*second, print(1)))
	for _, worker := range []fleet.EngineID{"x", "y", "z"} {
		ledger.Ended(111*second, print(1), worker)
	}
	assert.True(t, ledger.Check(111*second, print(1)).Held, "it ends workers still")
	assert.False(t, ledger.Release(111*second, print(2)))
}

// TestSuspicionIsForgotten sooner than a hold.
func TestSuspicionIsForgotten(t *testing.T) {
	ledger := NewLedger(Options{})
	ledger.Ended(0, print(1), "a")
	ledger.Ended(0, print(1), "b")
	assert.Empty(t, ledger.Sweep(DefaultSuspectFor))
	_, known := ledger.Record(print(1))
	assert.False(t, known)
}

// TestDigestTellsWhetherLedgersDiffer in what all are to know.
func TestDigestTellsWhetherLedgersDiffer(t *testing.T) {
	one, other := NewLedger(Options{}), NewLedger(Options{})
	one.Ended(0, print(1), "a")
	assert.Zero(t, one.Digest(2), "a single end is nobody else's concern")
	one.Ended(second, print(1), "b")
	assert.NotZero(t, one.Digest(2))
	other.Ended(2*second, print(1), "b")
	other.Ended(3*second, print(1), "a")
	assert.Equal(t, one.Digest(2), other.Digest(2), "times don't matter")
	one.Ended(second, print(1), "c")
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
	for _, record := range one.AtLeast(2) {
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
		ledger.Ended(time.Duration(number)*time.Millisecond, print(number+10), "w")
	}
	assert.LessOrEqual(t, len(ledger.records), DefaultMaxRecords)
	assert.True(t, ledger.Check(200*second, print(1)).Held)
	for number := range 100 {
		ledger.Ended(time.Duration(number)*second, print(1), fleet.EngineID(fmt.Sprint("w", number)))
	}
	record, _ := ledger.Record(print(1))
	assert.LessOrEqual(t, len(record.Ends), maxEnds)
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
	ledger := NewLedger(Options{})
	for number := range DefaultMaxRecords {
		ledger.Ended(0, print(number), "w")
	}
	fingerprint := print(-1)
	for b.Loop() {
		ledger.Check(second, fingerprint)
	}
}

// BenchmarkDigest of a full ledger of which one in a hundred requests is shared.
func BenchmarkDigest(b *testing.B) {
	ledger := NewLedger(Options{})
	for number := range DefaultMaxRecords {
		ledger.Ended(0, print(number), "w")
		if number%100 == 0 {
			ledger.Ended(0, print(number), "v")
		}
	}
	for b.Loop() {
		ledger.Digest(2)
	}
}
