package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

const (
	testModel   = fleet.ModelName("m")
	testStore   = fleet.Address("10.9.9.9:1")
	engineCount = 6
)

func newTestRegistry() *Registry {
	return New(Options{
		Zone: "a", Random: rand.New(rand.NewPCG(1, 2)), Scheduling: scheduling.DefaultOptions(),
	})
}

func plainWorker(number int) Worker {
	return Worker{
		ID: fleet.EngineID(fmt.Sprintf("p%d", number)), Address: fleet.Address(fmt.Sprintf("10.0.0.%d:1", number)),
		Zone: "a", Service: "plain", Slots: 4,
	}
}

func engineWorker(number int, version ModelVersion) Worker {
	worker := plainWorker(number)
	worker.ID = fleet.EngineID(fmt.Sprintf("e%d", number))
	worker.Service, worker.Slots = "engines", 8
	worker.Versions = map[fleet.ModelName]ModelVersion{testModel: version}
	return worker
}

func newPlainRegistry(count int) *Registry {
	registry := newTestRegistry()
	for number := range count {
		registry.Observe(fleet.Revision(number+1), plainWorker(number))
	}
	return registry
}

func newEngineRegistry() *Registry {
	registry := newTestRegistry()
	for number := range engineCount {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
	}
	return registry
}

func choosePlain(t *testing.T, registry *Registry, now time.Duration) *Placement {
	t.Helper()
	placement, refusal := registry.Choose(now, &Request{Service: "plain"})
	require.NotNil(t, placement, refusal)
	return placement
}

func engineRequest(prefix string) *Request {
	return &Request{Service: "engines", Engine: &EngineRequest{
		Model: testModel, PromptTokens: 9000, TokenBytes: 160000, LinkMegabits: 1e6,
		Store: testStore, StoreMegabits: 2e5, Tenant: "t",
		Parts: []Part{{"common", 2500}, {prefix, 3500}, {"own-" + prefix, 3000}},
	}}
}

func TestStaleRowsChangeNothing(t *testing.T) {
	registry := newPlainRegistry(1)
	worker := plainWorker(0)
	assert.Equal(t, Gone, registry.ObserveGone(0, 10, worker.ID))
	assert.Equal(t, Unchanged, registry.Observe(9, worker), "a stale row must not bring a worker back")
	assert.Equal(t, Returned, registry.Observe(11, worker))
	assert.Equal(t, Unchanged, registry.ObserveGone(0, 10, worker.ID))
	assert.Len(t, registry.Workers(), 1)
}

func TestForgottenWorkerIsNotRevivedByALateRow(t *testing.T) {
	registry := newPlainRegistry(1)
	registry.ObserveGone(0, 10, "p0")
	assert.Equal(t, []fleet.EngineID{"p0"}, registry.Forget(time.Minute, time.Second))
	assert.Equal(t, Unchanged, registry.Observe(9, plainWorker(0)))
	assert.Empty(t, registry.Workers())
}

func TestSnapshotRemovesUnlistedWorkers(t *testing.T) {
	registry := newPlainRegistry(3)
	gone := registry.ObserveSnapshot(0, 2, map[fleet.EngineID]bool{"p0": true})
	assert.Equal(t, []fleet.EngineID{"p1"}, gone, "p2's row is newer than the read")
}

// TestDrainingWorkerGetsNoRequest guards against a later row making a draining worker available
// again.
func TestDrainingWorkerGetsNoRequest(t *testing.T) {
	registry := newPlainRegistry(2)
	draining := plainWorker(0)
	draining.Draining = true
	assert.Equal(t, StartedDraining, registry.Observe(10, draining))
	registry.Observe(11, plainWorker(0))
	for range 50 {
		assert.Equal(t, fleet.EngineID("p1"), choosePlain(t, registry, 0).Worker.ID)
	}
	registry.ObserveGone(0, 12, "p1")
	registry.ObserveGone(0, 13, "p0")
	placement, refusal := registry.Choose(lapsedGracePeriod, &Request{Service: "plain"})
	assert.Nil(t, placement)
	assert.Equal(t, ReasonNoWorker, refusal.Reason)
}

// TestLapsedWorkersAreUsedAsLastResortWithinGracePeriod guards against refusing all requests while
// rows expire because the store is unavailable.
func TestLapsedWorkersAreUsedAsLastResortWithinGracePeriod(t *testing.T) {
	registry := newPlainRegistry(2)
	registry.ObserveGone(time.Second, 10, "p0")
	for range 20 {
		assert.Equal(t, fleet.EngineID("p1"), choosePlain(t, registry, time.Second).Worker.ID)
	}
	registry.ObserveGone(time.Second, 11, "p1")
	choosePlain(t, registry, time.Second+lapsedGracePeriod-1)
	placement, _ := registry.Choose(time.Second+lapsedGracePeriod, &Request{Service: "plain"})
	assert.Nil(t, placement)
}

func TestPlainRequestsGoToLeastLoadedWorker(t *testing.T) {
	registry := newPlainRegistry(3)
	registry.ObservePeer(0, "peer", PeerReport{Loads: []Load{{Engine: "p0", InFlight: 6}}})
	counts := map[fleet.EngineID]int{}
	for range 12 {
		counts[choosePlain(t, registry, 0).Worker.ID]++
	}
	assert.Equal(t, map[fleet.EngineID]int{"p1": 6, "p2": 6}, counts, "requests of peers count")
	counts = map[fleet.EngineID]int{}
	for range 6 {
		counts[choosePlain(t, registry, 2*peerReportValidity).Worker.ID]++
	}
	assert.Equal(t, 6, counts["p0"], "expired reports don't count")
}

func TestSuspicionOfUnreachableWorkerBacksOff(t *testing.T) {
	registry := newPlainRegistry(2)
	now := time.Duration(0)
	state := registry.workers["p0"]
	for _, want := range []time.Duration{minSuspicion, 2 * minSuspicion, 4 * minSuspicion} {
		for {
			placement := choosePlain(t, registry, now)
			if placement.Worker.ID == "p0" {
				placement.End(now, Unreachable)
				break
			}
			placement.End(now, Succeeded)
			now += 50 * time.Millisecond
		}
		assert.Equal(t, want, state.suspectUntil-now)
	}
}

func TestOnlyWorkerIsUsedWhileSuspected(t *testing.T) {
	registry := newPlainRegistry(1)
	first := choosePlain(t, registry, 0)
	first.End(0, Unreachable)
	assert.False(t, first.Avoided)
	assert.True(t, choosePlain(t, registry, 0).Avoided)
}

func TestFailingWorkerGetsFewerRequests(t *testing.T) {
	registry := newPlainRegistry(3)
	counts := map[fleet.EngineID]int{}
	for step := range 600 {
		now := time.Duration(step) * 20 * time.Millisecond
		placement := choosePlain(t, registry, now)
		counts[placement.Worker.ID]++
		outcome := Succeeded
		if placement.Worker.ID == "p0" && step%2 == 0 {
			outcome = Failed
		}
		placement.End(now, outcome)
	}
	assert.Less(t, counts["p0"], 120)
	assert.Positive(t, counts["p0"], "a failing worker must be tried again")
}

func TestNodesAgreeOnHomeEngine(t *testing.T) {
	first, second := newEngineRegistry(), newEngineRegistry()
	for number := range 20 {
		prefix := fmt.Sprintf("prefix-%d", number)
		one, _ := first.Choose(0, engineRequest(prefix))
		other, _ := second.Choose(0, engineRequest(prefix))
		require.NotNil(t, one)
		require.NotNil(t, other)
		assert.Equal(t, one.Worker.ID, other.Worker.ID)
		assert.True(t, one.Engine.Home)
		one.End(0, Cancelled)
		other.End(0, Cancelled)
	}
}

func TestMissingPartsAreImportedFromEngineElseFromStore(t *testing.T) {
	registry := newEngineRegistry()
	cold, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, testStore, cold.Engine.ImportFrom)
	assert.Equal(t, testStore, cold.Engine.SaveTo)
	cold.FirstByte(0)
	warm, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, cold.Worker.ID, warm.Worker.ID)
	assert.Empty(t, warm.Engine.ImportFrom, "the engine holds the shared parts")
	assert.Empty(t, warm.Engine.SaveTo, "the store holds the parts")
	request := engineRequest("p")
	request.Excluded = []fleet.EngineRun{cold.Worker.Run()}
	elsewhere, _ := registry.Choose(0, request)
	assert.NotEqual(t, cold.Worker.ID, elsewhere.Worker.ID)
	assert.Equal(t, cold.Worker.Address, elsewhere.Engine.ImportFrom, "engines take precedence over the store, whose link is shared")
	registry.parts.clear(cold.Worker.Run())
	elsewhere, _ = registry.Choose(0, request)
	assert.Equal(t, testStore, elsewhere.Engine.ImportFrom)
}

// TestStoreSavesOnlyPartsThatNoEngineHolds guards against saving parts to the store that an engine
// still holds, and against not saving those that no engine holds completely.
func TestStoreSavesOnlyPartsThatNoEngineHolds(t *testing.T) {
	registry := newEngineRegistry()
	cold, _ := registry.Choose(0, engineRequest("p"))
	cold.FirstByte(0)
	registry.parts.clear(StoreRun(testStore))
	warm, _ := registry.Choose(0, engineRequest("p"))
	assert.Empty(t, warm.Engine.SaveTo)
	registry.parts.clear(cold.Worker.Run())
	registry.ObserveCache(cold.Worker.Run(), false, []PartChange{{true, cold.Engine.Scope, "common"}})
	again, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, testStore, again.Engine.SaveTo, "the engine holds only some of the parts")
}

// TestPartsAreNotImportedAcrossVersions guards against sharing cached parts between two model
// versions.
func TestPartsAreNotImportedAcrossVersions(t *testing.T) {
	registry := newEngineRegistry()
	cold, _ := registry.Choose(0, engineRequest("p"))
	cold.FirstByte(0)
	registry.ObserveVersion(cold.Worker.ID, testModel, 2)
	old := Scope(testModel, 1, "t", false)
	registry.ObserveCache(cold.Worker.Run(), false, []PartChange{{true, old, "common"}, {true, old, "p"}})
	request := engineRequest("p")
	request.Excluded = []fleet.EngineRun{cold.Worker.Run()}
	registry.parts.clear(StoreRun(testStore))
	elsewhere, _ := registry.Choose(0, request)
	assert.NotEqual(t, cold.Worker.Address, elsewhere.Engine.ImportFrom)
	assert.NotEqual(t, Scope(testModel, 2, "t", false), elsewhere.Engine.Scope)
}

func TestIsolatedTenantSharesNoScope(t *testing.T) {
	open := Scope(testModel, 1, "t", false)
	assert.Equal(t, open, Scope(testModel, 1, "u", false))
	assert.NotEqual(t, open, Scope(testModel, 1, "t", true))
	assert.NotEqual(t, Scope(testModel, 1, "u", true), Scope(testModel, 1, "t", true))
	assert.NotEqual(t, open, Scope(testModel, 2, "t", false))
}

func TestRequiredVersionExcludesOlderEngines(t *testing.T) {
	registry := newEngineRegistry()
	registry.ObserveVersion("e3", testModel, 2)
	registry.RequireVersion(testModel, 2)
	for range 10 {
		placement, _ := registry.Choose(0, engineRequest("p"))
		require.NotNil(t, placement)
		assert.Equal(t, fleet.EngineID("e3"), placement.Worker.ID)
		assert.EqualValues(t, 2, placement.Engine.Version)
	}
	registry.RequireVersion(testModel, 3)
	_, refusal := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, ReasonVersion, refusal.Reason)
	registry.Observe(50, engineWorker(3, 1))
	assert.EqualValues(t, 2, registry.workers["e3"].worker.Versions[testModel], "a stale row must not revert the version")
}

// TestPreferredVersionIsChosenUnlessOverloaded guards against outdated versions being chosen
// without need, and against overloading the engines with the preferred one.
func TestPreferredVersionIsChosenUnlessOverloaded(t *testing.T) {
	registry := newEngineRegistry()
	registry.ObserveVersion("e3", testModel, 2)
	registry.PreferVersion(testModel, 2)
	for number := range 10 {
		placement, _ := registry.Choose(0, engineRequest(fmt.Sprint("p", number)))
		assert.Equal(t, fleet.EngineID("e3"), placement.Worker.ID)
		placement.End(0, Cancelled)
	}
	registry.ObservePeer(0, "peer", PeerReport{Loads: []Load{{Engine: "e3", PrefillTokens: 30000}}})
	placement, _ := registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, fleet.EngineID("e3"), placement.Worker.ID)
	registry.PreferVersion(testModel, 1)
	assert.EqualValues(t, 2, registry.preferred[testModel], "the preferred version must not decrease")
}

func TestCordonedEngineGetsNoRequest(t *testing.T) {
	registry := newEngineRegistry()
	home, _ := registry.Choose(0, engineRequest("p"))
	registry.Cordon(home.Worker.ID, time.Second)
	other, _ := registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, home.Worker.ID, other.Worker.ID)
	again, _ := registry.Choose(time.Second, engineRequest("q"))
	require.NotNil(t, again)
}

// TestHotPrefixSpreadsOverEngines guards against all requests for a popular prefix queueing at its
// home.
func TestHotPrefixSpreadsOverEngines(t *testing.T) {
	registry := newEngineRegistry()
	first, _ := registry.Choose(0, engineRequest("hot"))
	first.FirstByte(0)
	used := map[fleet.EngineID]bool{}
	for number := range 12 {
		request := engineRequest("hot")
		request.Engine.Parts[2].ID = fmt.Sprint("own", number)
		placement, _ := registry.Choose(0, request)
		require.NotNil(t, placement)
		used[placement.Worker.ID] = true
	}
	assert.Greater(t, len(used), 2)
}

func TestUnusedPartsExpire(t *testing.T) {
	registry := newEngineRegistry()
	cold, _ := registry.Choose(0, engineRequest("p"))
	cold.FirstByte(0)
	cold.End(0, Succeeded)
	later, _ := registry.Choose(partLifetime, engineRequest("p"))
	assert.NotEmpty(t, later.Engine.ImportFrom)
	assert.NotEmpty(t, later.Engine.SaveTo)
}

func TestEndIsIdempotent(t *testing.T) {
	registry := newEngineRegistry()
	placement, _ := registry.Choose(0, engineRequest("p"))
	require.Len(t, registry.OwnLoad(), 1)
	assert.Equal(t, 9000, registry.OwnLoad()[0].PrefillTokens, "no engine holds the shared parts")
	placement.End(0, Lost)
	placement.End(0, Lost)
	placement.FirstByte(0)
	assert.Empty(t, registry.OwnLoad())
	assert.Zero(t, registry.workers[placement.Worker.ID].prefillTokens)
}

// TestLongAndShortPromptsUseSeparateEngines guards against long prompts delaying short ones while
// neither has to queue.
func TestLongAndShortPromptsUseSeparateEngines(t *testing.T) {
	registry := newEngineRegistry()
	short := func(number int) *Request {
		request := engineRequest(fmt.Sprint("short", number))
		request.Engine.PromptTokens = 300
		request.Engine.OutputTokens = 80
		request.Engine.Parts = []Part{{"s", 100}, {fmt.Sprint("own", number), 200}}
		return request
	}
	usedBySize := map[bool]map[fleet.EngineID]int{true: {}, false: {}}
	for step := range 400 {
		now := time.Duration(step) * 100 * time.Millisecond
		request := short(step)
		if step%4 == 0 {
			request = engineRequest(fmt.Sprint("long", step))
		}
		placement, _ := registry.Choose(now, request)
		require.NotNil(t, placement)
		placement.End(now, Succeeded)
		if step > 40 {
			usedBySize[step%4 == 0][placement.Worker.ID]++
		}
	}
	for id := range usedBySize[true] {
		assert.Zero(t, usedBySize[false][id], "engine %s takes both sizes", id)
	}
	assert.NotEmpty(t, usedBySize[true])
	assert.NotEmpty(t, usedBySize[false])
}

func TestUniformPromptSizeUsesEveryEngine(t *testing.T) {
	registry := newEngineRegistry()
	used := map[fleet.EngineID]bool{}
	for step := range 200 {
		placement, _ := registry.Choose(time.Duration(step)*100*time.Millisecond, engineRequest(fmt.Sprint("p", step)))
		placement.End(0, Succeeded)
		used[placement.Worker.ID] = true
	}
	assert.Len(t, used, engineCount)
}

// TestCacheEventsReplaceAssumedParts guards against assuming parts that the cache events of a run
// contradict.
func TestCacheEventsReplaceAssumedParts(t *testing.T) {
	registry := newEngineRegistry()
	request := engineRequest("p")
	scope := Scope(testModel, 1, "t", false)
	run := fleet.EngineRun{Engine: "e2"}
	registry.ObserveCache(run, true, []PartChange{{true, scope, "common"}, {true, scope, "p"}, {true, scope, "x"}, {false, scope, "x"}})
	placement, _ := registry.Choose(0, request)
	assert.Equal(t, fleet.EngineID("e2"), placement.Worker.ID)
	assert.Equal(t, 2, placement.Engine.HeldParts)
	placement.End(0, Cancelled)
	later, _ := registry.Choose(2*partLifetime, request)
	assert.Equal(t, 2, later.Engine.HeldParts, "parts of a tracked cache don't expire")
	later.End(0, Cancelled)
	registry.ObserveCache(run, false, []PartChange{{false, scope, "common"}})
	dropped, _ := registry.Choose(0, request)
	assert.Zero(t, dropped.Engine.MostHeldParts, "a part without the preceding one doesn't count")
	registry.ObserveCache(run, true, nil)
	registry.ObserveCache(run, false, []PartChange{{true, scope, "common"}})
	again, _ := registry.Choose(0, request)
	assert.Equal(t, 1, again.Engine.MostHeldParts)
	registry.UntrackCache(run)
	lost, _ := registry.Choose(0, request)
	assert.Zero(t, lost.Engine.MostHeldParts)
}

// TestHolderIsChosenUntilQueueOutweighsImport guards against leaving a holder too early or queueing
// at it for too long.
func TestHolderIsChosenUntilQueueOutweighsImport(t *testing.T) {
	options := scheduling.DefaultOptions()
	options.TieFraction, options.ImportWeight = 0.02, 8*time.Microsecond
	registry := New(Options{Zone: "a", Random: rand.New(rand.NewPCG(1, 2)), Scheduling: options})
	for number := range engineCount {
		registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
	}
	scope := Scope(testModel, 1, "t", false)
	registry.ObserveCache(fleet.EngineRun{Engine: "e2"}, true, []PartChange{{true, scope, "common"}, {true, scope, "p"}})
	registry.ObservePeer(0, "peer", PeerReport{Loads: []Load{{Engine: "e2", InFlight: 4, PrefillTokens: 1000}}})
	placement, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, fleet.EngineID("e2"), placement.Worker.ID)
	registry.ObservePeer(0, "peer", PeerReport{Loads: []Load{{Engine: "e2", InFlight: 4, PrefillTokens: 6000}}})
	placement, _ = registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, fleet.EngineID("e2"), placement.Worker.ID)
	assert.Equal(t, 6000, placement.Engine.ImportedTokens)
}
