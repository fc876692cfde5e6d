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

// judgingMethod processes responses of the target and reports whether they reject it.
type judgingMethod interface {
	rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool
}

// pooledCUSUM is the method of judge: one CUSUM with limited contributions of the workers.
type pooledCUSUM struct{ scores scores }

func (p *pooledCUSUM) rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool {
	for index, hypothesis := range hypotheses {
		p.scores[index].add(worker, hypothesis.ratio(normal, bad, good), maxWorkerFraction*rejectScore)
	}
	return p.scores.strongest().value >= rejectScore
}

// perWorkerCUSUM adds up a limited CUSUM for each worker.
type perWorkerCUSUM struct{ workers map[fleet.EngineID]float64 }

func (s *perWorkerCUSUM) rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool {
	s.workers[worker] = min(maxWorkerFraction*rejectScore, max(0, s.workers[worker]+hypotheses[0].ratio(normal, bad, good)))
	sum := 0.0
	for _, value := range s.workers {
		sum += value
	}
	return sum >= rejectScore
}

// windowedRatio uses likelihood ratios over windows of three lengths with limited contributions of
// the workers.
type windowedRatio struct{ responses []windowedResponse }

type windowedResponse struct {
	worker fleet.EngineID
	ratio  float64
}

func (w *windowedRatio) rejects(worker fleet.EngineID, normal float64, bad, good uint64) bool {
	w.responses = append(w.responses, windowedResponse{worker, hypotheses[0].ratio(normal, bad, good)})
	for _, size := range []int{30, 100, 1000} {
		parts := map[fleet.EngineID]float64{}
		for _, response := range w.responses[max(0, len(w.responses)-size):] {
			parts[response.worker] += response.ratio
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
	{"pooled CUSUM", func() judgingMethod { return &pooledCUSUM{scores: newScores()} }},
	{"CUSUM per worker", func() judgingMethod { return &perWorkerCUSUM{workers: map[fleet.EngineID]float64{}} }},
	{"windowed ratio", func() judgingMethod { return &windowedRatio{} }},
}

// responseStream generates responses. normal is the failure rate of both versions, effect the
// additional failure rate of the target, and partialFailureRate that of one of the target's three
// workers.
type responseStream struct {
	normal, effect, partialFailureRate float64
}

// feed feeds a stream to a method. It returns the number of the target's responses and of the bad
// ones among them until the rejection, or false if there is none within limit responses.
func (s responseStream) feed(method judgingMethod, seed uint64, limit int) (responses, bad int, rejected bool) {
	random := rand.New(rand.NewPCG(seed, 4))
	var old baseline
	for responses = 1; responses <= limit; responses++ {
		delta := Counts{Responses: 20}
		for range delta.Responses {
			if random.Float64() < s.normal {
				delta.Failures++
			}
		}
		old.add(&delta)
		worker := fleet.EngineID([]string{"x", "y", "z"}[random.IntN(3)])
		failed := random.Float64() < s.normal || random.Float64() < s.effect
		failed = failed || worker == "x" && random.Float64() < s.partialFailureRate
		var failures uint64
		if failed {
			failures = 1
			bad++
		}
		if method.rejects(worker, old.badRate(LatencyBuckets), failures, 1-failures) {
			return responses, bad, true
		}
	}
	return limit, bad, false
}

// TestVerdictErrorRates guards against error rates of the sequential test above its limits: wrong
// rejections of good versions, also beside a partially failing worker, and missed bad versions.
func TestVerdictErrorRates(t *testing.T) {
	seeds := seedCount(1000)
	for _, normal := range []float64{0, 0.02, 0.14} {
		for _, partial := range []float64{0, 0.4} {
			wrong := 0
			for seed := range seeds {
				if _, _, rejected := (responseStream{normal: normal, partialFailureRate: partial}).feed(judgingMethods[0].make(), uint64(seed), 1000); rejected {
					wrong++
				}
			}
			t.Logf("normal %.2f partial %.1f: %d of %d good versions rejected", normal, partial, wrong, seeds)
			allowed := 1
			if normal > 0.1 && partial > 0 {
				allowed = 3
			}
			require.LessOrEqual(t, wrong*100, allowed*seeds, "normal %.2f partial %.1f", normal, partial)
		}
		limit := 300
		if normal > 0.1 {
			limit = 1000
		}
		missed := 0
		for seed := range seeds {
			if _, _, rejected := (responseStream{normal: normal, effect: 0.2}).feed(judgingMethods[0].make(), uint64(seed), limit); !rejected {
				missed++
			}
		}
		t.Logf("normal %.2f: %d of %d bad versions missed within %d responses", normal, missed, seeds, limit)
		require.LessOrEqual(t, missed*100, seeds, "normal %.2f", normal)
	}
}

// TestCompareJudgingMethods logs the error rates of the methods on the same seeds.
func TestCompareJudgingMethods(t *testing.T) {
	seeds := seedCount(50)
	for _, method := range judgingMethods {
		line := method.name + ":"
		for _, goodStream := range []responseStream{{}, {normal: 0.02}, {normal: 0.14}, {partialFailureRate: 0.4}, {normal: 0.14, partialFailureRate: 0.4}} {
			wrong := 0
			for seed := range seeds {
				if _, _, rejected := goodStream.feed(method.make(), uint64(seed), 1000); rejected {
					wrong++
				}
			}
			line += fmt.Sprintf(" wrong at %.2f/%.1f %d,", goodStream.normal, goodStream.partialFailureRate, wrong)
		}
		for _, badStream := range []responseStream{{effect: 0.05}, {effect: 0.2}, {effect: 1}, {normal: 0.14, effect: 0.2}, {normal: 0.14, effect: 0.5}} {
			var numbers []int
			for seed := range seeds {
				_, bad, _ := badStream.feed(method.make(), uint64(seed), 1000)
				numbers = append(numbers, bad)
			}
			slices.Sort(numbers)
			line += fmt.Sprintf(" bad at %.2f+%.2f %d/%d,", badStream.normal, badStream.effect, numbers[len(numbers)/2], numbers[len(numbers)*95/100])
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

func TestCountsOfRestartedNodeAreAllNew(t *testing.T) {
	before := Counts{Responses: 5, Failures: 1}
	before.Latency[3] = 4
	after := Counts{Responses: 8, Failures: 2}
	after.Latency[3] = 6
	delta := after.since(&before)
	require.Equal(t, uint64(3), delta.Responses)
	require.Equal(t, uint64(1), delta.Failures)
	require.Equal(t, uint32(2), delta.Latency[3])
	require.Equal(t, before, before.since(&after), "counts of a restarted node are all new")
	require.Equal(t, after, after.since(nil))
}

// TestBaselineFollowsFailureRate guards against a baseline that doesn't follow a burst of failures
// or doesn't forget it.
func TestBaselineFollowsFailureRate(t *testing.T) {
	var old baseline
	old.add(&Counts{Responses: 2000})
	require.Less(t, old.badRate(LatencyBuckets), 0.01)
	old.add(&Counts{Responses: 200, Failures: 100})
	require.Greater(t, old.badRate(LatencyBuckets), 0.2)
	old.add(&Counts{Responses: 600, Failures: 300})
	require.Greater(t, old.badRate(LatencyBuckets), 0.4)
	old.add(&Counts{Responses: 20000})
	require.Less(t, old.badRate(LatencyBuckets), 0.06)
}

// TestSlowColdResponsesAreIgnored guards against rejecting a version because its engines start with
// an empty cache.
func TestSlowColdResponsesAreIgnored(t *testing.T) {
	old := Counts{Responses: 200}
	old.Latency[4] = 200
	slow := func(bucket int) Counts {
		delta := Counts{Responses: 1}
		delta.Latency[bucket] = 1
		return delta
	}
	for bucket, rejected := range map[int]bool{4: false, 7: false, 8: false, 10: true} {
		judge := newJudge()
		judge.observeOld(testRoute, &old)
		for index := range 30 {
			delta := slow(bucket)
			judge.observeNew(conditions{}, testRoute, fleet.EngineID([]string{"x", "y", "z"}[index%3]), &delta)
		}
		require.Equal(t, rejected, judge.rejectsTarget(), "cold, bucket %d", bucket)
		for index := range 60 {
			delta := slow(bucket)
			judge.observeNew(conditions{now: time.Minute}, testRoute, fleet.EngineID([]string{"x", "y", "z"}[index%3]), &delta)
		}
		require.Equal(t, bucket >= 7, judge.rejectsTarget(), "warm, bucket %d", bucket)
	}
}

// TestRoutesAreJudgedSeparatelyAndTogether guards against missing a fault of a single route, and
// one of all routes that no single route shows often enough.
func TestRoutesAreJudgedSeparatelyAndTogether(t *testing.T) {
	judge := newJudge()
	for index := range 40 {
		for _, route := range []RouteName{"a", "b", "c"} {
			judge.observeOld(route, &Counts{Responses: 20})
			judge.observeNew(conditions{}, route, fleet.EngineID([]string{"x", "y"}[index%2]), &Counts{Responses: 1, Failures: boolCount(route == "c" && index%2 == index%4)})
		}
	}
	_, route := judge.strongest()
	require.True(t, judge.rejectsTarget())
	require.Equal(t, RouteName("c"), route)
	together := newJudge()
	for index := range 6 {
		route := RouteName(fmt.Sprint(index))
		together.observeOld(route, &Counts{Responses: 100})
		together.observeNew(conditions{}, route, fleet.EngineID([]string{"x", "y"}[index%2]), &Counts{Responses: 1, Failures: 1})
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

// TestSurgeToleratesEarlyFailures guards against a rejection because failures, which are faster,
// arrive first in a surge.
func TestSurgeToleratesEarlyFailures(t *testing.T) {
	for _, surging := range []bool{true, false} {
		judge := newJudge()
		judge.observeOld(testRoute, &Counts{Responses: 2000, Failures: 280})
		for index := range 90 {
			delta := Counts{Responses: 10, Failures: 3}
			judge.observeNew(conditions{now: time.Minute, surging: surging}, testRoute, fleet.EngineID(fmt.Sprint(index%30)), &delta)
		}
		require.Equal(t, !surging, judge.rejectsTarget(), "surging %t", surging)
	}
}
