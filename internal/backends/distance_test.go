package backends

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// twoRegions has zones a and b in one region and zone c in another.
var twoRegions = Regions{"a": "north", "b": "north", "c": "south"}

// newZonedRegistry returns a registry in zone a with engines and plain workers spread over the
// zones.
func newZonedRegistry(engines int, zones ...fleet.ZoneName) *Registry {
	registry := New(Options{
		Zone: "a", Regions: twoRegions, Random: newTestRegistry().options.Random, Scheduling: scheduling.DefaultOptions(),
	})
	for number := range engines {
		worker := engineWorker(number, 1)
		worker.Zone = zones[number%len(zones)]
		registry.Observe(1, worker)
		plain := plainWorker(number)
		plain.Zone = worker.Zone
		registry.Observe(1, plain)
	}
	return registry
}

func TestUnknownZonesCountAsSameRegion(t *testing.T) {
	assert.Equal(t, SameZone, twoRegions.Between("a", "a"))
	assert.Equal(t, SameRegion, twoRegions.Between("a", "b"))
	assert.Equal(t, OtherRegion, twoRegions.Between("b", "c"))
	assert.Equal(t, SameRegion, twoRegions.Between("a", "nowhere"))
	assert.Equal(t, SameZone, twoRegions.Between("nowhere", "nowhere"))
	assert.Equal(t, SameRegion, Regions(nil).Between("a", "c"))
}

// TestNextZoneTakesOverWhenNearZoneIsFull guards against using distant plain workers too early, or
// not at all under load.
func TestNextZoneTakesOverWhenNearZoneIsFull(t *testing.T) {
	registry := newZonedRegistry(3, "a", "b", "c")
	counts := map[fleet.ZoneName]int{}
	slots := plainWorker(0).Slots
	for range slots / 2 {
		counts[choosePlain(t, registry, 0).Worker.Zone]++
	}
	assert.Equal(t, map[fleet.ZoneName]int{"a": slots / 2}, counts)
	for range 3 * slots {
		counts[choosePlain(t, registry, 0).Worker.Zone]++
	}
	assert.GreaterOrEqual(t, counts["a"], counts["b"])
	assert.Greater(t, counts["b"], counts["c"])
	assert.Positive(t, counts["c"])
	registry.ObserveGone(0, 100, "p0")
	registry.ObserveGone(0, 100, "p1")
	assert.EqualValues(t, "c", choosePlain(t, registry, 0).Worker.Zone, "the near workers are gone")
}

// TestNearEnginesAreChosenFirst guards against using distant engines before queues at near ones
// outweigh the distance, in exhaustive and in sampled searches.
func TestNearEnginesAreChosenFirst(t *testing.T) {
	for _, engines := range []int{9, 3 * manyEngines} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			registry := newZonedRegistry(engines, "a", "b", "c")
			request := func(number int) *Request {
				request := engineRequest(fmt.Sprint("p", number))
				request.Engine.Parts = request.Engine.Parts[2:]
				request.Engine.PromptTokens = 300
				request.Bytes = 2000
				return request
			}
			placement, _ := registry.Choose(0, request(0))
			assert.EqualValues(t, "a", placement.Worker.Zone)
			setQueue(registry, "a", 2000)
			placement, _ = registry.Choose(0, request(1))
			assert.EqualValues(t, "b", placement.Worker.Zone)
			setQueue(registry, "b", 8000)
			setQueue(registry, "a", 8000)
			placement, _ = registry.Choose(0, request(2))
			assert.EqualValues(t, "c", placement.Worker.Zone)
		})
	}
}

// setQueue gives each engine of a zone the same prefill load.
func setQueue(registry *Registry, zone fleet.ZoneName, tokens int) {
	for _, state := range registry.workers {
		if state.worker.Zone == zone && state.worker.Service == "engines" {
			state.prefillTokens, state.priorities[0].PrefillTokens = tokens, int32(tokens)
			registry.updateLevel(state)
		}
	}
}

// TestPartsAreImportedFromNearestHolder guards against importing parts over a longer distance than
// necessary.
func TestPartsAreImportedFromNearestHolder(t *testing.T) {
	registry := newZonedRegistry(6, "a", "b", "c")
	scope := Scope(testModel, 1, "t", false)
	parts := []PartChange{{true, scope, "common"}, {true, scope, "p"}}
	from := func(storeZone fleet.ZoneName) fleet.Address {
		request := engineRequest("p")
		request.Engine.StoreZone, request.Engine.StoreMegabits = storeZone, request.Engine.LinkMegabits
		for _, id := range []fleet.EngineID{"e1", "e2", "e3", "e4", "e5"} {
			request.Excluded = append(request.Excluded, fleet.EngineRun{Engine: id})
		}
		placement, refusal := registry.Choose(0, request)
		require.NotNil(t, placement, refusal)
		defer placement.End(0, Cancelled)
		return placement.Engine.ImportFrom
	}
	registry.ObserveCache(fleet.EngineRun{Engine: "e2"}, true, parts)
	assert.Equal(t, registry.workers["e2"].worker.Address, from("a"), "no other holder")
	registry.ObserveCache(StoreRun(testStore), true, parts)
	assert.Equal(t, testStore, from("b"))
	assert.Equal(t, registry.workers["e2"].worker.Address, from("c"), "the engine is as near as the store, whose link is shared")
	registry.ObserveCache(fleet.EngineRun{Engine: "e4"}, true, parts)
	assert.Equal(t, registry.workers["e4"].worker.Address, from("b"))
	registry.ObserveCache(fleet.EngineRun{Engine: "e3"}, true, parts)
	for range 10 {
		assert.Equal(t, registry.workers["e3"].worker.Address, from("a"))
	}
}

// TestCopyTargetIsNear guards against copies in another zone or region although a nearer engine is
// available.
func TestCopyTargetIsNear(t *testing.T) {
	registry := newZonedRegistry(30, "a", "b", "c")
	zones := map[Distance]int{}
	for range 100 {
		placement, _ := registry.Choose(0, copiedRequest())
		if target := placement.Engine.CopyTo; target.ID != "" {
			zones[twoRegions.Between(placement.Worker.Zone, target.Zone)]++
		}
		placement.End(0, Succeeded)
	}
	assert.Greater(t, zones[SameZone], 4*zones[SameRegion])
	assert.Greater(t, zones[SameRegion], zones[OtherRegion])
	for id, state := range registry.workers {
		if state.worker.Zone == "a" && id != "e0" {
			registry.ObserveGone(0, 100, id)
		}
	}
	otherRegion := 0
	for range 50 {
		placement, _ := registry.Choose(0, copiedRequest())
		if placement.Worker.ID == "e0" && placement.Engine.CopyTo.Zone == "c" {
			otherRegion++
		}
		placement.End(0, Succeeded)
	}
	assert.Less(t, otherRegion, 5, "the other zone of the same region is nearer")
}
