package delivery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// judgingMethod is a way to judge: it takes answers of the target and tells whether they
// condemn it.
type judgingMethod interface {
	rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool
}

// pooledCUSUM is the way of package judge: one CUSUM with each worker's part limited.
type pooledCUSUM struct{ scores scores }

func (p *pooledCUSUM) rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool {
	for index, hypothesis := range hypotheses {
		p.scores[index].add(worker, hypothesis.ratio(normal, bad, good), maxWorkerFraction*rejectScore)
	}
	return p.scores.strongest().value >= rejectScore
}

// perWorkerCUSUM is the way of a CUSUM for each worker, limited, and added up.
type perWorkerCUSUM struct{ workers map[fleet.EngineID]float64 }

func (s *perWorkerCUSUM) rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool {
	s.workers[worker] = min(maxWorkerFraction*rejectScore, max(0, s.workers[worker]+hypotheses[0].ratio(normal, bad, good)))
	sum := 0.0
	for _, value := range s.workers {
		sum += value
	}
	return sum >= rejectScore
}

// windowedRatio is the way of a likelihood ratio over the last answers, by worker
// limited, of windows of three lengths.
type windowedRatio struct{ answers []windowedAnswer }

type windowedAnswer struct {
	worker fleet.EngineID
	ratio  float64
}

func (w *windowedRatio) rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool {
	w.answers = append(w.answers, windowedAnswer{worker, hypotheses[0].ratio(normal, bad, good)})
	for _, size := range []int{30, 100, 1000} {
		parts := map[fleet.EngineID]float64{}
		for _, answer := range w.answers[max(0, len(w.answers)-size):] {
			parts[answer.worker] += answer.ratio
		}
		sum := 0.0
		for _, part := range parts {
			sum += min(part, maxWorkerFraction*rejectScore)
		}
		if sum >= rejectScore {
			return true
		}
	}
	return false
}

var judgingMethods = []struct {
	name string
	make func() judgingMethod
}{
	{"pooled sum", func() judgingMethod { return &pooledCUSUM{scores: newScores()} }},
	{"sum of sums", func() judgingMethod { return &perWorkerCUSUM{workers: map[fleet.EngineID]float64{}} }},
	{"windowed ratio", func() judgingMethod { return &windowedRatio{} }},
}

// answerStream is a stream of answers: normal is both sides' rate of failures, harm what the target spoils
// besides, grey the failure rate of one of the target's three workers.
type answerStream struct {
	normal, effect, greyRate float64
}

// play plays a stream and returns the numbers of the target's answers and bad ones at
// the verdict, or false if there is none within limit answers.
func (c answerStream) play(way judgingMethod, seed uint64, limit int) (answers, bad int, condemned bool) {
	random := rand.New(rand.NewPCG(seed, 4))
	var old baseline
	for answers = 1; answers <= limit; answers++ {
		delta := Counts{Answers: 20}
		for range delta.Answers {
			if random.Float64() < c.normal {
				delta.Failures++
			}
		}
		old.add(&delta)
		worker := fleet.EngineID([]string{"x", "y", "z"}[random.IntN(3)])
		failed := random.Float64() < c.normal || random.Float64() < c.effect
		failed = failed || worker == "x" && random.Float64() < c.greyRate
		var failures uint64
		if failed {
			failures = 1
			bad++
		}
		if way.rejects(worker, old.badRate(LatencyBuckets), failures, 1-failures) {
			return answers, bad, true
		}
	}
	return limit, bad, false
}

// TestVerdictErrorRates checks what is said of the test's errors: of good versions at
// most 1 in 100 is condemned within 1,000 answers, also beside a grey worker of the
// target (3 in 100 where 0.14 of the answers fail anyway), and of those that spoil 0.2 of the answers at least 99 in 100 are condemned
// within 300, or within 1,000 where 0.14 fail anyway.
func TestVerdictErrorRates(t *testing.T) {
	seeds := seedCount(1000)
	for _, normal := range []float64{0, 0.02, 0.14} {
		for _, grey := range []float64{0, 0.4} {
			wrong := 0
			for seed := range seeds {
				if _, _, condemned := (answerStream{normal: normal, greyRate: grey}).play(judgingMethods[0].make(), uint64(seed), 1000); condemned {
					wrong++
				}
			}
			t.Logf("normal %.2f grey %.1f: %d of %d good versions condemned", normal, grey, wrong, seeds)
			allowed := 1
			if normal > 0.1 && grey > 0 {
				allowed = 3
			}
			require.LessOrEqual(t, wrong*100, allowed*seeds, "normal %.2f grey %.1f", normal, grey)
		}
		limit := 300
		if normal > 0.1 {
			limit = 1000
		}
		missed := 0
		for seed := range seeds {
			if _, _, condemned := (answerStream{normal: normal, effect: 0.2}).play(judgingMethods[0].make(), uint64(seed), limit); !condemned {
				missed++
			}
		}
		t.Logf("normal %.2f: %d of %d bad versions missed within %d answers", normal, missed, seeds, limit)
		require.LessOrEqual(t, missed*100, seeds, "normal %.2f", normal)
	}
}

// TestCompareJudgingMethods prints the ways on the same seeds; the pooled sum must not be wrong more
// often than the others that find bad versions as soon.
func TestCompareJudgingMethods(t *testing.T) {
	seeds := seedCount(50)
	for _, way := range judgingMethods {
		line := way.name + ":"
		for _, good := range []answerStream{{}, {normal: 0.02}, {normal: 0.14}, {greyRate: 0.4}, {normal: 0.14, greyRate: 0.4}} {
			wrong := 0
			for seed := range seeds {
				if _, _, condemned := good.play(way.make(), uint64(seed), 1000); condemned {
					wrong++
				}
			}
			line += fmt.Sprintf(" wrong at %.2f/%.1f %d,", good.normal, good.greyRate, wrong)
		}
		for _, spoiled := range []answerStream{{effect: 0.05}, {effect: 0.2}, {effect: 1}, {normal: 0.14, effect: 0.2}, {normal: 0.14, effect: 0.5}} {
			var numbers []int
			for seed := range seeds {
				_, bad, _ := spoiled.play(way.make(), uint64(seed), 1000)
				numbers = append(numbers, bad)
			}
			slices.Sort(numbers)
			line += fmt.Sprintf(" bad at %.2f+%.2f %d/%d,", spoiled.normal, spoiled.effect, numbers[len(numbers)/2], numbers[len(numbers)*95/100])
		}
		t.Log(line)
	}
}

func TestLatencyBuckets(t *testing.T) {
	for _, c := range []struct {
		took, predicted time.Duration
		bucket          int
	}{
		{0, 0, 0},
		{2 * time.Millisecond, 0, 0},
		{4 * time.Millisecond, 0, 2},
		{time.Hour, 0, LatencyBuckets - 1},
		{250 * time.Millisecond, time.Second, 0},
		{time.Second, time.Second, 4},
		{8 * time.Second, time.Second, 10},
	} {
		require.Equal(t, c.bucket, latencyBucket(&Outcome{TimeToFirstByte: c.took, Predicted: c.predicted}), "%s of %s", c.took, c.predicted)
	}
}

func TestCountsSince(t *testing.T) {
	before := Counts{Answers: 5, Failures: 1}
	before.Latency[3] = 4
	after := Counts{Answers: 8, Failures: 2}
	after.Latency[3] = 6
	delta := after.since(&before)
	require.Equal(t, uint64(3), delta.Answers)
	require.Equal(t, uint64(1), delta.Failures)
	require.Equal(t, uint32(2), delta.Latency[3])
	require.Equal(t, before, before.since(&after), "a node that restarted counts from zero")
	require.Equal(t, after, after.since(nil))
}

// A baseline follows a wave of failures within its recent answers, and forgets it later.
func TestBaselineFollowsFailureRate(t *testing.T) {
	var old baseline
	old.add(&Counts{Answers: 2000})
	require.Less(t, old.badRate(LatencyBuckets), 0.01)
	old.add(&Counts{Answers: 200, Failures: 100})
	require.Greater(t, old.badRate(LatencyBuckets), 0.2)
	old.add(&Counts{Answers: 600, Failures: 300})
	require.Greater(t, old.badRate(LatencyBuckets), 0.4)
	old.add(&Counts{Answers: 20000})
	require.Less(t, old.badRate(LatencyBuckets), 0.06)
}

// A few slow first answers of an engine with an empty cache say nothing.
func TestSlowColdAnswersAreIgnored(t *testing.T) {
	old := Counts{Answers: 200}
	old.Latency[4] = 200
	slow := func(bucket int) Counts {
		delta := Counts{Answers: 1}
		delta.Latency[bucket] = 1
		return delta
	}
	for bucket, condemned := range map[int]bool{4: false, 7: false, 8: false, 10: true} {
		judge := newJudge()
		judge.observeOld(testRoute, &old)
		for index := range 30 {
			delta := slow(bucket)
			judge.observeNew(conditions{}, testRoute, fleet.EngineID([]string{"x", "y", "z"}[index%3]), &delta)
		}
		require.Equal(t, condemned, judge.rejectsTarget(), "cold, bucket %d", bucket)
		for index := range 60 {
			delta := slow(bucket)
			judge.observeNew(conditions{now: time.Minute}, testRoute, fleet.EngineID([]string{"x", "y", "z"}[index%3]), &delta)
		}
		require.Equal(t, bucket >= 7, judge.rejectsTarget(), "warm, bucket %d", bucket)
	}
}

// A fault of one route is found although the others are good, and one of all routes
// although no route shows it often.
func TestRoutesAreJudgedSeparatelyAndTogether(t *testing.T) {
	judge := newJudge()
	for index := range 40 {
		for _, route := range []RouteName{"a", "b", "c"} {
			judge.observeOld(route, &Counts{Answers: 20})
			judge.observeNew(conditions{}, route, fleet.EngineID([]string{"x", "y"}[index%2]), &Counts{Answers: 1, Failures: boolCount(route == "c" && index%2 == index%4)})
		}
	}
	_, route := judge.strongest()
	require.True(t, judge.rejectsTarget())
	require.Equal(t, RouteName("c"), route)
	together := newJudge()
	for index := range 6 {
		route := RouteName(fmt.Sprint(index))
		together.observeOld(route, &Counts{Answers: 100})
		together.observeNew(conditions{}, route, fleet.EngineID([]string{"x", "y"}[index%2]), &Counts{Answers: 1, Failures: 1})
	}
	_, route = together.strongest()
	require.True(t, together.rejectsTarget())
	require.Empty(t, route)
}

func boolCount(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}

// In a surge the failures, which are answered sooner, come first: twice as many as normal
// say nothing then.
func TestSurgeToleratesEarlyFailures(t *testing.T) {
	for _, surging := range []bool{true, false} {
		judge := newJudge()
		judge.observeOld(testRoute, &Counts{Answers: 2000, Failures: 280})
		for index := range 90 {
			delta := Counts{Answers: 10, Failures: 3}
			judge.observeNew(conditions{now: time.Minute, surging: surging}, testRoute, fleet.EngineID(fmt.Sprint(index%30)), &delta)
		}
		require.Equal(t, !surging, judge.rejectsTarget(), "surging %t", surging)
	}
}
