package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

func refusalCode(t require.TestingT, outcomes []Outcome) resultcode.Code {
	require.Len(t, outcomes, 1)
	require.IsType(t, Refusal{}, outcomes[0])
	return outcomes[0].(Refusal).Code
}

func TestUnplaceableRequestsAreRejectedOrHandedBack(t *testing.T) {
	b := newUnconfiguredBench(t)
	assert.Equal(t, resultcode.NoConfiguration, refusalCode(t, b.submit(request("r", urgent, "p", 1))))
	b.configure(testDocument(3))
	assert.Equal(t, []Outcome{HandBack{Key: keyOf("r"), Reason: HandBackNoEngine}}, b.submit(request("r", urgent, "p", 1)))
	last := request("r", urgent, "p", 1)
	last.Hops = DefaultMaxHops
	assert.Equal(t, resultcode.NoEngine, refusalCode(t, b.submit(last)))

	b.addEngine("engine0", 1)
	loading := request("r", urgent, "p", 1)
	loading.ModelVersion.Version = "v2"
	assert.Equal(t, resultcode.StaleWeights, refusalCode(t, b.submit(loading)))
	loading.KnownRevision = 4
	assert.Equal(t, []Outcome{HandBack{Key: keyOf("r"), Reason: HandBackStaleConfiguration}}, b.submit(loading))
	excluded := request("r", urgent, "p", 1)
	excluded.Excluded = []fleet.EngineRun{{Engine: "engine0", Incarnation: 1}}
	assert.Equal(t, []Outcome{HandBack{Key: keyOf("r"), Reason: HandBackNoEngine}}, b.submit(excluded))
	assert.Equal(t, resultcode.ClassNotAllowed, refusalCode(t, b.submit(request("r", "unknown", "p", 1))))
}

// fill submits requests until every stream of the engines is taken.
func (b *bench) fill() []Grant {
	var grants []Grant
	for number := 0; ; number++ {
		outcomes := b.submit(request(fmt.Sprintf("fill%d", number), urgent, fmt.Sprintf("fill%d", number), 1))
		if len(outcomes) == 0 {
			require.True(b.t, b.core.Withdraw(b.now, keyOf(fmt.Sprintf("fill%d", number))))
			return grants
		}
		grants = append(grants, outcomes[0].(Grant))
	}
}

func TestWaitingRequestsOfRetiredVersionAreRefused(t *testing.T) {
	b := newBench(t, 1)
	b.fill()
	require.Empty(t, b.submit(request("waits", urgent, "p", 1)))
	document := testDocument(2)
	document.Models[0].Versions[0].State = config.VersionRetired
	document.Models[0].Versions[1].State = config.VersionServing
	b.configure(document)
	assert.Equal(t, resultcode.StaleWeights, refusalCode(t, b.core.TakeOutcomes()))
	b.configure(testDocument(1))
	assert.Equal(t, fleet.Revision(2), b.core.Snapshot(b.now).Revision, "a lower revision is ignored")
}

func TestDrainHandsBackEverythingOnce(t *testing.T) {
	b := newBench(t, 1)
	grants := b.fill()
	var want []Key
	for number := range 20 {
		waiting := request(fmt.Sprintf("w%d", number), batch, "p", 1)
		require.Empty(t, b.submit(waiting))
		want = append(want, waiting.Key)
	}
	b.core.Drain(b.now)
	assert.ElementsMatch(t, want, keysOf(b.core.TakeOutcomes()))
	assert.Equal(t, []Outcome{HandBack{Key: keyOf("late"), Reason: HandBackDraining}}, b.submit(request("late", urgent, "p", 1)))
	for _, grant := range grants {
		assert.Empty(t, b.report(grant, PhaseFinished))
	}
	assert.Zero(t, b.inFlight())
	assert.Empty(t, b.advance(time.Hour))
}

func TestInfeasibleDeadlineIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 1)
	infeasible := request("r", urgent, "p", 1000) // 1.6 s of prefill
	infeasible.Deadline = time.Second
	assert.Equal(t, resultcode.DeadlineTooShort, refusalCode(t, b.submit(infeasible)))
	infeasible.Deadline = 3 * time.Second
	b.submitGranted(infeasible)
}

func TestQueueTimeoutIsRefusedWhenDue(t *testing.T) {
	b := newBench(t, 1)
	b.fill()
	require.Empty(t, b.submit(request("r", urgent, "p", 1)))
	assert.Empty(t, b.advance(time.Second))
	wake, found := b.core.NextWake()
	require.True(t, found)
	assert.LessOrEqual(t, wake, 6*time.Second)
	b.core.ObserveUnreachable(b.now, "engine0")
	assert.Equal(t, resultcode.QueueTimeout, refusalCode(t, b.advance(4*time.Second)))
}

func TestBurstComputesColdPrefixOnce(t *testing.T) {
	b := newBench(t, 12)
	first := b.submitGranted(request("r0", urgent, "circular", 200))
	for number := 1; number < 30; number++ {
		// The same 200 blocks, then a different question.
		follower := request(fmt.Sprintf("r%d", number), urgent, "circular", 200)
		follower.PromptTokens += 8
		require.Empty(t, b.submit(follower), "a second engine must not compute the same prefix")
	}
	b.now += 330 * time.Millisecond
	granted := b.report(first, PhaseFirstToken)
	granted = append(granted, b.advance(50*time.Millisecond)...)
	assert.Len(t, granted, 9, "the warm engine has ten streams")
	for _, outcome := range granted {
		assert.GreaterOrEqual(t, outcome.(Grant).ExpectedCachedTokens, 200*testBlockTokens)
		assert.Equal(t, first.Run, outcome.(Grant).Run)
	}
}

func TestRequestWaitsForASharedPrefixUnderTheQueueBound(t *testing.T) {
	b := newBench(t, 2)
	first := b.submitGranted(request("r0", urgent, "circular", 100)) // 160 ms
	require.Empty(t, b.submit(request("r1", urgent, "circular", 100)))
	b.now += 170 * time.Millisecond
	outcomes := b.report(first, PhaseFirstToken)
	require.Len(t, outcomes, 1)
	assert.Equal(t, first.Run, outcomes[0].(Grant).Run)
}

// TestWarmEngineIsWaitedForOnlyWhileCheaper guards against waiting for a warm engine when computing
// the prefix again is cheaper. The prefix takes 1.6 s; the warm engine has 0.4 s of work queued,
// then 8 s.
func TestWarmEngineIsWaitedForOnlyWhileCheaper(t *testing.T) {
	b := newBench(t, 2)
	warm := request("r", urgent, "circular", 1000)
	b.core.ObserveCacheSnapshot(b.now, "engine0", engine.CacheSnapshot{Incarnation: 1, Sequence: 1, Hashes: warm.Blocks})
	busy := b.status("engine0", 1)
	busy.Load.WaitingPrefillTokens = 4_000
	b.core.ObserveStatus(b.now, busy)
	require.Empty(t, b.submit(warm))
	require.Empty(t, b.submit(warm), "a resubmitted request still has one outcome")
	outcomes := b.advance(300 * time.Millisecond)
	require.Len(t, outcomes, 1)
	assert.Zero(t, b.core.engines["engine0"].parkedAhead(maxRank))
	assert.Equal(t, fleet.EngineID("engine0"), outcomes[0].(Grant).Run.Engine)

	busy = b.status("engine0", 1)
	busy.Load.WaitingPrefillTokens = 80_000
	b.core.ObserveStatus(b.now, busy)
	warm.Key.Attempt = 2
	assert.Equal(t, fleet.EngineID("engine1"), b.submitGranted(warm).Run.Engine)
}

// TestWaitForBusyWarmEngineIsBounded guards against an unbounded wait for a warm engine whose queue
// stays at 0.7 s while idle engines could compute the prefix in 0.3 s.
func TestWaitForBusyWarmEngineIsBounded(t *testing.T) {
	b := newBench(t, 4)
	warm := request("r", urgent, "circular", 200)
	b.core.ObserveCacheSnapshot(b.now, "engine0", engine.CacheSnapshot{Incarnation: 1, Sequence: 1, Hashes: warm.Blocks})
	stayBusy := func() []Outcome {
		busy := b.status("engine0", 1)
		busy.Load.WaitingPrefillTokens = 7_000
		b.core.ObserveStatus(b.now, busy)
		return b.core.TakeOutcomes()
	}
	require.Empty(t, stayBusy())
	outcomes := b.submit(warm)
	require.Empty(t, outcomes)
	started := b.now
	for len(outcomes) == 0 {
		require.Less(t, b.now-started, time.Second)
		outcomes = append(b.advance(20*time.Millisecond), stayBusy()...)
	}
	assert.Greater(t, b.now-started, 100*time.Millisecond)
	assert.NotEqual(t, fleet.EngineID("engine0"), outcomes[0].(Grant).Run.Engine)
}

// TestRequestDoesNotWaitForLongStreams guards against waiting for one of ten streams of eight
// seconds when computing the prefix elsewhere takes 160 ms.
func TestRequestDoesNotWaitForLongStreams(t *testing.T) {
	b := newBench(t, 1)
	warm := request("r", urgent, "circular", 100)
	b.core.ObserveCacheSnapshot(b.now, "engine0", engine.CacheSnapshot{Incarnation: 1, Sequence: 1, Hashes: warm.Blocks})
	grants := b.fill()
	for _, grant := range grants {
		b.report(grant, PhaseAccepted)
	}
	b.now += 8 * time.Second
	b.report(grants[0], PhaseFinished)
	b.addEngine("engine0", 1)
	b.submitGranted(request("last", urgent, "last", 1))
	b.addEngine("engine1", 1)
	assert.Equal(t, fleet.EngineID("engine1"), b.submitGranted(warm).Run.Engine)
}

func TestWaitingRequestsAreHandedBackWithTheLastEngine(t *testing.T) {
	b := newBench(t, 1)
	b.fill()
	require.Empty(t, b.submit(request("w", urgent, "p", 1)))
	b.core.ForgetMachine(b.now, "engine0")
	assert.Equal(t, []Outcome{HandBack{Key: keyOf("w"), Reason: HandBackNoEngine}}, b.core.TakeOutcomes())
}

func TestLostFirstTokenReportBlocksFollowersOnlyBriefly(t *testing.T) {
	b := newBench(t, 2)
	b.submitGranted(request("r0", urgent, "circular", 200))
	require.Empty(t, b.submit(request("r1", urgent, "circular", 200)))
	start := b.now
	var outcomes []Outcome
	for len(outcomes) == 0 {
		wake, found := b.core.NextWake()
		require.True(t, found)
		require.Less(t, wake-start, time.Second)
		outcomes = b.advance(wake - b.now)
	}
	assert.IsType(t, Grant{}, outcomes[0])
}

func TestUrgentRequestDoesNotWaitForBatchPrefix(t *testing.T) {
	b := newBench(t, 1)
	b.submitGranted(request("b", batch, "circular", 200))
	b.submitGranted(request("u", urgent, "circular", 200))
}

func TestReserveIsKeptForUrgentClass(t *testing.T) {
	b := newBench(t, 1)
	granted := 0
	for number := range 20 {
		granted += len(b.submit(request(fmt.Sprintf("b%d", number), batch, fmt.Sprintf("b%d", number), 1)))
	}
	assert.Equal(t, 8, granted, "a fifth of ten streams is reserved")
	b.submitGranted(request("u0", urgent, "u0", 1))
	b.submitGranted(request("u1", urgent, "u1", 1))
	assert.Empty(t, b.submit(request("u2", urgent, "u2", 1)))
}

// TestMinimumShareHoldsWhileUrgentWorkFillsEveryEngine guards against starvation of a class with a
// minimum share while a higher-priority class always has work.
func TestMinimumShareHoldsWhileUrgentWorkFillsEveryEngine(t *testing.T) {
	b := newBench(t, 1)
	running := b.fill()
	batches := 0
	for number := range 300 {
		for _, class := range []fleet.ClassName{urgent, batch} {
			name := fmt.Sprint(class, number)
			require.Empty(t, b.submit(request(name, class, name, 1)))
		}
		b.now += 10 * time.Millisecond
		b.core.ObserveStatus(b.now, b.status("engine0", 1))
		outcomes := b.report(running[0], PhaseFinished)
		running = running[1:]
		require.Len(t, outcomes, 1)
		grant := outcomes[0].(Grant)
		running = append(running, grant)
		if grant.Priority > 0 {
			batches++
		}
	}
	assert.InDelta(t, 30, batches, 3, "a tenth of the dispatches")
}

func TestEngineQueueIsBoundedAndWaitingWorkIsReordered(t *testing.T) {
	b := newBench(t, 1)
	b.submitGranted(request("b0", batch, "b0", 300)) // 480 ms, over the bound
	require.Empty(t, b.submit(request("b1", batch, "b1", 1)))
	b.submitGranted(request("u0", urgent, "u0", 300))
	require.Empty(t, b.submit(request("u1", urgent, "u1", 1)), "urgent work is bounded too")
	outcomes := b.advance(300 * time.Millisecond)
	assert.Equal(t, []Key{keyOf("u1")}, keysOf(outcomes))
	outcomes = b.advance(time.Second)
	assert.Equal(t, []Key{keyOf("b1")}, keysOf(outcomes))
}

func TestResubmittedAttemptReleasesItsGrant(t *testing.T) {
	b := newBench(t, 1)
	for range 50 {
		grant := b.submitGranted(request("r", urgent, "p", 1))
		grant.Run.Incarnation++
		b.report(grant, PhaseFinished)
		assert.Equal(t, 1, b.inFlight(), "a report of another run changes nothing")
	}
}

// TestEverySubmitHasOneOutcome guards against lost and duplicate outcomes in random histories of
// all the core's inputs.
func TestEverySubmitHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, 2)
		open := map[Key]bool{}
		var grants []Grant
		revision := fleet.Revision(1)
		incarnation := fleet.Incarnation(1)
		sequence := 0
		collect := func() {
			for _, outcome := range b.core.TakeOutcomes() {
				require.True(t, open[outcome.OutcomeKey()], "%v has a second outcome", outcome.OutcomeKey())
				delete(open, outcome.OutcomeKey())
				if grant, granted := outcome.(Grant); granted {
					grants = append(grants, grant)
				}
			}
		}
		anEngine := rapid.SampledFrom([]fleet.EngineID{"engine0", "engine1"})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "burst") {
					sequence++
					attempt := request(fmt.Sprint(sequence), rapid.SampledFrom([]fleet.ClassName{urgent, batch}).Draw(t, "class"),
						rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "prompt"), rapid.IntRange(0, 200).Draw(t, "blocks"))
					attempt.Deadline = time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond
					open[attempt.Key] = true
					b.core.Submit(b.now, attempt)
				}
			},
			"resubmit": func(t *rapid.T) {
				key := keyOf(fmt.Sprint(rapid.IntRange(0, sequence).Draw(t, "key")))
				if open[key] {
					again := request(string(key.Request), batch, "a", 100)
					b.core.Submit(b.now, again)
				}
			},
			"withdraw": func(t *rapid.T) {
				key := keyOf(fmt.Sprint(rapid.IntRange(0, sequence).Draw(t, "key")))
				if b.core.Withdraw(b.now, key) {
					require.True(t, open[key])
					delete(open, key)
				}
			},
			"report": func(t *rapid.T) {
				if len(grants) == 0 {
					return
				}
				grant := rapid.SampledFrom(grants).Draw(t, "grant")
				phase := Phase(rapid.IntRange(1, 5).Draw(t, "phase"))
				lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
				b.core.Report(b.now, AttemptReport{Key: grant.Key, Run: grant.Run, Phase: phase, EngineLost: lost})
			},
			"tick": func(t *rapid.T) {
				b.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				b.core.Tick(b.now)
			},
			"status": func(t *rapid.T) {
				status := b.status(anEngine.Draw(t, "engine"), incarnation)
				status.Leaving = rapid.IntRange(0, 19).Draw(t, "leaving") == 0
				status.Load.RunningStreams = rapid.IntRange(0, 5).Draw(t, "running")
				status.Load.MeasuredAtMillis -= int64(rapid.IntRange(0, 1000).Draw(t, "lag"))
				b.core.ObserveStatus(b.now, status)
			},
			"restart": func(t *rapid.T) {
				incarnation++
				b.core.ObserveMachine(b.now, machine(anEngine.Draw(t, "engine"), incarnation))
			},
			"list": func(t *rapid.T) {
				id := anEngine.Draw(t, "engine")
				if rapid.Bool().Draw(t, "gone") {
					b.core.ForgetMachine(b.now, id)
					return
				}
				entry := machine(id, fleet.Incarnation(rapid.IntRange(1, int(incarnation)).Draw(t, "seen")))
				if rapid.IntRange(0, 9).Draw(t, "state") == 0 {
					entry.State = platform.MachineLeaving
				}
				b.core.ObserveMachine(b.now, entry)
			},
			"unreachable": func(t *rapid.T) { b.core.ObserveUnreachable(b.now, anEngine.Draw(t, "engine")) },
			"events": func(t *rapid.T) {
				b.core.ObserveCacheEvents(b.now, anEngine.Draw(t, "engine"), engine.CacheEvents{Incarnation: incarnation})
			},
			"config": func(t *rapid.T) {
				revision++
				document := testDocument(revision)
				if rapid.IntRange(0, 4).Draw(t, "promote") == 0 {
					document.Models[0].Versions[0].State = config.VersionRetired
					document.Models[0].Versions[1].State = config.VersionServing
				}
				b.configure(document)
			},
			"": func(t *rapid.T) {
				collect()
				snapshot := b.core.Snapshot(b.now)
				require.Equal(t, len(open), snapshot.WaitingRequests)
				inFlight := 0
				for _, state := range b.core.ordered {
					require.Zero(t, min(state.inFlight, 0))
					inFlight += state.inFlight
				}
				require.Equal(t, snapshot.InFlight, inFlight)
			},
		})
		b.core.Drain(b.now)
		collect()
		require.Empty(t, open)
		b.advance(24 * time.Hour)
		require.Zero(t, b.inFlight())
		for _, state := range b.core.ordered {
			require.Zero(t, state.parkedAhead(maxRank))
		}
	})
}

// TestSameCallsGiveSameOutcomes guards against outcomes that depend on map iteration order.
func TestSameCallsGiveSameOutcomes(t *testing.T) {
	replay := func() []Outcome {
		b := newBench(t, 8)
		script := rand.New(rand.NewPCG(5, 6))
		var outcomes []Outcome
		for step := range 400 {
			class := []fleet.ClassName{urgent, batch}[script.IntN(2)]
			prompt := fmt.Sprint("p", script.IntN(5))
			outcomes = append(outcomes, b.submit(request(fmt.Sprint(step), class, prompt, script.IntN(300)))...)
			outcomes = append(outcomes, b.advance(time.Duration(script.IntN(5))*time.Millisecond)...)
			if script.IntN(100) == 0 {
				b.addEngine(engineName(script.IntN(8)), fleet.Incarnation(step+2))
			}
		}
		b.configure(testDocument(2))
		for number := range 8 {
			b.core.ForgetMachine(b.now, engineName(number))
		}
		return append(outcomes, b.core.TakeOutcomes()...)
	}
	first := replay()
	require.Len(t, first, 400)
	for range 3 {
		require.Equal(t, first, replay())
	}
}
