package backends

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// manyEngines is more than a choice looks at.
const manyEngines = 500

func withManyEngines() *Registry {
	registry := newTestRegistry()
	for number := range manyEngines {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
	}
	return registry
}

// TestChoiceLooksAtFewWorkersAtAnySize compares what a choice looks at, and the time of the
// median one, in fleets of 100 and 10,000 engines. A look at all would take a hundred times
// as many, and, where all hold a common prefix, ten thousand times as long if each was
// compared with each.
func TestChoiceLooksAtFewWorkersAtAnySize(t *testing.T) {
	const choices = 400
	looked, took := map[int]int{}, map[int]time.Duration{}
	sizes := []int{100, 10_000}
	for _, engines := range sizes {
		simulated := newSimulatedFleet(engines, simulatedSlots/3, Options{Zone: "z0"})
		times := make([]time.Duration, choices)
		for number := range choices {
			simulated.step()
			request := simulated.request()
			start := time.Now()
			placement, refused := simulated.registry.Choose(simulated.now, request)
			times[number] = time.Since(start)
			require.NotNil(t, placement, refused)
			simulated.open = append(simulated.open, placement)
			looked[engines] += placement.Looked
		}
		slices.Sort(times)
		took[engines] = times[choices/2]
	}
	small, large := sizes[0], sizes[1]
	assert.Less(t, float64(looked[large]), 1.5*float64(looked[small]), "workers looked at")
	assert.Less(t, looked[large], 60*choices)
	assert.Less(t, took[large], 15*took[small], "%v and %v", took[small], took[large])
}

// TestSmallFleetIsLookedAtWhole.
func TestSmallFleetIsLookedAtWhole(t *testing.T) {
	registry := withEngines()
	placement, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, engineCount, placement.Candidates)
}

// TestOnlyWorkerWithRoomIsFound has one of many engines take streams: requests are refused
// as full only after its last place is taken.
func TestOnlyWorkerWithRoomIsFound(t *testing.T) {
	registry := withManyEngines()
	for id, known := range registry.workers {
		if id != "e77" {
			known.inFlight = maxStreams(known.worker.Slots)
			registry.relevel(known)
		}
	}
	for range maxStreams(registry.workers["e77"].worker.Slots) {
		placement, refused := registry.Choose(0, engineRequest("p"))
		require.NotNil(t, placement, refused)
		assert.Equal(t, fleet.EngineID("e77"), placement.Worker.ID)
	}
	for range 3 {
		placement, refused := registry.Choose(0, engineRequest("p"))
		require.Nil(t, placement)
		assert.Equal(t, ReasonFull, refused.Reason)
	}
	registry.workers["e300"].inFlight--
	valid := manyEngines * lookValidPerWorker
	placement, refused := registry.Choose(valid, engineRequest("p"))
	require.NotNil(t, placement, "%v: the look at all counts for a moment only", refused)
}

// TestRequestIsRefusedAsLateByALookAtAll has every engine hold up a request for longer than
// its target, but one whose long queue is less urgent: what is drawn by load misses it.
func TestRequestIsRefusedAsLateByALookAtAll(t *testing.T) {
	registry := withManyEngines()
	for id, known := range registry.workers {
		known.prefill, known.priorities[1].PrefillTokens = 40_000, 40_000
		if id == "e77" {
			known.prefill, known.priorities[1].PrefillTokens, known.priorities[5].PrefillTokens = 90_000, 0, 90_000
		}
		registry.relevel(known)
	}
	placement, refused := registry.Choose(0, targetedRequest("p", 1000, 1))
	require.NotNil(t, placement, refused)
	assert.Equal(t, fleet.EngineID("e77"), placement.Worker.ID)
	placement.End(0, Succeeded)
	registry.workers["e77"].priorities[1].PrefillTokens, registry.workers["e77"].prefill = 40_000, 130_000
	later := time.Duration(manyEngines) * lookValidPerWorker
	placement, refused = registry.Choose(later, targetedRequest("p", 1000, 1))
	require.Nil(t, placement)
	assert.Equal(t, ReasonLate, refused.Reason)
	assert.InDelta(t, 580, refused.RetryAfter.Milliseconds(), 60, "40,000 tokens take 1,040 ms")
	registry.workers["e9"].prefill, registry.workers["e9"].priorities[1].PrefillTokens = 0, 0
	registry.relevel(registry.workers["e9"])
	placement, refused = registry.Choose(later, targetedRequest("q", 1000, 1))
	require.NotNil(t, placement, refused)
}

// TestVersionLimitLeavesFewWorkers has two workers of many carry the target's version.
func TestVersionLimitLeavesFewWorkers(t *testing.T) {
	registry := withManyEngines()
	for _, number := range []int{5, 400} {
		worker := engineWorker(number, 1)
		worker.Software = "new"
		registry.Observe(manyEngines+1, worker)
	}
	choose := func(versions *delivery.Filter) (*Placement, Refusal) {
		request := engineRequest("p")
		request.Versions = versions
		return registry.Choose(0, request)
	}
	for range 20 {
		placement, refused := choose(delivery.NewFilter("new", true, nil, nil))
		require.NotNil(t, placement, refused)
		assert.EqualValues(t, "new", placement.Worker.Software)
		placement, refused = choose(delivery.NewFilter("new", true, map[fleet.EngineID]bool{"e400": true}, nil))
		require.NotNil(t, placement, refused)
		assert.Equal(t, fleet.EngineID("e400"), placement.Worker.ID)
		assert.Less(t, placement.Looked, manyEngines/4)
		placement.End(0, Cancelled)
		placement, refused = choose(delivery.NewFilter("new", false, nil, nil))
		require.NotNil(t, placement, refused)
		assert.Empty(t, placement.Worker.Software)
	}
	old := delivery.NewFilter("newer", false, nil, nil)
	placement, refused := choose(delivery.NewFilter("newer", true, nil, old))
	require.NotNil(t, placement, refused, "nobody has it: what holds then")
	_, refused = choose(delivery.NewFilter("newer", true, nil, nil))
	assert.Equal(t, ReasonNoWorker, refused.Reason)
}

// TestHolderAmongManyIsFound also the one of the request's session.
func TestHolderAmongManyIsFound(t *testing.T) {
	registry := withManyEngines()
	scope := Scope(testModel, 1, "t", false)
	shared := []PartChange{{true, scope, "common"}, {true, scope, "p"}}
	registry.ObserveCache(fleet.EngineRun{Engine: "e200"}, true, shared)
	for range 10 {
		placement, _ := registry.Choose(0, engineRequest("p"))
		assert.Equal(t, fleet.EngineID("e200"), placement.Worker.ID)
		placement.End(0, Cancelled)
	}
	for number := range manyEngines {
		registry.ObserveCache(fleet.EngineRun{Engine: engineWorker(number, 1).ID}, true, shared)
	}
	registry.ObserveCache(fleet.EngineRun{Engine: "e321"}, false, []PartChange{{true, scope, "own-p"}})
	for range 10 {
		placement, _ := registry.Choose(0, engineRequest("p"))
		assert.Equal(t, fleet.EngineID("e321"), placement.Worker.ID)
		placement.End(0, Cancelled)
	}
}

// homesOf returns the home of many prompts.
func homesOf(registry *Registry, prompts int) []fleet.EngineID {
	homes := make([]fleet.EngineID, prompts)
	for number := range homes {
		found, _ := registry.candidates(0, engineRequest(fmt.Sprint("p", number)))
		homes[number] = found.home(2).worker.ID
	}
	return homes
}

// TestHomesStayWhenEnginesComeAndGo, are the same wherever rows came in another order, and
// are spread over the engines.
func TestHomesStayWhenEnginesComeAndGo(t *testing.T) {
	const prompts = 4000
	first, second := withManyEngines(), newTestRegistry()
	for number := range manyEngines {
		second.Observe(1, engineWorker(manyEngines-1-number, 1))
	}
	homes := homesOf(first, prompts)
	assert.Equal(t, homes, homesOf(second, prompts))
	counts := make(map[fleet.EngineID]int)
	for _, home := range homes {
		counts[home]++
	}
	for _, count := range counts {
		assert.Less(t, count, 5*prompts/manyEngines)
	}
	first.ObserveGone(0, manyEngines+1, "e3")
	first.Observe(manyEngines+2, engineWorker(manyEngines, 1))
	moved := 0
	for number, home := range homesOf(first, prompts) {
		if home != homes[number] {
			moved++
		}
	}
	assert.Less(t, moved, 5*2*prompts/manyEngines)
}
