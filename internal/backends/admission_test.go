package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// admissionOf returns an admission function with a fixed state for each worker.
func admissionOf(admissions map[fleet.EngineID]Admission, reopensIn time.Duration) func(*Worker) (Admission, time.Duration) {
	return func(worker *Worker) (Admission, time.Duration) {
		if admissions[worker.ID] == AdmissionClosed {
			return AdmissionClosed, reopensIn
		}
		return admissions[worker.ID], 0
	}
}

// TestClosedWorkerGetsNoRequest guards against sending requests to a worker that admits none, and
// against a refusal without the time at which it reopens.
func TestClosedWorkerGetsNoRequest(t *testing.T) {
	registry := newEngineRegistry()
	closed := make(map[fleet.EngineID]Admission)
	for number := range engineCount - 1 {
		closed[engineWorker(number, 1).ID] = AdmissionClosed
	}
	open := engineWorker(engineCount-1, 1).ID
	request := engineRequest("p")
	request.Admission = admissionOf(closed, 3*time.Second)
	for range 20 {
		placement, refusal := registry.Choose(0, request)
		require.NotNil(t, placement, refusal)
		assert.Equal(t, open, placement.Worker.ID)
		placement.End(0, Succeeded)
	}
	closed[open] = AdmissionClosed
	placement, refusal := registry.Choose(0, request)
	assert.Nil(t, placement)
	assert.Equal(t, Refusal{Reason: ReasonLimited, RetryAfter: 3 * time.Second}, refusal)
}

// TestLimitedWorkerIsNotPenalized guards against counting refusals and latency of a worker with a
// request limit as failures or slowness.
func TestLimitedWorkerIsNotPenalized(t *testing.T) {
	registry := newEngineRegistry()
	request := engineRequest("p")
	limited := make(map[fleet.EngineID]Admission)
	for number := range engineCount {
		limited[engineWorker(number, 1).ID] = AdmissionLimited
	}
	request.Admission = admissionOf(limited, 0)
	now := time.Second
	for range 10 {
		placement, refusal := registry.Choose(now, request)
		require.NotNil(t, placement, refusal)
		assert.True(t, placement.Limited)
		placement.End(now, Refused)
		assert.Zero(t, registry.workers[placement.Worker.ID].failureRate(now))
		placement, _ = registry.Choose(now, request)
		now += 5 * time.Second
		placement.FirstByte(now)
		placement.End(now, Succeeded)
		assert.Equal(t, enginespeed.Unknown(), registry.workers[placement.Worker.ID].speed)
	}
	assert.Zero(t, registry.speedEstimateOf(request.Service).slotTime)
}

// TestLimitedWorkerHoldsNoCopy guards against copies at engines that may not admit the request when
// it has to be resumed there.
func TestLimitedWorkerHoldsNoCopy(t *testing.T) {
	registry := newEngineRegistry()
	request := copiedRequest()
	limited := make(map[fleet.EngineID]Admission)
	for number := range engineCount / 2 {
		limited[engineWorker(number, 1).ID] = AdmissionLimited
	}
	request.Admission = admissionOf(limited, 0)
	for range 100 {
		placement, refusal := registry.Choose(0, request)
		require.NotNil(t, placement, refusal)
		assert.Equal(t, AdmissionUnlimited, limited[placement.Engine.CopyTo.ID])
		placement.End(0, Succeeded)
	}
}
