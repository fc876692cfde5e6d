package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDrainingIsNotRevokedWithinRun in its run: no row, no return of a row that went, no
// subset that lacked the worker for a time.
func TestDrainingIsNotRevokedWithinRun(t *testing.T) {
	registry := newPlainRegistry(2)
	draining := plainWorker(0)
	placement := choose(registry, &Request{Service: "plain"})
	assert.Equal(t, StartedDraining, registry.ObserveDraining(DrainingRun{Worker: "p0"}))
	assert.Equal(t, Unchanged, registry.ObserveDraining(DrainingRun{Worker: "p0"}), "said again")
	placement.End(0, Succeeded)
	onlyTheOther := func(moment string) {
		t.Helper()
		assert.False(t, registry.CanSend(time.Minute, &draining), moment)
		assert.True(t, registry.IsDraining("p0"), moment)
		for range 30 {
			assert.Equal(t, "p1", string(choosePlain(t, registry, time.Minute).Worker.ID), moment)
		}
	}
	onlyTheOther("said in an answer")
	registry.Observe(10, draining)
	onlyTheOther("a later row")
	registry.ObserveGone(time.Second, 11, "p0")
	registry.Observe(12, draining)
	onlyTheOther("a row that came back")
	registry.ObserveGone(time.Second, 13, "p0")
	require.Len(t, registry.Forget(time.Minute, time.Second), 1)
	assert.True(t, registry.IsDraining("p0"), "forgotten")
	registry.Observe(14, draining)
	onlyTheOther("a row after it was forgotten")
	assert.Equal(t, []DrainingRun{{Worker: "p0"}}, registry.UnpublishedDraining())
	draining.Draining = true
	registry.Observe(15, draining)
	assert.Empty(t, registry.UnpublishedDraining(), "the row says so as well")
}

// TestDrainingEndsWithItsRun and only with a run that started later.
func TestDrainingEndsWithItsRun(t *testing.T) {
	registry := newTestRegistry()
	worker := plainWorker(0)
	worker.StartTime = 1000
	registry.Observe(1, worker)
	assert.Equal(t, Unchanged, registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 900}), "another run's word")
	assert.Equal(t, StartedDraining, registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 1000}))
	worker.StartTime = 2000
	assert.Equal(t, Restarted, registry.Observe(2, worker))
	assert.False(t, registry.IsDraining("p0"))
	assert.True(t, registry.CanSend(0, &worker))
	assert.Equal(t, Unchanged, registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 1000}), "late word of the former")

	registry.ObserveDraining(DrainingRun{Worker: "p0", StartTime: 2000})
	registry.ObserveGone(0, 3, "p0")
	registry.Forget(time.Minute, time.Second)
	worker.StartTime = 1500
	registry.Observe(4, worker)
	assert.True(t, registry.IsDraining("p0"), "an older run than the one that drained")
	registry.ObserveGone(time.Minute, 5, "p0")
	registry.Forget(time.Hour, time.Second)
	worker.StartTime = 3000
	registry.Observe(6, worker)
	assert.False(t, registry.IsDraining("p0"))
}

// TestDrainingSurvivesDropFromSubset since the row is read anew once it is in use again.
func TestDrainingSurvivesDropFromSubset(t *testing.T) {
	registry := newPlainRegistry(2)
	registry.ObserveDraining(DrainingRun{Worker: "p0"})
	registry.mutex.Lock()
	registry.drop("p0", registry.workers["p0"])
	registry.mutex.Unlock()
	registry.Observe(1, plainWorker(0))
	assert.True(t, registry.IsDraining("p0"))
}

// TestForgottenDrainingRunsExpire as workers come and go for ever.
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

// TestServiceWithAllWorkersDrainingIsRefused rather than after a time in which nobody comes.
func TestServiceWithAllWorkersDrainingIsRefused(t *testing.T) {
	registry := newPlainRegistry(2)
	for number := range 2 {
		registry.ObserveDraining(DrainingRun{Worker: plainWorker(number).ID})
	}
	placement, refusal := registry.Choose(0, &Request{Service: "plain"})
	assert.Nil(t, placement)
	assert.Equal(t, ReasonNoWorker, refusal.Reason)
}

// TestCanSendEndsWithLapsedGracePeriod after the moment for which rows may go by mistake.
func TestCanSendEndsWithLapsedGracePeriod(t *testing.T) {
	registry := newPlainRegistry(1)
	worker := plainWorker(0)
	assert.True(t, registry.CanSend(0, &worker))
	registry.ObserveGone(time.Second, 5, "p0")
	assert.True(t, registry.CanSend(time.Second+lapsedGracePeriod-1, &worker))
	assert.False(t, registry.CanSend(time.Second+lapsedGracePeriod, &worker))
}

// TestPartsAreImportedFromDrainingEngine until it has gone: nobody else may hold them.
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

// TestDeferredRequestIsNotAFailure, unlike other rejections: it says when to come again.
func TestDeferredRequestIsNotAFailure(t *testing.T) {
	registry := newPlainRegistry(1)
	choosePlain(t, registry, 0).End(0, Deferred)
	assert.Zero(t, registry.workers["p0"].failureRate(0))
	assert.True(t, registry.workers["p0"].isReady(0))
	choosePlain(t, registry, 0).End(0, Refused)
	assert.Positive(t, registry.workers["p0"].failureRate(0))
}
