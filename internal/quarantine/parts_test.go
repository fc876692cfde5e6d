package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// partOf returns the fingerprint of a part at the service of most tests.
func partOf(name string) Fingerprint { return PartFingerprint("service", name) }

// requestWith returns a request of its own whose prompt has shared parts.
func requestWith(number int, parts ...string) *Subject {
	subject := subjectFor(number)
	for _, part := range parts {
		subject.Parts = append(subject.Parts, partOf(part))
	}
	return &subject
}

// crashWith records that a worker crashed while requests with these parts were in flight.
func crashWith(tracker *Tracker, at time.Duration, worker string, parts ...string) {
	for _, part := range parts {
		tracker.ObserveCrash(at, partOf(part), fleet.EngineID(worker))
	}
}

// answerWith records that a request with these parts was answered.
func answerWith(tracker *Tracker, at time.Duration, parts ...string) {
	for _, part := range parts {
		tracker.ObservePartAnswer(at, partOf(part))
	}
}

func isHeld(tracker *Tracker, at time.Duration, parts ...string) bool {
	return tracker.CheckRequest(at, requestWith(1000, parts...)).Quarantined
}

// TestPartWithoutAnswersIsQuarantined guards against a part that crashes workers in requests that are all
// different, and against a hold of parts that others answer.
func TestPartWithoutAnswersIsQuarantined(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 3 {
		at := time.Duration(10+number) * second
		assert.False(t, isHeld(tracker, at, "everybody's", "bad"))
		answerWith(tracker, at, "everybody's", fmt.Sprint("topic-", number))
		crashWith(tracker, at, fmt.Sprint("w", number), "everybody's", "bad", fmt.Sprint("topic-", number))
	}
	assert.True(t, isHeld(tracker, 13*second, "everybody's", "bad"))
	assert.True(t, isHeld(tracker, 13*second, "bad", "another"), "whatever else the prompt holds")
	assert.False(t, isHeld(tracker, 13*second, "everybody's", "topic-1"))
	verdict := tracker.CheckRequest(13*second, requestWith(1, "everybody's", "bad"))
	assert.Equal(t, partOf("bad"), verdict.Fingerprint)
	assert.Equal(t, DefaultPartTrialDelay-second, verdict.RetryAfter)
}

// TestFewAnswersDontAcquit guards against a part that is never held since it crashes most workers, not all.
func TestFewAnswersDontAcquit(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 5 {
		at := time.Duration(10+number) * second
		crashWith(tracker, at, fmt.Sprint("w", number), "bad")
		if number%2 == 1 {
			answerWith(tracker, at, "bad")
		}
	}
	assert.True(t, isHeld(tracker, 15*second, "bad"))
}

// TestCrashesToldAtOnceHoldAnAnsweredPart guards against a hold of a part that is answered all the time, since its
// answers counted for nothing while they outweighed the crashes that this node knew.
func TestCrashesToldAtOnceHoldAnAnsweredPart(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	told := Record{Fingerprint: partOf("everybody's")}
	for number := range 120 {
		at := 10*second + time.Duration(number)*second/12
		if number%24 == 0 && number < 72 {
			crashWith(tracker, at, fmt.Sprint("w", number), "everybody's")
		}
		if number >= 90 && number%2 == 0 {
			told.Crashes = append(told.Crashes, Crash{Worker: fleet.EngineID(fmt.Sprint("v", number)), At: at})
		}
		answerWith(tracker, at, "everybody's")
	}
	tracker.Merge(20*second, &told)
	assert.False(t, isHeld(tracker, 20*second, "everybody's"))
	for number := range 9 {
		crashWith(tracker, time.Duration(21+number)*second, fmt.Sprint("x", number), "everybody's")
	}
	assert.True(t, isHeld(tracker, 30*second, "everybody's"), "it became harmful")
}

// TestWorkersThatCrashAtOnceCountOnce guards against a hold of what ran at the workers of a lost rack.
func TestWorkersThatCrashAtOnceCountOnce(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 8 {
		crashWith(tracker, 10*second+time.Duration(number)*10*time.Millisecond, fmt.Sprint("w", number), "new")
	}
	assert.False(t, isHeld(tracker, 11*second, "new"))
	assert.True(t, tracker.CheckRequest(11*second, requestWith(1, "new")).Suspected)
}

// TestCrashesOfAHeldPartDontTurnAgainstOthers guards against a hold of a rare part that was in flight at
// workers which another one crashed, while that one is held and once its trial was answered.
func TestCrashesOfAHeldPartDontTurnAgainstOthers(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 5 {
		parts := []string{"bad"}
		if number > 0 {
			parts = append(parts, "rare")
		}
		crashWith(tracker, time.Duration(10+number)*second, fmt.Sprint("w", number), parts...)
	}
	assert.True(t, isHeld(tracker, 15*second, "bad"))
	assert.False(t, isHeld(tracker, 15*second, "rare"))
	assert.True(t, tracker.Release(50*second, partOf("bad")))
	assert.False(t, isHeld(tracker, 50*second, "bad"))
	assert.False(t, isHeld(tracker, 50*second, "rare"))
}

// TestPartsThatComeTogetherAreHeldTogether guards against a hold of a sound part that has only been seen
// beside a harmful one, and against a harmful one that isn't held for it.
func TestPartsThatComeTogetherAreHeldTogether(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 3 {
		crashWith(tracker, time.Duration(10+number)*second, fmt.Sprint("w", number), "bad", "companion")
	}
	assert.True(t, isHeld(tracker, 13*second, "bad", "companion"))
	assert.False(t, isHeld(tracker, 13*second, "companion"))
	answerWith(tracker, 13*second, "companion")
	assert.True(t, isHeld(tracker, 13*second, "bad", "another"), "the answer tells them apart")
	assert.False(t, isHeld(tracker, 13*second, "companion"))
}

// TestEquallyStrongSuspectsAreHeldTogether guards against a harmful part that is never held, since a part
// that comes with it was in flight at as many crashes, of which one is another.
func TestEquallyStrongSuspectsAreHeldTogether(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	crashWith(tracker, 9*second, "x", "bad")
	crashWith(tracker, 9500*time.Millisecond, "y", "companion")
	for number := range 6 {
		crashWith(tracker, time.Duration(10+number)*second, fmt.Sprint("w", number), "bad", "companion")
	}
	assert.True(t, isHeld(tracker, 16*second, "bad", "companion"))
	assert.False(t, isHeld(tracker, 16*second, "bad"))
	crashWith(tracker, 17*second, "z", "bad")
	assert.True(t, isHeld(tracker, 18*second, "bad"))
	assert.False(t, isHeld(tracker, 18*second, "companion"))
}

// TestTwoHarmfulPartsAreBothHeld guards against a harmful part that goes on while another one is held.
func TestTwoHarmfulPartsAreBothHeld(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 8 {
		part := []string{"bad", "worse"}[number%2]
		crashWith(tracker, 10*second+time.Duration(number)*300*time.Millisecond, fmt.Sprint("w", number), part)
	}
	assert.True(t, isHeld(tracker, 13*second, "bad"))
	assert.True(t, isHeld(tracker, 13*second, "worse"))
	assert.False(t, tracker.CheckRequest(100*second, requestWith(1, "bad", "worse")).TrialDue, "a trial would show nothing")
	assert.True(t, tracker.CheckRequest(100*second, requestWith(1, "bad")).TrialDue)
}

// TestRepeatedRequestHoldsNoPart guards against a hold of the parts of one harmful request, which is held
// by itself, also after it is released.
func TestRepeatedRequestHoldsNoPart(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 3 {
		at, worker := time.Duration(10+number)*second, fmt.Sprint("w", number)
		tracker.ObserveCrash(at, fingerprintFor(1), fleet.EngineID(worker))
		crashWith(tracker, at, worker, "topic")
	}
	assert.True(t, tracker.Check(13*second, fingerprintFor(1)).Quarantined)
	assert.False(t, isHeld(tracker, 13*second, "topic"))
	tracker.Release(14*second, fingerprintFor(1))
	assert.False(t, isHeld(tracker, 14*second, "topic"))
}

// TestAnsweredBystanderDoesntReleaseAPart guards against a harmful part that is forgotten since a request was
// held for the same crashes, and is answered.
func TestAnsweredBystanderDoesntReleaseAPart(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 4 {
		at, worker := time.Duration(10+number)*second, fmt.Sprint("w", number)
		crashWith(tracker, at, worker, "bad")
		if number < 3 {
			tracker.ObserveCrash(at, fingerprintFor(1), fleet.EngineID(worker))
		}
	}
	assert.True(t, tracker.Check(15*second, fingerprintFor(1)).Quarantined)
	assert.True(t, isHeld(tracker, 15*second, "bad"))
	tracker.ObserveAnswer(16*second, fingerprintFor(1))
	assert.True(t, isHeld(tracker, 16*second, "bad"))
}

// TestManyCrashesElsewhereRaiseTheBar guards against a hold of one of many rare parts that is in flight at
// some of many crashes by chance.
func TestManyCrashesElsewhereRaiseTheBar(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 60 {
		crashWith(tracker, 10*second+time.Duration(number)*300*time.Millisecond, fmt.Sprint("w", number), fmt.Sprint("part-", number%20))
	}
	assert.Empty(t, tracker.QuarantinedParts())
}

// TestPartIsHeldPerService guards against a hold at a service whose workers bear the part, and against many
// more crashes where they don't.
func TestPartIsHeldPerService(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	other := PartFingerprint("other", "bad")
	for number := range 3 {
		crashWith(tracker, time.Duration(10+number)*second, fmt.Sprint("w", number), "bad")
	}
	held := func() bool {
		return tracker.CheckRequest(20*second, &Subject{Parts: []Fingerprint{other}}).Quarantined
	}
	assert.False(t, held())
	tracker.ObserveCrash(20*second, other, "v0")
	assert.True(t, held(), "one crash is enough once it is held at another service")
	assert.True(t, other.IsPart())
	assert.False(t, fingerprintFor(1).IsPart())
}

// TestPartRecordsMergeInAnyOrder guards against nodes that disagree on a part since records reached them
// in another order, or more than once.
func TestPartRecordsMergeInAnyOrder(t *testing.T) {
	answer := func(node fleet.NodeID, sequence uint64) PartAnswer {
		return PartAnswer{Node: node, Sequence: sequence, At: 12 * second}
	}
	records := []Record{
		{Fingerprint: partOf("p"), Crashes: []Crash{crashAt("a", 10*second), crashAt("b", 11*second)}},
		{Fingerprint: partOf("p"), Crashes: []Crash{crashAt("c", 12*second)}, Answers: []PartAnswer{answer("n1", 1), answer("n1", 2)}},
		{Fingerprint: partOf("p"), Crashes: []Crash{crashAt("d", 13*second), crashAt("e", 14*second)}, Answers: []PartAnswer{answer("n1", 1), answer("n2", 1)}},
	}
	var verdicts []Verdict
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0, 1, 0, 2}} {
		tracker := NewTracker(Options{Node: "self"})
		for _, index := range order {
			tracker.Merge(14*second, &records[index])
		}
		verdicts = append(verdicts, tracker.Check(14*second, partOf("p")))
	}
	assert.True(t, verdicts[0].Quarantined)
	assert.Equal(t, verdicts[0], verdicts[1])
	assert.Equal(t, verdicts[0], verdicts[2])
}

// TestAnswersAtOtherNodesClearAPart guards against a part that is held although other nodes answer
// requests with it, and against nodes that tell each other of it endlessly.
func TestAnswersAtOtherNodesClearAPart(t *testing.T) {
	crashed, answered := NewTracker(Options{Node: "a"}), NewTracker(Options{Node: "b"})
	for range 12 {
		answerWith(answered, 9*second, "p")
	}
	for number := range 3 {
		crashWith(crashed, time.Duration(10+number)*500*time.Millisecond+4*second, fmt.Sprint("w", number), "p")
	}
	assert.True(t, isHeld(crashed, 10*second, "p"))
	told, _ := crashed.Record(partOf("p"))
	answered.Merge(10*second, &told)
	assert.False(t, isHeld(answered, 10*second, "p"))
	assert.True(t, answered.IsAheadOf(&told))
	reply, _ := answered.Record(partOf("p"))
	assert.True(t, crashed.Merge(10*second, &reply))
	assert.True(t, crashed.MustShareAnswers(&told))
	assert.False(t, isHeld(crashed, 10*second, "p"))
	again, _ := crashed.Record(partOf("p"))
	assert.False(t, answered.IsAheadOf(&again))
}

// TestStoredPartIsHeldAtOnce guards against parts that crash workers again after a restart of all nodes.
func TestStoredPartIsHeldAtOnce(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	for _, part := range []string{"bad", "worse"} {
		stored := tracker.StoredRecord(second, partOf(part), StoredCrashes{Workers: []fleet.EngineID{"shared", fleet.EngineID(part + "-1"), fleet.EngineID(part + "-2")}}, 1, true)
		tracker.Merge(second, &stored)
	}
	assert.True(t, isHeld(tracker, second, "bad"))
	assert.True(t, isHeld(tracker, second, "worse"), "although both were in flight at one crash")
	assert.False(t, tracker.Check(second, partOf("bad")).TrialDue)
}

// TestAnsweredTrialReleasesAPart guards against a part that stays held once workers bear it, and against
// more trials than a part may have.
func TestAnsweredTrialReleasesAPart(t *testing.T) {
	tracker := NewTracker(Options{Node: "a"})
	at := 10 * second
	for number := range 6 {
		crashWith(tracker, at+time.Duration(number)*second, fmt.Sprint("w", number), "bad")
	}
	at += 5 * second
	for trial := 1; trial <= DefaultMaxPartTrials; trial++ {
		assert.False(t, tracker.Check(at, partOf("bad")).TrialDue)
		at += DefaultPartTrialDelay * time.Duration(slices.Max([]int{1, (trial - 1) * DefaultPartTrialDelayFactor}))
		assert.True(t, tracker.Check(at, partOf("bad")).TrialDue, trial)
		tracker.BeginTrial(at, partOf("bad"), trial)
	}
	assert.False(t, tracker.Check(at+time.Hour, partOf("bad")).TrialDue)
	assert.True(t, isHeld(tracker, at+time.Hour, "bad"))
	answerWith(tracker, at, "bad")
	assert.True(t, isHeld(tracker, at, "bad"), "one answer doesn't outweigh six crashes")
	tracker.Release(at, partOf("bad"))
	assert.False(t, isHeld(tracker, at, "bad"))
	for number := range 4 {
		crashWith(tracker, at+time.Duration(number+1)*second, fmt.Sprint("v", number), "bad")
	}
	assert.True(t, isHeld(tracker, at+5*second, "bad"), "it crashes workers again")
}

// BenchmarkPartsOfACrash measures what one crash with twelve requests of three parts costs a node that
// knows as many records as it may.
func BenchmarkPartsOfACrash(b *testing.B) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range DefaultMaxRecords {
		crashWith(tracker, 0, "w", fmt.Sprint("old-", number))
	}
	number := 0
	for b.Loop() {
		number++
		at := time.Duration(number) * second
		for run := range 12 {
			crashWith(tracker, at, fmt.Sprint("w", number), "everybody's", fmt.Sprint("topic-", run), fmt.Sprint("session-", number, run))
			tracker.CheckRequest(at, requestWith(run, "everybody's", fmt.Sprint("topic-", run)))
		}
		answerWith(tracker, at, "everybody's")
	}
}

// BenchmarkCheckRequest checks a request with four parts while two parts are held.
func BenchmarkCheckRequest(b *testing.B) {
	tracker := NewTracker(Options{Node: "a"})
	for number := range 8 {
		crashWith(tracker, time.Duration(number)*second, fmt.Sprint("w", number), []string{"bad", "worse"}[number%2])
	}
	subject := requestWith(1, "everybody's", "topic", "session", "turn")
	for b.Loop() {
		tracker.CheckRequest(10*second, subject)
	}
}

// BenchmarkPartFingerprint is of one part; a request has a few.
func BenchmarkPartFingerprint(b *testing.B) {
	for b.Loop() {
		PartFingerprint("service", "5c1e07a2")
	}
}
