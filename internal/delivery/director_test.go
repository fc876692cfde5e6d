package delivery

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

var errStoreDown = errors.New("store is down")

func newTestDirector() *Director {
	return NewDirector(Options{Self: "node-0", ExposureShare: 0.1, ExposureSlack: 50, RollbackWithin: 5 * time.Second})
}

func newTestDelivery(t *testing.T) *Director {
	t.Helper()
	director := newTestDirector()
	require.NoError(t, director.SetOrder(0, 0, testOrder()))
	return director
}

// testObservation returns an observation with workers of both versions and 12 slots each.
func testObservation(old, target int) Observation {
	observation := Observation{Service: simService, Configured: true}
	for index := range old {
		observation.Workers = append(observation.Workers, Worker{ID: fleet.EngineID(fmt.Sprint("old-", index)), Version: simOld, Slots: 12, InFlight: 1})
	}
	for index := range target {
		observation.Workers = append(observation.Workers, Worker{ID: fleet.EngineID(fmt.Sprint("new-", index)), Version: simNew, Slots: 12})
	}
	return observation
}

// testEvidence returns cumulative evidence for one route with two canaries.
func testEvidence(old, target, bad uint64) Evidence {
	return Evidence{
		Service: simService, Revision: 7,
		Old: map[RouteName]*Counts{testRoute: {Responses: old}},
		New: map[RouteName]map[fleet.EngineID]*Counts{testRoute: {
			"new-0": {Responses: target / 2, Failures: bad / 2},
			"new-1": {Responses: target / 2, Failures: bad / 2},
		}},
	}
}

// rejectTarget reports bad responses until the director decides on a rollback.
func rejectTarget(t *testing.T, director *Director) *Record {
	t.Helper()
	director.Observe(time.Second, "node-1", testEvidence(1000, 40, 40))
	decision := director.Evaluate(time.Second, testObservation(4, 4))
	require.NotNil(t, decision.Write)
	require.Equal(t, StageRolledBack, decision.Write.Stage)
	return decision.Write
}

func TestInvalidOrderIsRejected(t *testing.T) {
	director := newTestDelivery(t)
	require.Error(t, director.SetOrder(0, 0, Order{Service: simService, Target: "x", Revision: 9}))
	require.Equal(t, simNew, director.Evaluate(0, testObservation(2, 2)).Directive.Target, "the previous order still applies")
}

func TestUnknownServiceIsReportedOnce(t *testing.T) {
	director := newTestDelivery(t)
	unknown := Observation{Service: simService}
	decision := director.Evaluate(0, unknown)
	require.Equal(t, EventRefused, decision.Event.Name)
	require.Equal(t, ReasonUnknownService, decision.Event.Reason)
	require.Nil(t, decision.Directive)
	require.Nil(t, decision.Write)
	require.Empty(t, director.Evaluate(0, unknown).Event.Name)
	require.Equal(t, Decision{}, director.Evaluate(0, Observation{Service: "other", Configured: true}))
}

func TestStartIsRecordedOnceAndRetried(t *testing.T) {
	director := newTestDirector()
	director.Restore(0, nil, time.Minute)
	require.NoError(t, director.SetOrder(time.Second, 0, testOrder()))
	decision := director.Evaluate(time.Second, testObservation(4, 4))
	require.Equal(t, EventStarted, decision.Event.Name)
	require.Equal(t, Record{Order: testOrder(), StartedAt: -time.Minute, Stage: StageCanary}, *decision.Write)
	require.Nil(t, director.Evaluate(time.Second, testObservation(4, 4)).Write, "only one write is in flight")
	director.HandleWriteResult(time.Second, simService, *decision.Write, nil, errStoreDown)
	require.Nil(t, director.Evaluate(time.Second, testObservation(4, 4)).Write)
	require.NotNil(t, director.Evaluate(time.Second+writeRetryInterval, testObservation(4, 4)).Write)
	director.HandleWriteResult(time.Second, simService, *decision.Write, nil, nil)
	require.Nil(t, director.Evaluate(time.Minute, testObservation(4, 4)).Write)
}

func TestVerdictStopsCanaryTrafficBeforeItIsStored(t *testing.T) {
	director := newTestDelivery(t)
	director.Evaluate(0, testObservation(4, 4))
	write := rejectTarget(t, director)
	require.Contains(t, write.Rejected, simNew)
	directive := director.Evaluate(1100*time.Millisecond, testObservation(4, 4)).Directive
	require.Equal(t, StageCanary, directive.Stage)
	require.Zero(t, directive.DefaultShare)
	require.Empty(t, directive.Shares)
	director.HandleWriteResult(2*time.Second, simService, *write, nil, nil)
	decision := director.Evaluate(3*time.Second, testObservation(4, 4))
	require.Equal(t, StageRolledBack, decision.Directive.Stage)
	require.Equal(t, 2*time.Second, decision.Directive.IssuedAt)
	require.Equal(t, EventRolledBack, decision.Event.Name)
	require.Equal(t, ReasonBadResponses, decision.Event.Reason)
	require.Empty(t, director.Evaluate(3*time.Second, testObservation(4, 4)).Event.Name)
}

func TestStoredFinalRecordWins(t *testing.T) {
	director := newTestDelivery(t)
	write := rejectTarget(t, director)
	found := Record{Order: testOrder(), Stage: StageCompleted}
	director.HandleWriteResult(time.Second, simService, *write, &found, errStoreDown)
	require.Equal(t, StageCompleted, director.Evaluate(time.Second, testObservation(4, 4)).Directive.Stage)
	director.HandleWriteResult(time.Second, simService, *write, nil, nil)
	require.Equal(t, StageCompleted, director.Evaluate(time.Second, testObservation(4, 4)).Directive.Stage, "a late write result changes nothing")
}

func TestStoredRunningRecordSetsTheStartTime(t *testing.T) {
	director := newTestDirector()
	require.NoError(t, director.SetOrder(5*time.Second, 5*time.Second, testOrder()))
	write := director.Evaluate(5*time.Second, testObservation(4, 4)).Write
	director.HandleWriteResult(5*time.Second, simService, *write, &Record{Order: testOrder(), StartedAt: 3 * time.Second, Stage: StageCanary}, nil)
	event := director.services[simService].newEvent(5*time.Second, "", "")
	require.Equal(t, 2*time.Second, event.Elapsed)
	require.Equal(t, 10*time.Second, event.Remaining)
}

func TestStoredNewerRecordReplacesTheOrder(t *testing.T) {
	director := newTestDelivery(t)
	write := director.Evaluate(0, testObservation(4, 4)).Write
	newer := Order{Service: simService, Target: "third", Duration: 9 * time.Second, Revision: 8}
	director.HandleWriteResult(0, simService, *write, &Record{Order: newer, Stage: StageCanary, Rejected: []fleet.SoftwareVersion{simNew}}, errStoreDown)
	directive := director.Evaluate(0, testObservation(4, 4)).Directive
	require.EqualValues(t, "third", directive.Target)
	require.Contains(t, directive.Rejected, simNew)
}

// TestStoredOlderCompletionUnrejectsItsTarget guards against rejecting the old version after
// another director has completed the previous order with it.
func TestStoredOlderCompletionUnrejectsItsTarget(t *testing.T) {
	director := newTestDelivery(t)
	next := Order{Service: simService, Target: "third", Duration: 9 * time.Second, Revision: 8}
	require.NoError(t, director.SetOrder(time.Second, time.Second, next))
	decision := director.Evaluate(time.Second, testObservation(4, 4))
	require.Contains(t, decision.Directive.Rejected, simNew)
	found := Record{Order: testOrder(), Stage: StageCompleted, Rejected: []fleet.SoftwareVersion{"zero"}}
	director.HandleWriteResult(time.Second, simService, *decision.Write, &found, errStoreDown)
	directive := director.Evaluate(time.Second, testObservation(4, 4)).Directive
	require.Equal(t, []fleet.SoftwareVersion{"zero"}, directive.Rejected)
}

func TestRestoreKeepsFinalStageAndNewerOrder(t *testing.T) {
	director := newTestDirector()
	director.Restore(time.Hour, []Record{{Order: testOrder(), Stage: StageCompleted}}, 0)
	directive := director.Evaluate(time.Hour, testObservation(0, 4)).Directive
	require.Equal(t, StageCompleted, directive.Stage)
	require.Equal(t, 12*time.Second, directive.IssuedAt, "the completion is not recent")
	require.NoError(t, director.SetOrder(time.Hour, time.Hour, testOrder()))
	require.Equal(t, StageCompleted, director.Evaluate(time.Hour, testObservation(0, 4)).Directive.Stage, "the same order changes nothing")
	// A newer order takes precedence over an older record.
	next := Order{Service: simService, Target: "third", Duration: 9 * time.Second, Revision: 8}
	require.NoError(t, director.SetOrder(time.Hour, time.Hour, next))
	director.Restore(time.Hour, []Record{{Order: testOrder(), Stage: StageRolledBack}}, 0)
	directive = director.Evaluate(time.Hour, testObservation(4, 4)).Directive
	require.EqualValues(t, "third", directive.Target)
	require.Contains(t, directive.Rejected, simNew)
}

func TestSequenceGrowsAcrossDirectors(t *testing.T) {
	first := newTestDirector()
	first.Restore(0, nil, time.Second)
	require.NoError(t, first.SetOrder(2*time.Second, 2*time.Second, testOrder()))
	before := first.Evaluate(2*time.Second, testObservation(4, 4)).Directive.Sequence
	second := newTestDirector()
	// The second node's clock is far behind the first one's.
	second.Restore(0, []Record{{Order: testOrder(), StartedAt: time.Second, Stage: StageCanary}}, -9*time.Second)
	require.Greater(t, second.Evaluate(0, testObservation(4, 4)).Directive.Sequence, before)
}

func TestRejectedTargetIsRolledBackAtOnce(t *testing.T) {
	director := newTestDirector()
	director.Restore(0, []Record{{Order: testOrder(), Stage: StageRolledBack, Rejected: []fleet.SoftwareVersion{simNew}}}, 0)
	again := testOrder()
	again.Revision = 8
	require.NoError(t, director.SetOrder(time.Second, time.Second, again))
	decision := director.Evaluate(time.Second, testObservation(4, 4))
	require.Equal(t, StageRolledBack, decision.Write.Stage)
	require.Equal(t, ReasonPreviouslyRejected, decision.Write.Reason)
	require.Zero(t, decision.Directive.DefaultShare)
}

// TestDeliveryCompletesWithoutOldWorkers guards against a delivery that never ends when there is no
// old worker to compare with.
func TestDeliveryCompletesWithoutOldWorkers(t *testing.T) {
	director := newTestDelivery(t)
	start := time.Second
	require.Equal(t, StageCanary, director.Evaluate(start, testObservation(0, 4)).Write.Stage)
	require.Nil(t, director.Evaluate(start+targetOnlyDelay-1, testObservation(0, 4)).Write)
	decision := director.Evaluate(start+targetOnlyDelay, testObservation(0, 4))
	require.NotNil(t, decision.Write)
	require.Equal(t, StageCompleted, decision.Write.Stage)
	require.Equal(t, ReasonNoOldWorkers, decision.Write.Reason)
}

func TestSilentNodesAreDetected(t *testing.T) {
	meter := newMeter(0)
	require.True(t, meter.isMissingReports(0))
	judge := newJudge()
	for node := range 4 {
		meter.observe(conditions{now: time.Second}, fleet.NodeID(fmt.Sprint(node)), Evidence{}, judge)
	}
	require.False(t, meter.isMissingReports(2*time.Second))
	require.True(t, meter.isMissingReports(3*time.Second))
	meter.observe(conditions{now: 20 * time.Second}, "0", Evidence{}, judge)
	require.False(t, meter.isMissingReports(20*time.Second), "nodes silent for longer than nodeRetention are ignored")
}

// benchmarkEvidence returns a node's evidence for 3 routes and 60 workers of the target.
func benchmarkEvidence(responses uint64) Evidence {
	evidence := Evidence{Service: simService, Revision: 7, Old: map[RouteName]*Counts{}, New: map[RouteName]map[fleet.EngineID]*Counts{}}
	for _, route := range []RouteName{"a", "b", "c"} {
		evidence.Old[route] = &Counts{Responses: 20 * responses}
		evidence.New[route] = map[fleet.EngineID]*Counts{}
		for index := range 60 {
			evidence.New[route][fleet.EngineID(fmt.Sprint("new-", index))] = &Counts{Responses: responses}
		}
	}
	return evidence
}

// BenchmarkDirectorEvaluate measures an evaluation of 120 workers with evidence from 20 nodes.
func BenchmarkDirectorEvaluate(b *testing.B) {
	director := newTestDirector()
	order := testOrder()
	order.Duration = time.Hour
	require.NoError(b, director.SetOrder(0, 0, order))
	for node := range 20 {
		director.Observe(0, fleet.NodeID(fmt.Sprint(node)), benchmarkEvidence(10))
	}
	observation := testObservation(60, 60)
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += EvaluationInterval
		if now > time.Minute {
			now = EvaluationInterval
		}
		director.Evaluate(now, observation)
	}
}

// BenchmarkDirectorObserve measures adding one node's evidence for 3 routes and 60 workers.
func BenchmarkDirectorObserve(b *testing.B) {
	director := newTestDirector()
	require.NoError(b, director.SetOrder(0, 0, testOrder()))
	b.ReportAllocs()
	responses := uint64(0)
	// The director keeps a reference to the last evidence.
	buffers := []Evidence{benchmarkEvidence(0), benchmarkEvidence(0)}
	for b.Loop() {
		responses++
		evidence := buffers[responses%2]
		for _, route := range []RouteName{"a", "b", "c"} {
			*evidence.Old[route] = Counts{Responses: responses}
			for _, counts := range evidence.New[route] {
				*counts = Counts{Responses: responses}
			}
		}
		director.Observe(0, "node", evidence)
	}
}

// BenchmarkFollowerFilter measures the cost per request during a delivery.
func BenchmarkFollowerFilter(b *testing.B) {
	follower := NewFollower(Options{})
	follower.ApplyDirective(0, canaryDirective(0))
	b.ReportAllocs()
	random := 0.0
	for b.Loop() {
		random += 0.001
		if random >= 1 {
			random = 0
		}
		follower.Filter(0, simService, testRoute, random, false)
	}
}

// BenchmarkFollowerRecordOutcome measures the cost per response during a delivery.
func BenchmarkFollowerRecordOutcome(b *testing.B) {
	follower := NewFollower(Options{})
	follower.ApplyDirective(0, canaryDirective(0))
	outcome := Outcome{Service: simService, Route: testRoute, Worker: "new-0", Version: simNew, TimeToFirstByte: time.Second, Predicted: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		follower.RecordOutcome(0, outcome)
	}
}

// TestPausedDirectorRevokesTheShift guards against decisions on stale evidence after the director
// was suspended during a shift, by when all nodes have returned to the old workers.
func TestPausedDirectorRevokesTheShift(t *testing.T) {
	director := newTestDelivery(t)
	now := time.Duration(0)
	responses := uint64(0)
	evaluate := func() Decision {
		responses += 10
		director.Observe(now, "node-1", testEvidence(10*responses, responses, 0))
		return director.Evaluate(now, testObservation(4, 4))
	}
	for ; now < 11700*time.Millisecond; now += EvaluationInterval {
		evaluate()
	}
	require.Equal(t, StageShifting, evaluate().Directive.Stage)
	now += 3 * time.Second
	decision := evaluate()
	require.Equal(t, EventExtended, decision.Event.Name)
	require.Equal(t, ReasonPaused, decision.Event.Reason)
	require.Equal(t, StageCanary, decision.Directive.Stage)
	for end := now + extendedDuration - finishReserve; now < end; now += EvaluationInterval {
		decision = evaluate()
	}
	require.Equal(t, StageShifting, decision.Directive.Stage)
}
