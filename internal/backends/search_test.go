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

// manyEngines exceeds the number of engines that a choice examines.
const manyEngines = 500

func newLargeRegistry() *Registry {
	registry := newTestRegistry()
	for number := range manyEngines {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
	}
	return registry
}

// TestChoiceExaminesFewWorkersAtAnySize guards against choices whose number of examined workers, or
// duration, grows with the fleet.
func TestChoiceExaminesFewWorkersAtAnySize(t *testing.T) {
	const choices = 400
	examined, took := map[int]int{}, map[int]time.Duration{}
	sizes := []int{100, 10_000}
	for _, engines := range sizes {
		simulated := newSimulatedFleet(engines, simulatedSlots/3, Options{Zone: "z0"})
		times := make([]time.Duration, choices)
		for number := range choices {
			simulated.step()
			request := simulated.request()
			start := time.Now()
			placement, refusal := simulated.registry.Choose(simulated.now, request)
			times[number] = time.Since(start)
			require.NotNil(t, placement, refusal)
			simulated.placements = append(simulated.placements, placement)
			examined[engines] += placement.Examined
		}
		slices.Sort(times)
		took[engines] = times[choices/2]
	}
	small, large := sizes[0], sizes[1]
	assert.Less(t, float64(examined[large]), 1.5*float64(examined[small]), "workers examined")
	assert.Less(t, examined[large], 60*choices)
	assert.Less(t, took[large], 15*took[small], "%v and %v", took[small], took[large])
}

// TestSmallFleetIsSearchedExhaustively guards against sampling in fleets that are small enough to
// compare all workers.
func TestSmallFleetIsSearchedExhaustively(t *testing.T) {
	registry := newEngineRegistry()
	placement, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, engineCount, placement.Candidates)
}

// TestOnlyWorkerWithCapacityIsFound guards against refusing requests as full while one of many
// engines has capacity.
func TestOnlyWorkerWithCapacityIsFound(t *testing.T) {
	registry := newLargeRegistry()
	for id, state := range registry.workers {
		if id != "e77" {
			state.inFlight = maxStreams(state.worker.Slots)
			registry.updateLevel(state)
		}
	}
	for range maxStreams(registry.workers["e77"].worker.Slots) {
		placement, refusal := registry.Choose(0, engineRequest("p"))
		require.NotNil(t, placement, refusal)
		assert.Equal(t, fleet.EngineID("e77"), placement.Worker.ID)
	}
	for range 3 {
		placement, refusal := registry.Choose(0, engineRequest("p"))
		require.Nil(t, placement)
		assert.Equal(t, ReasonFull, refusal.Reason)
	}
	registry.workers["e300"].inFlight--
	valid := manyEngines * scanValidityPerWorker
	placement, refusal := registry.Choose(valid, engineRequest("p"))
	require.NotNil(t, placement, "%v: the result of a full scan must expire", refusal)
}

// TestLateRefusalRequiresFullScan guards against refusing a request as late when a sample misses
// the only engine that could meet its target.
func TestLateRefusalRequiresFullScan(t *testing.T) {
	registry := newLargeRegistry()
	for id, state := range registry.workers {
		state.prefillTokens, state.priorities[1].PrefillTokens = 40_000, 40_000
		if id == "e77" {
			state.prefillTokens, state.priorities[1].PrefillTokens, state.priorities[5].PrefillTokens = 90_000, 0, 90_000
		}
		registry.updateLevel(state)
	}
	placement, refusal := registry.Choose(0, targetedRequest("p", 1000, 1))
	require.NotNil(t, placement, refusal)
	assert.Equal(t, fleet.EngineID("e77"), placement.Worker.ID)
	placement.End(0, Succeeded)
	registry.workers["e77"].priorities[1].PrefillTokens, registry.workers["e77"].prefillTokens = 40_000, 130_000
	later := time.Duration(manyEngines) * scanValidityPerWorker
	placement, refusal = registry.Choose(later, targetedRequest("p", 1000, 1))
	require.Nil(t, placement)
	assert.Equal(t, ReasonLate, refusal.Reason)
	assert.InDelta(t, 580, refusal.RetryAfter.Milliseconds(), 60, "40,000 tokens take 1,040 ms")
	registry.workers["e9"].prefillTokens, registry.workers["e9"].priorities[1].PrefillTokens = 0, 0
	registry.updateLevel(registry.workers["e9"])
	placement, refusal = registry.Choose(later, targetedRequest("q", 1000, 1))
	require.NotNil(t, placement, refusal)
}

// TestSoftwareVersionLimitsCandidates guards against choosing a worker with another software
// version than the request is limited to, or missing the few workers that have it.
func TestSoftwareVersionLimitsCandidates(t *testing.T) {
	registry := newLargeRegistry()
	for _, number := range []int{5, 400} {
		worker := engineWorker(number, 1)
		worker.Software = "new"
		registry.Observe(manyEngines+1, worker)
	}
	choose := func(software *delivery.Filter) (*Placement, Refusal) {
		request := engineRequest("p")
		request.Software = software
		return registry.Choose(0, request)
	}
	for range 20 {
		placement, refusal := choose(delivery.NewFilter("new", true, nil, nil))
		require.NotNil(t, placement, refusal)
		assert.EqualValues(t, "new", placement.Worker.Software)
		placement, refusal = choose(delivery.NewFilter("new", true, map[fleet.EngineID]bool{"e400": true}, nil))
		require.NotNil(t, placement, refusal)
		assert.Equal(t, fleet.EngineID("e400"), placement.Worker.ID)
		assert.Less(t, placement.Examined, manyEngines/4)
		placement.End(0, Cancelled)
		placement, refusal = choose(delivery.NewFilter("new", false, nil, nil))
		require.NotNil(t, placement, refusal)
		assert.Empty(t, placement.Worker.Software)
	}
	old := delivery.NewFilter("newer", false, nil, nil)
	placement, refusal := choose(delivery.NewFilter("newer", true, nil, old))
	require.NotNil(t, placement, refusal, "the fallback applies if no worker has the version")
	_, refusal = choose(delivery.NewFilter("newer", true, nil, nil))
	assert.Equal(t, ReasonNoWorker, refusal.Reason)
}

// TestHolderAmongManyIsFound guards against missing an engine that holds the shared parts, or the
// session's own part, in a large fleet.
func TestHolderAmongManyIsFound(t *testing.T) {
	registry := newLargeRegistry()
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

// promptHomes returns the homes of the given number of prompts.
func promptHomes(registry *Registry, prompts int) []fleet.EngineID {
	homes := make([]fleet.EngineID, prompts)
	for number := range homes {
		search, _ := registry.candidates(0, engineRequest(fmt.Sprint("p", number)))
		homes[number] = search.home(2).worker.ID
	}
	return homes
}

// TestHomesAreStableAcrossMembershipChanges guards against homes that depend on the order of the
// rows, are spread unevenly, or move unnecessarily when engines join and leave.
func TestHomesAreStableAcrossMembershipChanges(t *testing.T) {
	const prompts = 4000
	first, second := newLargeRegistry(), newTestRegistry()
	for number := range manyEngines {
		second.Observe(1, engineWorker(manyEngines-1-number, 1))
	}
	homes := promptHomes(first, prompts)
	assert.Equal(t, homes, promptHomes(second, prompts))
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
	for number, home := range promptHomes(first, prompts) {
		if home != homes[number] {
			moved++
		}
	}
	assert.Less(t, moved, 5*2*prompts/manyEngines)
}

// TestSpareEnginesRunOut guards against refusing requests of a shortage since the engines that a scan has
// found are full by now while others have room.
func TestSpareEnginesRunOut(t *testing.T) {
	registry := newTestRegistry()
	for number := range 10_000 {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
		state := registry.workers[engineWorker(number, 1).ID]
		state.prefillTokens, state.priorities[1].PrefillTokens = 40_000, 40_000
		if number%50 == 0 {
			state.prefillTokens, state.priorities[1].PrefillTokens, state.priorities[5].PrefillTokens = 90_000, 0, 90_000
		}
		registry.updateLevel(state)
	}
	for number := range 400 {
		placement, refusal := registry.Choose(time.Duration(number)*time.Millisecond/2, targetedRequest(fmt.Sprint("p", number), 5000, 1))
		require.NotNil(t, placement, "request %d: %v", number, refusal)
	}
}

// TestScanOfOtherRequestsIsTaken guards against refusing a request as late by the scan of one that may
// not go to the only engine in time: it is full for requests without a deadline, or silent.
func TestScanOfOtherRequestsIsTaken(t *testing.T) {
	withDeadline, repeatable := targetedRequest("p", 1000, 1), targetedRequest("p", 1000, 1)
	withDeadline.Engine.Deadline, repeatable.Repeatable = time.Second, true
	now := 1100 * time.Millisecond
	for name, test := range map[string]struct {
		request *Request
		close   func(*Registry, *workerState)
	}{
		"full": {withDeadline, func(_ *Registry, state *workerState) {
			for range maxStreams(state.worker.Slots) {
				state.begin(placedWork{priority: 5})
			}
		}},
		"silent": {repeatable, func(registry *Registry, state *workerState) {
			registry.ObserveSilence(0, state.worker.ID)
		}},
	} {
		registry := newLargeRegistry()
		for id, state := range registry.workers {
			state.prefillTokens, state.priorities[1].PrefillTokens = 40_000, 40_000
			if id == "e77" {
				state.prefillTokens, state.priorities[1].PrefillTokens, state.priorities[5].PrefillTokens = 90_000, 0, 90_000
				test.close(registry, state)
			}
			registry.updateLevel(state)
		}
		placement, _ := registry.Choose(now, targetedRequest("p", 1000, 1))
		require.Nil(t, placement, name)
		placement, refusal := registry.Choose(now, test.request)
		require.NotNil(t, placement, "%s: %v", name, refusal)
		assert.Equal(t, fleet.EngineID("e77"), placement.Worker.ID, name)
	}
}
