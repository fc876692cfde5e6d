package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/lab/history"
)

// plantedFault is a variant and the invariant whose checker must detect it.
type plantedFault struct {
	invariant  history.Invariant
	variant    Variant
	faultKinds []FaultKind
	maxFaults  int
}

var plantedFaults = []plantedFault{
	{history.CacheEntries, DispatchToAnyRun, []FaultKind{KillEngine, SlowLink}, 20},
	{history.CacheEntries, MixRunsOfEngine, []FaultKind{KillEngine}, 0},
	{history.StreamOrder, DropContinuation, []FaultKind{KillEngine, ResetStreams}, 0},
	{history.RestartServes, KeepConfiguration, []FaultKind{RouterHerd}, 0},
	{history.OwnAnswer, TakeAnyStream, []FaultKind{HotPrefix}, 0},
	{history.NotRun, AssumeNotSent, []FaultKind{KillEngine, Isolate, SlowLink}, 0},
	{history.AtMostOnce, TrustLostCancel, []FaultKind{FreezeEngine, Isolate, SlowLink}, 20},
	{history.AtMostOnce, RepeatEverything, []FaultKind{KillEngine, Isolate}, 0},
	{history.LeavingEngine, IgnoreDirectives, []FaultKind{HotPrefix}, 0},
	{history.PlannedStop, StopWithoutDrain, []FaultKind{StopAgent}, 0},
	{history.Configuration, TakeAnyRevision, []FaultKind{Isolate, FreezeRouter}, 0},
	{history.Commands, CommitWithoutCompare, []FaultKind{PlatformSlow, PlatformLossy}, 0},
	{history.FencedOrders, FenceAtPlan, []FaultKind{FreezeHolder, KillEngine}, 0},
	{history.RequestOutcome, ForgetDeadline, []FaultKind{Isolate, FreezeEngine}, 0},
}

// maxPlantedSeeds bounds the runs within which a planted fault must be detected.
const maxPlantedSeeds = 300

// TestPlantedFaultIsCaught guards against checkers that miss violations: each disabled safeguard
// must be detected.
func TestPlantedFaultIsCaught(t *testing.T) {
	for _, planted := range plantedFaults {
		t.Run(string(planted.invariant)+"/"+string(planted.variant), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxPlantedSeeds) {
				options := Options{Seed: seed + 1, FaultKinds: planted.faultKinds, MaxFaults: planted.maxFaults}
				_, result := CheckSeed(options)
				require.Empty(t, result.Violations, "unmodified system")
				options.Variant = planted.variant
				_, result = CheckSeed(options)
				if violation, found := violationOf(result, planted.invariant); found {
					t.Logf("seed %d: %s", options.Seed, violation)
					return
				}
			}
			t.Fatalf("%s was not detected in %d runs", planted.variant, maxPlantedSeeds)
		})
	}
}

func violationOf(result Result, invariant history.Invariant) (history.Violation, bool) {
	for _, violation := range result.Violations {
		if violation.Invariant == invariant {
			return violation, true
		}
	}
	return history.Violation{}, false
}
