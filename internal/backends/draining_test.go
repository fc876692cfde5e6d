package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDrainingIsNotRevokedWithinRun guards against a draining run getting requests again after a
// later row, after its row returns, or after it was forgotten.
func TestDrainingIsNotRevokedWithinRun(t *testing.T) {
	registry := newPlainRegistry(2)
	draining := plainWorker(0)
	placement := choose(registry, &Request{Service: "plain"})
	assert.Equal(t, StartedDraining, registry.ObserveDraining(DrainingRun{Worker: "p0"}))
	assert.Equal(t, Unchanged, registry.ObserveDraining(DrainingRun{Worker: "p0"}), "announced again")
	placement.End(0, Succeeded)
	assertAvoided := func(situation string) {
		t.Helper()
		assert.False(t, registry.CanSend(time.Minute, &draining), situation)
		assert.True(t, registry.IsDraining("p0"), situation)
		for range 30 {
			assert.Equal(t, "p1", string(choosePlain(t, registry, time.Minute).Worker.ID), situation)
		}
	}
	assertAvoided("announced in a response")
	registry.Observe(10, draining)
	assertAvoided("later row")
	registry.ObserveGone(time.Second, 11, "p0")
	registry.Observe(12, draining)
	assertAvoided("row that returned")
	registry.ObserveGone(time.Second, 13, "p0")
	require.Len(t, registry.Forget(time.Minute, time.Second), 1)
	assert.True(t, registry.IsDraining("p0"), "forgotten")
	registry.Observe(14, draining)
	assertAvoided("row after the worker was forgotten")
	assert.Equal(t, []DrainingRun{{Worker: "p0"}}, registry.UnpublishedDraining())
	draining.Draining = true
	registry.Observe(15, draining)
	assert.Empty(t, registry.UnpublishedDraining(), "the row is draining as well")
}

// TestDrainingEndsWithItsRun guards against applying the draining state to a later run, or losing
// it to an earlier one.
func TestDrainingEndsWithItsRun(t *testing.T) {
	registry := newTestRegistry()
	worker := plainWorker(0)
	worker.StartTime = 1000
	registry.Observe(1, worker)
	assert.Equal(t, Unchanged, registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 900}), "start time of another run")
	assert.Equal(t, StartedDraining, registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 1000}))
	worker.StartTime = 2000
	assert.Equal(t, Restarted, registry.Observe(2, worker))
	assert.False(t, registry.IsDraining("p0"))
	assert.True(t, registry.CanSend(0, &worker))
	assert.Equal(t, Unchanged, registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 1000}), "stale report on the previous run")

	registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 2000})
	registry.ObserveGone(0, 3, "p0")
	registry.Forget(time.Minute, time.Second)
	worker.StartTime = 1500
	registry.Observe(4, worker)
	assert.True(t, registry.IsDraining("p0"), "run older than the draining one")
	registry.ObserveGone(time.Minute, 5, "p0")
	registry.Forget(time.Hour, time.Second)
	worker.StartTime = 3000
	registry.Observe(6, worker)
	assert.False(t, registry.IsDraining("p0"))
}

// TestDrainingSurvivesDropFromSubset guards against losing the draining state of a worker that
// leaves the subset and is observed again.
func TestDrainingSurvivesDropFromSubset(t *testing.T) {
	registry := newPlainRegistry(2)
	registry.ObserveDraining(DrainingRun{Worker: "p0"})
	registry.mutex.Lock()
	registry.drop("p0", registry.workers["p0"])
	registry.mutex.Unlock()
	registry.Observe(1, plainWorker(0))
	assert.True(t, registry.IsDraining("p0"))
}

// TestForgottenDrainingRunsExpire guards against unbounded growth of the records of forgotten runs.
func TestForgottenDrainingRunsExpire(t *testing.T) {
	registry := newTestRegistry()
	for number := range 500 {
		registry.ObserveDraining(DrainingRun{Worker: plainWorker(number).ID})
	}
	registry.Forget(time.Second, time.Second)
	assert.Len(t, registry.forgottenDraining, 500)
	registry.Forget(time.Second+drainingRetention, time.Second)
	assert.Empty(t, registry.forgottenDraining)
}

// TestServiceWithAllWorkersDrainingIsRefused guards against waiting for a worker although all of
// them are draining.
func TestServiceWithAllWorkersDrainingIsRefused(t *testing.T) {
	registry := newPlainRegistry(2)
	for number := range 2 {
		registry.ObserveDraining(DrainingRun{Worker: plainWorker(number).ID})
	}
	placement, refusal := registry.Choose(0, &Request{Service: "plain"})
	assert.Nil(t, placement)
	assert.Equal(t, ReasonNoWorker, refusal.Reason)
}

// TestCanSendEndsWithLapsedGracePeriod guards against sending to a worker whose row was deleted
// longer ago than the grace period.
func TestCanSendEndsWithLapsedGracePeriod(t *testing.T) {
	registry := newPlainRegistry(1)
	worker := plainWorker(0)
	assert.True(t, registry.CanSend(0, &worker))
	registry.ObserveGone(time.Second, 5, "p0")
	assert.True(t, registry.CanSend(time.Second+lapsedGracePeriod-1, &worker))
	assert.False(t, registry.CanSend(time.Second+lapsedGracePeriod, &worker))
}

// TestPartsAreImportedFromDrainingEngine guards against recomputing parts that a draining engine
// still holds.
func TestPartsAreImportedFromDrainingEngine(t *testing.T) {
	registry := newEngineRegistry()
	cold, _ := registry.Choose(0, engineRequest("p"))
	cold.FirstByte(0)
	registry.parts.clear(StoreRun(testStore))
	registry.ObserveDraining(DrainingRun{Worker: cold.Worker.ID})
	elsewhere, _ := registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, cold.Worker.ID, elsewhere.Worker.ID)
	assert.Equal(t, cold.Worker.Address, elsewhere.Engine.ImportFrom)
	elsewhere.End(0, Cancelled)
	registry.ObserveGone(0, 50, cold.Worker.ID)
	gone, _ := registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, cold.Worker.Address, gone.Engine.ImportFrom)
}

// TestDeferredRequestIsNotAFailure guards against counting a deferral, unlike a refusal, as a
// failure.
func TestDeferredRequestIsNotAFailure(t *testing.T) {
	registry := newPlainRegistry(1)
	choosePlain(t, registry, 0).End(0, Deferred)
	assert.Zero(t, registry.workers["p0"].failureRate(0))
	assert.True(t, registry.workers["p0"].isReady(0))
	choosePlain(t, registry, 0).End(0, Refused)
	assert.Positive(t, registry.workers["p0"].failureRate(0))
}
