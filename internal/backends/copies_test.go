package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// copiedRequest returns a request that is to be copied to another engine.
func copiedRequest() *Request {
	request := engineRequest("p")
	request.Engine.WantsCopy = true
	return request
}

// TestCopyTargetRunsSameVersion guards against copies at the engine itself, at engines with another
// model version, or mostly in another zone.
func TestCopyTargetRunsSameVersion(t *testing.T) {
	registry := newTestRegistry()
	for number := range engineCount {
		worker := engineWorker(number, 1)
		if number >= engineCount/2 {
			worker.Zone = "b"
		}
		registry.Observe(1, worker)
	}
	registry.Observe(1, engineWorker(engineCount, 2))
	otherZone := 0
	for range 200 {
		placement, refusal := registry.Choose(0, copiedRequest())
		require.NotNil(t, placement, refusal)
		target := placement.Engine.CopyTo
		if target.ID != "" {
			assert.NotEqual(t, placement.Worker.ID, target.ID)
			assert.Equal(t, placement.Engine.Version, target.Versions[testModel])
			if target.Zone != placement.Worker.Zone {
				otherZone++
			}
		}
		placement.End(0, Succeeded)
	}
	assert.Less(t, otherZone, 40)
	placement, _ := registry.Choose(0, engineRequest("p"))
	assert.Empty(t, placement.Engine.CopyTo.ID, "no copy was requested")
}

// TestEveryRequestGetsCopyTargetInSmallPool guards against requests without a copy although another
// engine could keep it: the sample could consist of the chosen engine alone.
func TestEveryRequestGetsCopyTargetInSmallPool(t *testing.T) {
	registry := newTestRegistry()
	for number := range 2 {
		registry.Observe(1, engineWorker(number, 1))
	}
	for range 2000 {
		placement, refusal := registry.Choose(0, copiedRequest())
		require.NotNil(t, placement, refusal)
		require.NotEmpty(t, placement.Engine.CopyTo.ID)
		placement.End(0, Succeeded)
	}
}

// TestContinueUsesCopyTarget guards against resuming a request elsewhere than at its copy, or
// without counting it there.
func TestContinueUsesCopyTarget(t *testing.T) {
	registry := newEngineRegistry()
	lost, _ := registry.Choose(0, copiedRequest())
	target := lost.Engine.CopyTo
	require.NotEmpty(t, target.ID)
	lost.End(0, Lost)
	placement := registry.Continue(0, lost, testModel)
	require.NotNil(t, placement)
	assert.Equal(t, target.ID, placement.Worker.ID)
	assert.Equal(t, target.Address, placement.Engine.ContinueAt)
	assert.Equal(t, lost.Engine.Scope, placement.Engine.Scope)
	assert.Equal(t, 1, registry.workers[target.ID].inFlight)
	placement.End(0, Succeeded)
	assert.Zero(t, registry.workers[target.ID].inFlight)
}

// TestContinueRejectsUnusableCopyTarget guards against resuming at an engine that is draining, gone
// or has another model version.
func TestContinueRejectsUnusableCopyTarget(t *testing.T) {
	for name, change := range map[string]func(*Registry, Worker){
		"other version": func(registry *Registry, target Worker) { registry.ObserveVersion(target.ID, testModel, 2) },
		"gone":          func(registry *Registry, target Worker) { registry.ObserveGone(0, 100, target.ID) },
		"draining": func(registry *Registry, target Worker) {
			target.Draining = true
			registry.Observe(100, target)
		},
	} {
		t.Run(name, func(t *testing.T) {
			registry := newEngineRegistry()
			lost, _ := registry.Choose(0, copiedRequest())
			require.NotEmpty(t, lost.Engine.CopyTo.ID)
			lost.End(0, Lost)
			change(registry, lost.Engine.CopyTo)
			assert.Nil(t, registry.Continue(0, lost, testModel))
		})
	}
}

// TestCopyAtSilentEngineIsNotUsed guards against streams that continue at an engine that is silent
// too, and against breaking them off for one that isn't ready.
func TestCopyAtSilentEngineIsNotUsed(t *testing.T) {
	registry := newTestRegistry()
	for number := range 2 {
		registry.Observe(1, engineWorker(number, 1))
	}
	lost, _ := registry.Choose(0, copiedRequest())
	holder := lost.Engine.CopyTo.ID
	require.NotEmpty(t, holder)
	assert.True(t, registry.CanContinue(0, lost, testModel))
	registry.ObserveProbe(0, time.Second, holder)
	assert.False(t, registry.CanContinue(0, lost, testModel), "not ready")
	registry.ObserveSilence(0, holder)
	assert.False(t, registry.CanContinue(2*time.Second, lost, testModel), "trial due")
	assert.Nil(t, registry.Continue(2*time.Second, lost, testModel))
	registry.ObserveContact(2*time.Second, holder)
	assert.True(t, registry.CanContinue(2*time.Second, lost, testModel))
	assert.NotNil(t, registry.Continue(2*time.Second, lost, testModel))
}
