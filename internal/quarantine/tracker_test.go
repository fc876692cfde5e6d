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

// newQuarantined returns a tracker with request 1 quarantined since 100 s.
func newQuarantined() *Tracker {
	tracker := NewTracker(Options{})
	for number := range DefaultThreshold {
		tracker.ObserveCrash(time.Duration(98+number)*second, fingerprintFor(1), fleet.EngineID(fmt.Sprint(number)))
	}
	return tracker
}

// TestRequestIsQuarantinedAfterThreeCrashes guards against crashes that are counted twice for one
// worker, or not at all if another node observed them.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	tracker := NewTracker(Options{})
	assert.True(t, tracker.ObserveCrash(10*second, fingerprintFor(1), "a"))
	assert.False(t, tracker.ObserveCrash(11*second, fingerprintFor(1), "a"), "two runs at one worker count as one crash")
	tracker.ObserveCrash(11*second, fingerprintFor(1), "b")
	assert.False(t, tracker.Check(11*second, fingerprintFor(1)).Quarantined)
	tracker.Merge(0, &Record{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("c", 9*second), crashAt("b", 10500*time.Millisecond)}})
	verdict := tracker.Check(12*second, fingerprintFor(1))
	assert.Equal(t, Verdict{
		Fingerprint: fingerprintFor(1), Quarantined: true, Crashes: 3, FirstAge: 3 * second, LastAge: 1500 * time.Millisecond,
		RetryAfter: DefaultTrialDelay - 1500*time.Millisecond,
	}, verdict)
	assert.False(t, tracker.Check(12*second, fingerprintFor(2)).Quarantined, "another request")
	assert.Equal(t, 1, tracker.QuarantinedCount())
}

// TestCompleteAnswerClearsRequest guards against a quarantine of harmless popular requests, which are
// in flight at many workers.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	tracker := NewTracker(Options{})
	assert.False(t, tracker.ObserveAnswer(10*second, fingerprintFor(1)), "not suspected")
	for _, worker := range []fleet.EngineID{"a", "b", "c", "d"} {
		tracker.ObserveCrash(19*second, fingerprintFor(1), worker)
	}
	assert.False(t, tracker.Check(19*second, fingerprintFor(1)).Quarantined, "answered within the grace period")
	for _, worker := range []fleet.EngineID{"e", "f", "g"} {
		tracker.ObserveCrash(21*second, fingerprintFor(1), worker)
	}
	assert.True(t, tracker.Check(21*second, fingerprintFor(1)).Quarantined, "not answered since")
	assert.True(t, tracker.ObserveAnswer(22*second, fingerprintFor(1)), "other nodes are to be notified of the answer")
	assert.False(t, tracker.Check(22*second, fingerprintFor(1)).Quarantined)
	other := Record{Fingerprint: fingerprintFor(1), Crashes: []Crash{crashAt("e", 21*second), crashAt("f", 21*second)}}
	assert.True(t, tracker.IsAheadOf(&other), "a node that still suspects it is to be notified")
	other.Answered, other.AnsweredAt = true, 22*second
	assert.False(t, tracker.IsAheadOf(&other), "a node that has the answer is not")
}

// TestRecordsMergeInAnyOrder guards against merge results that depend on the order or repetition of
// reports.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	records := []Record{
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
		tracker := NewTracker(Options{})
		for _, index := range append(random.Perm(len(records)), random.Perm(len(records))...) {
			tracker.Merge(0, &records[index])
		}
		merged, known := tracker.Record(fingerprintFor(1))
		assert.True(t, known)
		if round == 0 {
			first = merged
			assert.Equal(t, []Crash{crashAt("a", 4*second), crashAt("b", 6*second), crashAt("c", 14*second), crashAt("d", 16*second)}, merged.Crashes)
		}
		assert.Equal(t, first, merged)
	}
}

// TestTrialsAreBoundedAndBackOff guards against trials that are too frequent or too many.
func TestTrialsAreBoundedAndBackOff(t *testing.T) {
	tracker := newQuarantined()
	at := 100 * second
	assert.False(t, tracker.Check(at+DefaultTrialDelay-1, fingerprintFor(1)).TrialDue)
	delay := DefaultTrialDelay
	for trial := 1; trial <= DefaultMaxTrials; trial++ {
		at += delay
		verdict := tracker.Check(at, fingerprintFor(1))
		assert.True(t, verdict.Quarantined && verdict.TrialDue, "trial %d", trial)
		tracker.BeginTrial(at, fingerprintFor(1), trial)
		assert.False(t, tracker.Check(at, fingerprintFor(1)).TrialDue, "only one trial at a time")
		at += second
		tracker.ObserveCrash(at, fingerprintFor(1), fleet.EngineID(fmt.Sprint("trial-", trial)))
		delay *= DefaultTrialDelayFactor
	}
	for _, later := range []time.Duration{delay, DefaultQuarantineRetention - 1} {
		verdict := tracker.Check(at+later, fingerprintFor(1))
		assert.True(t, verdict.Quarantined, later)
		assert.False(t, verdict.TrialDue, later)
	}
	assert.Empty(t, tracker.Sweep(at+DefaultQuarantineRetention-1))
	assert.Equal(t, []Fingerprint{fingerprintFor(1)}, tracker.Sweep(at+DefaultQuarantineRetention))
}

// TestAnsweredTrialOrReleaseEndsQuarantine guards against requests that stay quarantined after a
// successful trial or the removal of their row.
func TestAnsweredTrialOrReleaseEndsQuarantine(t *testing.T) {
	tracker := newQuarantined()
	tracker.BeginTrial(100*second+DefaultTrialDelay, fingerprintFor(1), 1)
	assert.True(t, tracker.ObserveAnswer(101*second+DefaultTrialDelay, fingerprintFor(1)))
	assert.False(t, tracker.Check(101*second+DefaultTrialDelay, fingerprintFor(1)).Quarantined)
	tracker = newQuarantined()
	assert.True(t, tracker.Release(110*second, fingerprintFor(1)))
	assert.False(t, tracker.Check(110*second, fingerprintFor(1)).Quarantined)
	assert.False(t, tracker.Release(111*second, fingerprintFor(1)))
	for _, worker := range []fleet.EngineID{"x", "y", "z"} {
		tracker.ObserveCrash(111*second, fingerprintFor(1), worker)
	}
	assert.True(t, tracker.Check(111*second, fingerprintFor(1)).Quarantined, "it still crashes workers")
	assert.False(t, tracker.Release(111*second, fingerprintFor(2)))
}

// TestSuspectRecordExpires guards against records of suspects that are kept as long as those of
// quarantined requests.
func TestSuspectRecordExpires(t *testing.T) {
	tracker := NewTracker(Options{})
	tracker.ObserveCrash(0, fingerprintFor(1), "a")
	tracker.ObserveCrash(0, fingerprintFor(1), "b")
	assert.Empty(t, tracker.Sweep(DefaultSuspectRetention))
	_, known := tracker.Record(fingerprintFor(1))
	assert.False(t, known)
}

// TestDigestDetectsDifferences guards against nodes whose records stay different, or that exchange
// equal records endlessly.
func TestDigestDetectsDifferences(t *testing.T) {
	one, other := NewTracker(Options{}), NewTracker(Options{})
	one.ObserveCrash(0, fingerprintFor(1), "a")
	assert.Zero(t, one.Digest(2), "a single crash is not shared")
	one.ObserveCrash(second, fingerprintFor(1), "b")
	assert.NotZero(t, one.Digest(2))
	other.ObserveCrash(2*second, fingerprintFor(1), "b")
	other.ObserveCrash(3*second, fingerprintFor(1), "a")
	assert.Equal(t, one.Digest(2), other.Digest(2), "independent of times")
	one.ObserveCrash(second, fingerprintFor(1), "c")
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
	for _, record := range one.RecordsWithCrashes(2) {
		other.Merge(0, &record)
	}
	assert.Equal(t, one.Digest(2), other.Digest(2))
	one.BeginTrial(5*second, fingerprintFor(1), 1)
	assert.NotEqual(t, one.Digest(2), other.Digest(2))
}

// TestTrackerStaysBounded guards against unbounded memory under a flood of distinct requests, and
// against a flood that evicts a quarantined request.
func TestTrackerStaysBounded(t *testing.T) {
	tracker := newQuarantined()
	for number := range 20_000 {
		tracker.ObserveCrash(time.Duration(number)*time.Millisecond, fingerprintFor(number+10), "w")
	}
	assert.LessOrEqual(t, len(tracker.records), DefaultMaxRecords)
	assert.True(t, tracker.Check(200*second, fingerprintFor(1)).Quarantined)
	for number := range 100 {
		tracker.ObserveCrash(time.Duration(number)*second, fingerprintFor(1), fleet.EngineID(fmt.Sprint("w", number)))
	}
	record, _ := tracker.Record(fingerprintFor(1))
	assert.LessOrEqual(t, len(record.Crashes), maxCrashes)
}

// BenchmarkFingerprint uses a body of 17 KB, the largest usual size.
func BenchmarkFingerprint(b *testing.B) {
	one := testIdentity()
	one.Body = make([]byte, 17_000)
	for b.Loop() {
		one.Fingerprint()
	}
}

// BenchmarkCheck checks a request without a record in a full tracker.
func BenchmarkCheck(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultMaxRecords {
		tracker.ObserveCrash(0, fingerprintFor(number), "w")
	}
	fingerprint := fingerprintFor(-1)
	for b.Loop() {
		tracker.Check(second, fingerprint)
	}
}

// BenchmarkDigest uses a full tracker of which one record in a hundred is shared.
func BenchmarkDigest(b *testing.B) {
	tracker := NewTracker(Options{})
	for number := range DefaultMaxRecords {
		tracker.ObserveCrash(0, fingerprintFor(number), "w")
		if number%100 == 0 {
			tracker.ObserveCrash(0, fingerprintFor(number), "v")
		}
	}
	for b.Loop() {
		tracker.Digest(2)
	}
}
