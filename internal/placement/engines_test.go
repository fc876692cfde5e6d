package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
)

// TestLeavingPersistsForTheRun guards against a leaving run that becomes placeable again when its
// source no longer reports it as leaving.
func TestLeavingPersistsForTheRun(t *testing.T) {
	leave := map[LeavingSource]func(*bench){
		LeavingMachineList: func(b *bench) {
			leaving := machine("engine0", 1)
			leaving.State = platform.MachineLeaving
			b.core.ObserveMachine(b.now, leaving)
		},
		LeavingEngine: func(b *bench) {
			status := b.status("engine0", 1)
			status.Leaving = true
			b.core.ObserveStatus(b.now, status)
		},
	}
	for source, report := range leave {
		t.Run(string(source), func(t *testing.T) {
			b := newBench(t, 1)
			report(b)
			for _, reportAlso := range leave {
				reportAlso(b)
			}
			b.now += time.Second
			b.core.ForgetMachine(b.now, "engine0")
			b.addEngine("engine0", 1)
			b.configure(testDocument(3))
			assert.Equal(t, source, b.core.Snapshot(b.now).Engines[0].Leaving)
			assert.Equal(t, []Outcome{HandBack{Key: keyOf("r"), Reason: HandBackNoEngine}},
				b.submit(request("r", urgent, "p", 1)))

			b.addEngine("engine0", 2)
			grant := b.submitGranted(request("r", urgent, "p", 1))
			assert.Equal(t, fleet.Incarnation(2), grant.Run.Incarnation, "a new run isn't leaving")
		})
	}
}

// TestDrainHoldsUntilANewerRevisionEndsIt guards against an older configuration ending a drain.
func TestDrainHoldsUntilANewerRevisionEndsIt(t *testing.T) {
	for _, kind := range []config.DirectiveKind{config.DirectiveDrain, config.DirectiveRetire} {
		t.Run(string(kind), func(t *testing.T) {
			b := newBench(t, 1)
			document := testDocument(3)
			document.Directives = []config.Directive{{Engine: "engine0", Incarnation: 1, Kind: kind}}
			b.configure(document)
			handedBack := []Outcome{HandBack{Key: keyOf("r"), Reason: HandBackNoEngine}}

			b.configure(testDocument(2))
			b.core.ForgetMachine(b.now, "engine0")
			b.addEngine("engine0", 1)
			assert.Equal(t, LeavingOperator, b.core.Snapshot(b.now).Engines[0].Leaving)
			assert.Equal(t, handedBack, b.submit(request("r", urgent, "p", 1)), "an older revision doesn't end the drain")

			b.configure(testDocument(4))
			assert.Equal(t, LeavingNone, b.core.Snapshot(b.now).Engines[0].Leaving)
			b.submitGranted(request("r", urgent, "p", 1))
		})
	}
}

// TestEndedDrainDoesNotReviveALeavingRun guards against the end of a drain reviving a run that the
// machine list reports as leaving.
func TestEndedDrainDoesNotReviveALeavingRun(t *testing.T) {
	b := newBench(t, 1)
	document := testDocument(2)
	document.Directives = []config.Directive{{Engine: "engine0", Incarnation: 1, Kind: config.DirectiveDrain}}
	b.configure(document)
	leaving := machine("engine0", 1)
	leaving.State = platform.MachineLeaving
	b.core.ObserveMachine(b.now, leaving)
	b.configure(testDocument(3))
	assert.Equal(t, LeavingMachineList, b.core.Snapshot(b.now).Engines[0].Leaving)
	assert.Equal(t, []Outcome{HandBack{Key: keyOf("r"), Reason: HandBackNoEngine}},
		b.submit(request("r", urgent, "p", 1)))
}

func TestNewIncarnationForgetsTheOldRun(t *testing.T) {
	b := newBench(t, 1)
	prompt := request("old", urgent, "p", 64)
	old := b.submitGranted(prompt)
	b.report(old, PhaseAccepted)
	b.core.ObserveCacheSnapshot(b.now, "engine0", engine.CacheSnapshot{Incarnation: 1, Sequence: 7, Hashes: prompt.Blocks})
	require.NotEmpty(t, b.core.HoldersOf(prompt.Blocks[0]))

	// The cache poll is the first to report the new run.
	b.core.ObserveCacheEvents(b.now, "engine0", engine.CacheEvents{Incarnation: 2})
	assert.Empty(t, b.core.HoldersOf(prompt.Blocks[0]))
	assert.Zero(t, b.inFlight())
	assert.Empty(t, b.submit(request("waits", urgent, "p", 1)), "the new run hasn't reported its status")

	// Messages about the old run arrive late.
	b.core.ObserveStatus(b.now, b.status("engine0", 1))
	stale := machine("engine0", 1)
	stale.Address = "127.0.0.9:9"
	b.core.ObserveMachine(b.now, stale)
	b.core.ObserveCacheSnapshot(b.now, "engine0", engine.CacheSnapshot{Incarnation: 1, Sequence: 9, Hashes: prompt.Blocks})
	b.report(old, PhaseFirstToken)
	assert.Empty(t, b.core.HoldersOf(prompt.Blocks[0]))
	assert.Empty(t, b.core.TakeOutcomes())

	b.core.ObserveStatus(b.now, b.status("engine0", 2))
	outcomes := b.core.TakeOutcomes()
	require.Len(t, outcomes, 1)
	granted := outcomes[0].(Grant)
	assert.Equal(t, fleet.Incarnation(2), granted.Run.Incarnation)
	assert.Equal(t, fleet.Address("127.0.0.1:1"), granted.Address)
	assert.Zero(t, granted.ExpectedCachedTokens)
}

func TestRemovedEngineKeepsItsIncarnation(t *testing.T) {
	b := newBench(t, 1)
	b.submitGranted(request("r", urgent, "p", 1))
	b.addEngine("engine0", 5)
	b.submitGranted(request("s", urgent, "p", 1))
	b.core.ForgetMachine(b.now, "engine0")
	assert.Empty(t, b.core.engines)
	assert.Empty(t, b.core.ordered)
	assert.Zero(t, b.inFlight())
	b.addEngine("engine0", 4)
	assert.Empty(t, b.core.Snapshot(b.now).Engines, "an older run stays removed")
	b.addEngine("engine0", 5)
	b.submitGranted(request("t", urgent, "p", 1))
	assert.Equal(t, []fleet.EngineID{"engine0"}, b.core.NeedsSnapshot())
}

func TestUnreportedGrantsDoNotLeak(t *testing.T) {
	b := newBench(t, 1)
	lost := b.submitGranted(request("lost", urgent, "a", 1))
	accepted := b.submitGranted(request("accepted", urgent, "b", 1))
	b.report(accepted, PhaseAccepted)
	require.Equal(t, 2, b.inFlight())

	b.advance(DefaultGrantValid)
	assert.Equal(t, 2, b.inFlight(), "the report may still be in flight")
	b.advance(DefaultReportGrace)
	assert.Equal(t, 1, b.inFlight(), "the acceptance was never reported")
	b.report(lost, PhaseFinished)
	b.report(accepted, PhaseFirstToken)
	b.report(accepted, PhaseAccepted)
	assert.Equal(t, PhaseFirstToken, b.core.grants[accepted.Key].phase, "an earlier phase must not replace a later one")
	b.advance(time.Hour)
	assert.Zero(t, b.inFlight(), "the report of the end was lost")
	b.report(accepted, PhaseFinished)
	b.report(accepted, PhaseFinished)
	snapshot := b.core.Snapshot(b.now)
	assert.Zero(t, snapshot.InFlight)
	assert.Zero(t, snapshot.Engines[0].InFlight)
	assert.Equal(t, uint64(2), snapshot.LostGrants)
}

// TestLateLoadReportIsCorrected guards against load reports that hide a later grant or count one
// twice. The grant has 1,601 tokens, 160 ms at 100 µs per token.
func TestLateLoadReportIsCorrected(t *testing.T) {
	b := newBench(t, 1)
	early := b.status("engine0", 1)
	b.now += 20 * time.Millisecond
	grant := b.submitGranted(request("r", urgent, "p", 100))
	queue := func() EngineSnapshot { return b.core.Snapshot(b.now).Engines[0] }
	b.now += 30 * time.Millisecond
	assert.InDelta(t, 1300, queue().QueueTokens, 20)

	early.Load.MeasuredAtMillis += 15
	b.core.ObserveStatus(b.now, early)
	assert.InDelta(t, 1350, queue().QueueTokens, 70, "an older report must not hide the grant")
	assert.Equal(t, 1, queue().Streams)

	including := b.status("engine0", 1)
	including.Load.WaitingPrefillTokens = 1300
	including.Load.RunningStreams = 1
	b.core.ObserveStatus(b.now, including)
	assert.InDelta(t, 1300, queue().QueueTokens, 20, "a report that includes the grant must not double it")
	assert.Equal(t, 1, queue().Streams)

	foreign := b.status("engine0", 1)
	foreign.Load.MeasuredAtMillis++
	foreign.Load.RunningStreams = 4
	b.core.ObserveStatus(b.now, foreign)
	assert.Equal(t, 4, queue().Streams, "three streams were placed by other routers")

	b.now += 10 * time.Millisecond
	b.report(grant, PhaseAccepted)
	b.report(grant, PhaseFinished)
	assert.Equal(t, 3, queue().Streams)
	older := foreign
	older.Load.RunningStreams = 1
	b.now += 10 * time.Millisecond
	b.core.ObserveStatus(b.now, older)
	assert.Zero(t, queue().Streams, "the one reported stream was placed here and has ended since")
}

func TestSlowEngineClockDoesNotAgeReports(t *testing.T) {
	var load loadEstimate
	const slowBy = 5000 // the engine's clock loses one part in 5,000
	for second := range 36_000 {
		now := time.Duration(second) * time.Second
		load.applyReport(now, engine.Load{MeasuredAtMillis: (now - now/slowBy).Milliseconds()}, DefaultDispatchDelay)
	}
	assert.InDelta(t, float64(35_999*time.Second), float64(load.measuredAt), float64(5*time.Millisecond))
}

func TestUnreachableEngineGetsNoWorkUntilItsNextStatus(t *testing.T) {
	b := newBench(t, 1)
	grant := b.submitGranted(request("r", urgent, "p", 1))
	b.core.Report(b.now, AttemptReport{Key: grant.Key, Run: grant.Run, Phase: PhaseFailed, EngineLost: true})
	assert.Equal(t, []fleet.EngineID{"engine0"}, b.core.NeedsStatus())
	assert.Empty(t, b.submit(request("next", urgent, "p", 1)))
	b.core.ObserveStatus(b.now, b.status("engine0", 1))
	assert.Len(t, b.core.TakeOutcomes(), 1)
	assert.Empty(t, b.core.NeedsStatus())
}

func TestOnlyOwnedEnginesAreFollowedAndPlaced(t *testing.T) {
	b := newBench(t, 2)
	assert.Equal(t, []fleet.EngineID{"engine0", "engine1"}, b.core.NeedsSnapshot())
	b.core.SetOwned(func(id fleet.EngineID) bool { return id == "engine1" })
	for range 3 {
		grant := b.submitGranted(request("r", urgent, "p", 1))
		assert.Equal(t, fleet.EngineID("engine1"), grant.Run.Engine)
	}
	_, _, followed := b.core.EventsAfter("engine0")
	assert.False(t, followed)
	b.core.SetOwned(func(fleet.EngineID) bool { return false })
	assert.IsType(t, HandBack{}, b.submit(request("s", urgent, "p", 1))[0])
}

// TestLostOwnershipReleasesEngineState guards against state that outlasts ownership while a request
// waits for the engine and a grant is in flight, and against its use once ownership returns.
func TestLostOwnershipReleasesEngineState(t *testing.T) {
	b := newBench(t, 1)
	state := b.core.engines["engine0"]
	grant := b.submitGranted(request("open", urgent, "p", 1))
	b.report(grant, PhaseAccepted)
	state.park(0, 100)
	b.core.SetOwned(func(fleet.EngineID) bool { return false })
	assert.Nil(t, state.status)
	assert.Nil(t, state.feed)
	state.unpark(0, 100)
	assert.Nil(t, state.parked, "the counts must be freed with the last waiting request")
	b.report(grant, PhaseFinished)
	assert.Zero(t, b.inFlight())

	b.core.SetOwned(func(fleet.EngineID) bool { return true })
	assert.Equal(t, []fleet.EngineID{"engine0"}, b.core.NeedsStatus())
	assert.Empty(t, b.submit(request("waits", urgent, "p", 1)), "the status from before must not be used")
	b.core.ObserveStatus(b.now, b.status("engine0", 1))
	assert.Len(t, b.core.TakeOutcomes(), 1)
}
