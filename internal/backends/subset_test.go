package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// newSubsetRegistry returns a registry of engines with planned subsets.
func newSubsetRegistry(engines int, all bool) *Registry {
	registry := newTestRegistry()
	for number := range engines {
		registry.Observe(1, engineWorker(number, 1))
	}
	registry.SetSubsets(registry.PlanSubsets(0, nil), all)
	return registry
}

// TestHalvingsFollowFleetSizeAndDemand guards against subsets of the wrong size, and against
// oscillation after small changes.
func TestHalvingsFollowFleetSizeAndDemand(t *testing.T) {
	for _, test := range []struct {
		workers, minimum int
		current, want    Halvings
	}{
		{workers: 287, minimum: 192, want: 0},
		{workers: 9675, minimum: 192, want: 5},
		{workers: 20_000, minimum: 192, want: 6},
		{workers: 9675, minimum: 192, current: 6, want: 5},
		{workers: 9000, minimum: 192, current: 5, want: 5},
		{workers: 6200, minimum: 192, current: 5, want: 5},
		{workers: 6100, minimum: 192, current: 5, want: 4},
		{workers: 9675, minimum: 2000, current: 5, want: 2},
		{workers: 0, minimum: 192, current: 3, want: 0},
	} {
		assert.Equal(t, test.want, planHalvings(test.current, test.workers, test.minimum), "%+v", test)
	}
}

// TestSubsetsAreNested guards against disjoint workers on nodes whose subsets differ by a doubling.
func TestSubsetsAreNested(t *testing.T) {
	smaller, larger := Subsets{"s": 5}, Subsets{"s": 4}
	inSmaller, inLarger := 0, 0
	for number := range uint64(100_000) {
		hash := hashName(string(engineWorker(int(number), 1).ID))
		if smaller.contains("s", hash) {
			inSmaller++
			require.True(t, larger.contains("s", hash))
		}
		if larger.contains("s", hash) {
			inLarger++
		}
	}
	assert.InEpsilon(t, 100_000/32, inSmaller, 0.1)
	assert.InEpsilon(t, 100_000/16, inLarger, 0.1)
	assert.Equal(t, Subsets{"s": 3}, smaller.Widened(Subsets{"s": 2, "other": 1}))
	assert.Empty(t, smaller.Widened(Subsets{"s": 9}))
}

// TestOnlySubsetWorkersGetRequests guards against using workers outside the subset, and against
// subsets that grow with the fleet at the same demand.
func TestOnlySubsetWorkersGetRequests(t *testing.T) {
	for _, engines := range []int{10_000, 20_000} {
		registry := newSubsetRegistry(engines, true)
		inUse := make(map[fleet.EngineID]bool)
		for _, worker := range registry.WorkersInUse() {
			inUse[worker.ID] = true
		}
		assert.Len(t, registry.Workers(), engines)
		assert.InDelta(t, 300, len(inUse), 60)
		for range 500 {
			placement, refusal := registry.Choose(0, engineRequest("p"))
			require.NotNil(t, placement, refusal)
			assert.True(t, inUse[placement.Worker.ID])
		}
	}
}

// TestInFlightRequestsOutliveSubset guards against dropping a worker with requests in flight when
// it leaves the subset.
func TestInFlightRequestsOutliveSubset(t *testing.T) {
	registry := newSubsetRegistry(1000, false)
	placement, _ := registry.Choose(0, engineRequest("p"))
	registry.SetSubsets(Subsets{"engines": maxHalvings}, false)
	assert.Len(t, registry.Workers(), 1, "the other workers are dropped")
	placement.End(0, Succeeded)
	assert.Equal(t, []fleet.EngineID{placement.Worker.ID}, registry.Forget(0, time.Hour))
	assert.Empty(t, registry.Workers())
}

// TestDroppedWorkerReturnsAtSameRevision guards against ignoring the unchanged row of a worker that
// returns to the subset.
func TestDroppedWorkerReturnsAtSameRevision(t *testing.T) {
	registry := newSubsetRegistry(1000, false)
	registry.SetSubsets(nil, true)
	added := 0
	for number := range 1000 {
		if registry.Observe(1, engineWorker(number, 1)) == Added {
			added++
		}
	}
	assert.Greater(t, added, 500)
	assert.Len(t, registry.Workers(), 1000)
}

// TestSubsetWithoutCapacityIsDoubled guards against a subset that is not enlarged when it lacks
// capacity, or is enlarged more than once in the minimum interval.
func TestSubsetWithoutCapacityIsDoubled(t *testing.T) {
	registry := newSubsetRegistry(10_000, true)
	full := engineRequest("p")
	full.HasConnection = func(*Worker) bool { return false }
	before := len(registry.WorkersInUse())
	for now := time.Duration(0); now < 2*minDoublingInterval; now += minDoublingInterval / 4 {
		placement, _ := registry.Choose(now, full)
		require.Nil(t, placement)
		registry.SetSubsets(registry.PlanSubsets(0, nil), true)
	}
	assert.Equal(t, Subsets{"engines": 2}, registry.RequestedDoublings())
	assert.InDelta(t, 4*before, len(registry.WorkersInUse()), float64(before))
}

// TestExhaustedRequestDoesNotWidenSubset guards against enlarging a subset for a request that has
// already tried all of its workers.
func TestExhaustedRequestDoesNotWidenSubset(t *testing.T) {
	registry := newSubsetRegistry(10_000, true)
	for _, worker := range registry.WorkersInUse() {
		registry.Cordon(worker.ID, time.Hour)
	}
	request := engineRequest("p")
	for _, worker := range registry.WorkersInUse() {
		request.Excluded = append(request.Excluded, worker.Run())
	}
	_, refusal := registry.Choose(0, request)
	assert.Equal(t, ReasonExcluded, refusal.Reason)
	assert.Empty(t, registry.RequestedDoublings())
}
