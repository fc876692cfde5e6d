package delivery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// advanceTo evaluates every EvaluationInterval with evidence of a good version and returns the last
// decision.
func advanceTo(director *Director, from, until time.Duration, observation Observation) Decision {
	var decision Decision
	for now := from; now <= until; now += EvaluationInterval {
		responses := uint64(now / EvaluationInterval)
		director.Observe(now, "node-1", testEvidence(50*responses, responses, 0))
		decision = director.Evaluate(now, observation)
	}
	return decision
}

func TestShiftIsAnnouncedBeforeItStarts(t *testing.T) {
	director := newTestDelivery(t)
	decision := advanceTo(director, 0, 11*time.Second, testObservation(4, 4))
	require.Equal(t, StageCanary, decision.Directive.Stage)
	require.Greater(t, decision.Directive.ShiftAt, 11*time.Second)
	require.Less(t, decision.Directive.ShiftAt, 12*time.Second-finishReserve)
	decision = advanceTo(director, 11100*time.Millisecond, 11700*time.Millisecond, testObservation(4, 4))
	require.Equal(t, StageShifting, decision.Directive.Stage)
}

// TestPlannedShiftIsHeldOnBadEvidence guards against starting an announced shift after bad
// responses.
func TestPlannedShiftIsHeldOnBadEvidence(t *testing.T) {
	director := newTestDelivery(t)
	advanceTo(director, 0, 11*time.Second, testObservation(4, 4))
	director.Observe(11100*time.Millisecond, "node-1", testEvidence(5600, 150, 4))
	decision := director.Evaluate(11100*time.Millisecond, testObservation(4, 4))
	require.Equal(t, EventShiftHeld, decision.Event.Name)
	require.Zero(t, decision.Directive.ShiftAt)
	require.Equal(t, ReasonUndecided, decision.Event.Reason)
}

func TestCompletionWaitsForOldWorkersToDrain(t *testing.T) {
	order := testOrder()
	order.Duration = time.Minute
	busy, idle := testObservation(4, 4), testObservation(4, 4)
	for index := range idle.Workers {
		idle.Workers[index].InFlight = 0
	}
	for _, c := range []struct {
		after  Observation
		reason string
		until  time.Duration
	}{{busy, ReasonLastMoment, time.Minute - finishReserve}, {idle, ReasonOldWorkersIdle, time.Minute - maxShift + shiftPropagation}} {
		director := newTestDirector()
		require.NoError(t, director.SetOrder(0, 0, order))
		decision := director.Evaluate(0, busy)
		director.HandleWriteResult(0, simService, *decision.Write, nil, nil)
		require.Nil(t, advanceTo(director, EvaluationInterval, c.until-2*EvaluationInterval, c.after).Write, c.reason)
		decision = advanceTo(director, c.until-EvaluationInterval, c.until, c.after)
		require.NotNil(t, decision.Write, c.reason)
		require.Equal(t, StageCompleted, decision.Write.Stage)
		require.Equal(t, c.reason, decision.Write.Reason)
		require.Equal(t, StageShifting, decision.Directive.Stage, "the shift continues until the record is stored")
	}
}

func TestTooFewTargetWorkersAreRolledBack(t *testing.T) {
	director := newTestDelivery(t)
	director.HandleWriteResult(0, simService, *director.Evaluate(0, testObservation(20, 12)).Write, nil, nil)
	decision := advanceTo(director, EvaluationInterval, 12*time.Second-finishReserve, testObservation(20, 12))
	require.Equal(t, StageRolledBack, decision.Write.Stage)
	require.Equal(t, ReasonFewWorkers, decision.Write.Reason)
	for _, c := range []struct {
		old, target int
		enough      bool
	}{{20, 14, true}, {20, 13, false}, {3, 2, true}, {3, 1, false}, {2, 1, true}, {1, 1, true}, {1, 0, false}, {0, 1, true}} {
		counts := director.services[simService].countWorkers(testObservation(c.old, c.target).Workers)
		require.Equal(t, c.enough, hasEnoughSlots(counts), "%d of %d", c.target, c.old)
	}
}

func TestUnreachableTargetWorkersDoNotCount(t *testing.T) {
	director := newTestDelivery(t)
	observation := testObservation(4, 4)
	observation.Workers[4].Unreachable = true
	observation.Workers[5].Unreachable = true
	counts := director.services[simService].countWorkers(observation.Workers)
	require.Len(t, counts.target, 2)
	require.False(t, hasEnoughSlots(counts))
	require.Equal(t, 4, counts.oldInFlight)
}

// TestFirstCanaryWaitsForOthers guards against judging a version by its first worker alone while
// others are about to be listed.
func TestFirstCanaryWaitsForOthers(t *testing.T) {
	director := newTestDelivery(t)
	require.Zero(t, director.Evaluate(time.Second, testObservation(4, 1)).Directive.DefaultShare)
	require.NotZero(t, director.Evaluate(maxCanaryWait, testObservation(4, 1)).Directive.DefaultShare)
	director = newTestDelivery(t)
	require.NotZero(t, director.Evaluate(time.Second, testObservation(4, 3)).Directive.DefaultShare)
}

// TestNumberOfCanaries guards against canaries with less load than the old workers, and against too
// few responses of each.
func TestNumberOfCanaries(t *testing.T) {
	state := newTestDelivery(t).services[simService]
	state.defaultShare = 0.3
	state.meter.rates[testRoute] = 20
	require.Equal(t, minCanaries, state.wantedCanaries(time.Minute, state.defaultShare, 60))
	state.meter.rates[testRoute] = 700
	require.Equal(t, 18, state.wantedCanaries(time.Minute, state.defaultShare, 60))
	state.defaultShare = 0.02
	require.Equal(t, minCanaries, state.wantedCanaries(time.Minute, state.defaultShare, 60))
}

// TestSuspectedCanaryIsReplaced guards against keeping a canary that can't contribute more
// evidence.
func TestSuspectedCanaryIsReplaced(t *testing.T) {
	director := newTestDelivery(t)
	require.Contains(t, director.Evaluate(0, testObservation(6, 6)).Directive.Canaries, fleet.EngineID("new-0"))
	director.Observe(0, "node-1", Evidence{
		Service: simService, Revision: 7,
		Old: map[RouteName]*Counts{testRoute: {Responses: 500}},
		New: map[RouteName]map[fleet.EngineID]*Counts{testRoute: {"new-0": {Responses: 20, Failures: 10}}},
	})
	decision := director.Evaluate(shareUpdateInterval, testObservation(6, 6))
	require.Equal(t, []fleet.EngineID{"new-1", "new-2", "new-3"}, decision.Directive.Canaries)
	require.Equal(t, StageCanary, decision.Directive.Stage, "one bad worker does not reject the version")
	require.NotZero(t, decision.Directive.DefaultShare)
}

// TestInitialCountsDoNotAffectRates guards against rates that include responses counted before a
// node's first report.
func TestInitialCountsDoNotAffectRates(t *testing.T) {
	observed := newMeter(0)
	judge := newJudge()
	observed.observe(conditions{}, "node", testEvidence(9000, 1000, 0), judge)
	observed.tick(time.Second, func(RouteName) float64 { return 0 })
	require.Zero(t, observed.traffic(2*time.Second).rate)
	require.Equal(t, 10000.0, observed.traffic(2*time.Second).total)
	require.Equal(t, 1000.0, observed.traffic(2*time.Second).target)
	for second := 2; second < 12; second++ {
		observed.observe(conditions{}, "node", testEvidence(9000+uint64(second)*100, 1000, 0), judge)
		observed.tick(time.Duration(second)*time.Second, func(RouteName) float64 { return 0.5 })
	}
	require.InDelta(t, 100, observed.traffic(12*time.Second).rate, 5)
	require.InDelta(t, 500, observed.targetPlanned, 100)
	observed.targetResponses = 0
	require.Equal(t, observed.targetPlanned, observed.traffic(12*time.Second).target, "planned requests count before their responses arrive")
}

// TestSuspectedTargetIsNotCompleted guards against completing a target at the deadline with
// evidence against it that is too weak for a rejection.
func TestSuspectedTargetIsNotCompleted(t *testing.T) {
	director := newTestDelivery(t)
	director.HandleWriteResult(0, simService, *director.Evaluate(0, testObservation(4, 4)).Write, nil, nil)
	decision := advanceTo(director, EvaluationInterval, 11600*time.Millisecond, testObservation(4, 4))
	require.Equal(t, StageShifting, decision.Directive.Stage)
	late := testEvidence(50*116, 116, 0)
	for _, counts := range late.New[testRoute] {
		counts.Responses += 5
		counts.Failures += 2
	}
	director.Observe(11700*time.Millisecond, "node-1", late)
	require.Nil(t, director.Evaluate(11700*time.Millisecond, testObservation(4, 4)).Write)
	decision = director.Evaluate(11800*time.Millisecond, testObservation(4, 4))
	require.NotNil(t, decision.Write)
	require.Equal(t, StageRolledBack, decision.Write.Stage)
	require.Equal(t, ReasonUndecided, decision.Write.Reason)
	require.Less(t, decision.Event.Score, decision.Event.Threshold)
}

// TestRareRouteDoesNotOverloadCanaries guards against overloading few canaries with a rare route,
// whose requests may be the longest.
func TestRareRouteDoesNotOverloadCanaries(t *testing.T) {
	director := newTestDelivery(t)
	var decision Decision
	for now := time.Duration(0); now <= 4*time.Second; now += EvaluationInterval {
		evaluations := uint64(now / EvaluationInterval)
		director.Observe(now, "node-1", Evidence{
			Service: simService, Revision: 7,
			Old: map[RouteName]*Counts{"common": {Responses: 70 * evaluations}, "rare": {Responses: 4 * evaluations}},
		})
		decision = director.Evaluate(now, testObservation(60, 60))
	}
	canaries := float64(len(decision.Directive.Canaries))
	require.Less(t, canaries, 6.0)
	require.LessOrEqual(t, decision.Directive.Shares["rare"], maxCanaryLoadFactor*canaries/60)
	require.Greater(t, decision.Directive.Shares["rare"], decision.Directive.Shares["common"])
}

func TestRareRouteGetsALargerShare(t *testing.T) {
	director := newTestDelivery(t)
	var decision Decision
	for now := time.Duration(0); now <= 4*time.Second; now += EvaluationInterval {
		evaluations := uint64(now / EvaluationInterval)
		director.Observe(now, "node-1", Evidence{
			Service: simService, Revision: 7,
			Old: map[RouteName]*Counts{"common": {Responses: 50 * evaluations}, "rare": {Responses: evaluations}},
		})
		decision = director.Evaluate(now, testObservation(4, 4))
	}
	require.Equal(t, maxShare, decision.Directive.Shares["rare"])
	require.Less(t, decision.Directive.Shares["common"], 0.1)
}
