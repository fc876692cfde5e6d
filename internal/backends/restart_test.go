package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestRestartReplacesRun guards against a new run inheriting state from the previous run with the
// same identifier, and against stale reports on the previous run.
func TestRestartReplacesRun(t *testing.T) {
	registry := newTestRegistry()
	first := engineWorker(1, 3)
	first.StartTime = 1000
	registry.Observe(1, first)
	placement, _ := registry.Choose(0, engineRequest("p"))
	placement.FirstByte(0)
	held := func() int {
		other, _ := registry.Choose(0, engineRequest("p"))
		defer other.End(0, Cancelled)
		return other.Engine.HeldParts
	}
	require.Positive(t, held())
	registry.Cordon(first.ID, time.Hour)
	second := first
	second.StartTime, second.Versions = 2000, map[fleet.ModelName]ModelVersion{testModel: 1}
	assert.Equal(t, Restarted, registry.Observe(5, second))
	assert.Zero(t, registry.InFlight(0, first.ID), "the request in flight belongs to the previous run")
	assert.Zero(t, held())
	assert.EqualValues(t, 1, registry.Workers()[0].Versions[testModel], "the version is taken from the new row")
	placement.End(0, Lost)
	assert.NotNil(t, choose(registry, engineRequest("q")), "a failure of the previous run doesn't count for the new one")
	late := first
	late.Draining = true
	assert.Equal(t, Unchanged, registry.Observe(6, late), "report on the previous run at a newer revision")
	assert.False(t, registry.IsDraining(first.ID))
	assert.Equal(t, Unchanged, registry.Observe(3, second), "stale row")
}

// choose returns the placement of a request, or nil.
func choose(registry *Registry, request *Request) *Placement {
	placement, _ := registry.Choose(0, request)
	return placement
}

// TestObserveStartDetectsRestart guards against missing a restart that is reported before the row
// changes, and against stale start times.
func TestObserveStartDetectsRestart(t *testing.T) {
	registry := newTestRegistry()
	worker := engineWorker(1, 1)
	registry.Observe(1, worker)
	assert.False(t, registry.ObserveStart(worker.ID, 0))
	worker.StartTime = 1000
	assert.Equal(t, Unchanged, registry.Observe(2, worker), "the first known start time is not a restart")
	worker.Draining = true
	assert.Equal(t, StartedDraining, registry.Observe(3, worker))
	assert.False(t, registry.ObserveStart(worker.ID, 1000))
	assert.False(t, registry.ObserveStart(worker.ID, 900))
	assert.True(t, registry.ObserveStart(worker.ID, 2000))
	assert.False(t, registry.IsDraining(worker.ID))
	assert.NotNil(t, choose(registry, engineRequest("p")))
	assert.Equal(t, Unchanged, registry.Observe(4, worker), "row of the previous run")
	assert.False(t, registry.ObserveStart("unknown", 5))
}

// TestUnusableRowRemovesWorkerFromUse guards against using a worker with an unusable row as a last
// resort, and against not using it again after a newer row.
func TestUnusableRowRemovesWorkerFromUse(t *testing.T) {
	registry := newPlainRegistry(1)
	worker := plainWorker(0)
	assert.Equal(t, Unusable, registry.ObserveUnusable(0, 5, worker.ID))
	_, refusal := registry.Choose(0, &Request{Service: "plain"})
	assert.Equal(t, ReasonNoWorker, refusal.Reason)
	assert.Equal(t, Unchanged, registry.Observe(4, worker))
	assert.Equal(t, Returned, registry.Observe(6, worker))
	choosePlain(t, registry, 0)
	assert.Equal(t, Unchanged, registry.ObserveUnusable(0, 5, worker.ID))
	assert.Equal(t, Unchanged, registry.ObserveUnusable(0, 7, "unknown"))
}
