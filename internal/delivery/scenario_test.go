package delivery

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// randomScenario returns a random scenario with a good version and old workers that aren't
// overloaded.
func randomScenario(seed uint64) scenario {
	random := rand.New(rand.NewPCG(seed, 2))
	setup := scenario{
		seed:     seed,
		nodes:    4 + random.IntN(20),
		workers:  []int{3, 6, 20, 60}[random.IntN(4)],
		slots:    12,
		duration: time.Duration(8+random.IntN(53)) * time.Second,
		rate:     []float64{20, 60, 200, 200, 700, 700, 700, 3000}[random.IntN(8)],
		routes:   map[RouteName]float64{"a": 0.75, "b": 0.2, "c": 0.05},
	}
	for float64(setup.workers*setup.slots) < 0.2*setup.rate {
		setup.workers *= 2
	}
	if random.IntN(2) == 0 {
		setup.noPredictions = true
		setup.normalFailures = map[RouteName]float64{"b": 0.14}
	}
	return setup
}

// Kinds of bad versions.
const (
	badFromStart = iota
	badLate
	badOnOneRoute
	badUnderLoad
	badKinds
)

// makeBad makes a scenario's version bad and returns a description.
func makeBad(setup *scenario) string {
	random := rand.New(rand.NewPCG(setup.seed, 3))
	fraction := 0.2 + 0.8*random.Float64()
	kind := random.IntN(badKinds)
	setup.slow = random.IntN(3) == 0
	from := time.Duration(0)
	if kind == badLate {
		from = time.Duration(random.Float64() * float64(setup.duration))
	}
	badRoute := []RouteName{"a", "b", "c"}[random.IntN(3)]
	loadThreshold := 0.05 * setup.rate / float64(setup.workers*setup.slots)
	setup.badFraction = func(at time.Duration, route RouteName, load float64) float64 {
		if at < from || kind == badOnOneRoute && route != badRoute || kind == badUnderLoad && load < loadThreshold {
			return 0
		}
		return fraction
	}
	return fmt.Sprintf("seed %d: kind %d, %.2f from %s, route %s, slow %t, %s at %.0f/s, %d workers, %d nodes, no predictions %t",
		setup.seed, kind, fraction, from, badRoute, setup.slow, setup.duration, setup.rate, setup.workers, setup.nodes, setup.noPredictions)
}

// runScenarios runs scenarios in parallel and checks them in order.
func runScenarios(seeds int, build func(seed uint64) scenario, after time.Duration, check func(*simulation)) {
	runs := make([]*simulation, seeds)
	var group sync.WaitGroup
	semaphore := make(chan struct{}, 3)
	for seed := range seeds {
		group.Go(func() {
			semaphore <- struct{}{}
			runs[seed] = newSimulation(build(uint64(seed))).run(after)
			runs[seed].due = nil
			<-semaphore
		})
	}
	group.Wait()
	for _, run := range runs {
		check(run)
	}
}

// seedCount returns the number of seeds to run, which is lower in short mode.
func seedCount(count int) int {
	if testing.Short() {
		return count / 10
	}
	return count
}

// TestBadVersionStaysWithinItsExposure guards against exposure above the limit and against requests
// to a bad version more than 5 s after its 50th bad response.
func TestBadVersionStaysWithinItsExposure(t *testing.T) {
	seeds := seedCount(200)
	descriptions := make([]string, seeds)
	completedBad, slowStops := 0, 0
	build := func(seed uint64) scenario {
		setup := randomScenario(seed)
		descriptions[seed] = makeBad(&setup)
		return setup
	}
	runScenarios(seeds, build, 6*time.Second, func(run *simulation) {
		description := descriptions[run.seed]
		require.LessOrEqual(t, run.excessExposure(), 0.0, description)
		if run.stage() != StageRolledBack {
			// The evidence until the decision was too weak.
			require.False(t, run.hasEvidence(20, 0.1), description)
			completedBad++
			return
		}
		require.LessOrEqual(t, run.exposedAfterBad(50), 5*time.Second, description)
		if run.exposedAfterBad(10) > 3*time.Second {
			slowStops++
		}
	})
	t.Logf("%d seeds: %d completed for lack of evidence, %d got requests 3 s after the tenth bad response", seeds, completedBad, slowStops)
}

// requireCompletes checks that at least 98 of 100 good versions are completed in time.
func requireCompletes(t *testing.T, seeds int, change func(*scenario)) {
	t.Helper()
	failed := 0
	build := func(seed uint64) scenario {
		setup := randomScenario(seed)
		change(&setup)
		return setup
	}
	runScenarios(seeds, build, time.Second, func(run *simulation) {
		if run.stage() == StageCompleted && run.finalAt < run.duration {
			require.True(t, run.killedRequests == 0 || run.finalAt >= run.duration-finishReserve,
				"seed %d: %d requests ended with the old workers at %s", run.seed, run.killedRequests, run.finalAt)
			return
		}
		failed++
		t.Logf("seed %d: %s at %.0f/s, %d workers, no predictions %t: %s", run.seed, run.duration, run.rate, run.workers, run.noPredictions, run.stage())
		for _, event := range run.events {
			t.Logf("  %+v", event)
		}
	})
	require.LessOrEqual(t, failed*100, 2*seeds, "%d of %d were not completed in time", failed, seeds)
}

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	peak := func(at time.Duration) float64 {
		if at > 4*time.Second && at < 7*time.Second {
			return 3
		}
		return 1
	}
	for name, change := range map[string]func(*scenario){
		"no_disturbance":               func(*scenario) {},
		"cold_caches":                  func(s *scenario) { s.cold = true },
		"partially_failing_old_worker": func(s *scenario) { s.partialFailureRates = map[fleet.EngineID]float64{"old-0": 0.4} },
		"partially_failing_new_worker": func(s *scenario) { s.partialFailureRates = map[fleet.EngineID]float64{"new-0": 0.4} },
		"crashed_old_worker": func(s *scenario) {
			s.faults = map[time.Duration]func(*simulation){3 * time.Second: func(run *simulation) { run.oldWorkers[0].crashed = true }}
		},
		"crashed_new_worker": func(s *scenario) {
			s.faults = map[time.Duration]func(*simulation){3 * time.Second: func(run *simulation) { run.newWorkers[0].crashed = true }}
		},
		"callers_time_out": func(s *scenario) { s.callerTimeout = 120 * time.Millisecond },
		"load_peak":        func(s *scenario) { s.rateFactor = peak },
		"overload":         func(s *scenario) { s.workers, s.rate = 6, 13.5*6*float64(s.slots) },
	} {
		t.Run(name, func(t *testing.T) {
			requireCompletes(t, seedCount(100), change)
		})
	}
}
