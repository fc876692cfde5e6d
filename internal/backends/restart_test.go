package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestRestartReplacesRun has it come back under its identifier: nothing that was
// believed of the former run holds, and late word of that changes nothing.
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
	registry.ObserveOrder(first.ID, time.Hour)
	second := first
	second.StartTime, second.Versions = 2000, map[fleet.ModelName]ModelVersion{testModel: 1}
	assert.Equal(t, Restarted, registry.Observe(5, second))
	assert.Zero(t, registry.InFlight(0, first.ID), "the send under way was to the former")
	assert.Zero(t, held())
	assert.EqualValues(t, 1, registry.Workers()[0].Versions[testModel], "it has what it says, not what the former had")
	placement.End(0, Lost)
	assert.NotNil(t, choose(registry, engineRequest("q")), "the end of the former's run isn't the new one's failure")
	late := first
	late.Draining = true
	assert.Equal(t, Unchanged, registry.Observe(6, late), "word of the former at a newer revision")
	assert.False(t, registry.IsDraining(first.ID))
	assert.Equal(t, Unchanged, registry.Observe(3, second), "a late row")
}

// choose returns where a request would go.
func choose(registry *Registry, request *Request) *Placement {
	placement, _ := registry.Choose(0, request)
	return placement
}

// TestObserveStartDetectsRestart has a report tell of the restart before the row does.
func TestObserveStartDetectsRestart(t *testing.T) {
	registry := newTestRegistry()
	worker := engineWorker(1, 1)
	registry.Observe(1, worker)
	assert.False(t, registry.ObserveStart(worker.ID, 0))
	worker.StartTime = 1000
	assert.Equal(t, Unchanged, registry.Observe(2, worker), "the first word on its start is no restart")
	worker.Draining = true
	assert.Equal(t, StartedDraining, registry.Observe(3, worker))
	assert.False(t, registry.ObserveStart(worker.ID, 1000))
	assert.False(t, registry.ObserveStart(worker.ID, 900))
	assert.True(t, registry.ObserveStart(worker.ID, 2000))
	assert.False(t, registry.IsDraining(worker.ID))
	assert.NotNil(t, choose(registry, engineRequest("p")))
	assert.Equal(t, Unchanged, registry.Observe(4, worker), "the former's row")
	assert.False(t, registry.ObserveStart("unknown", 5))
}

// TestUnusableRowRemovesWorkerFromUse, also where nobody else is there, until a row
// names it again.
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
