package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// reservedFor returns the engines reserved for long prompts, or nil if the pool is not partitioned.
func (r *Registry) reservedFor(now time.Duration, service fleet.PoolName) map[fleet.EngineID]bool {
	if _, partitioned := r.longPromptBound(now, r.poolOf(service)); !partitioned {
		return nil
	}
	forShort := r.reservedForOtherSize(now, r.poolOf(service), &EngineRequest{PromptTokens: 1})
	reserved := make(map[fleet.EngineID]bool)
	for id, state := range r.workers {
		if forShort(state) {
			reserved[id] = true
		}
	}
	return reserved
}

// TestNodesAgreeOnEnginesForLongPrompts guards against different partitions on nodes that receive
// different prompt sizes.
func TestNodesAgreeOnEnginesForLongPrompts(t *testing.T) {
	first, second := newEngineRegistry(), newEngineRegistry()
	service := engineRequest("p").Service
	first.recordWork(0, service, &EngineRequest{PromptTokens: 9000}, 3000)
	second.recordWork(0, service, &EngineRequest{PromptTokens: 500}, 1000)
	assert.Nil(t, first.reservedFor(0, service), "only one prompt size is known")
	first.ObservePeer(0, "second", PeerReport{Work: second.OwnWork(0)})
	second.ObservePeer(0, "first", PeerReport{Work: first.OwnWork(0)})
	reserved := first.reservedFor(0, service)
	assert.NotEmpty(t, reserved)
	assert.Equal(t, reserved, second.reservedFor(0, service))
	assert.Len(t, reserved, 5, "three quarters of six engines, rounded")
}

func TestRecordedWorkDecays(t *testing.T) {
	own := &workTracker{}
	own.record(0, true, 8*time.Second)
	own.record(0, false, 4*time.Second)
	assert.Equal(t, Work{Long: 4 * time.Second, Short: 2 * time.Second}, own.work(workHalfLife))
	longEngines, partitioned := Work{Long: 4, Short: 2}.enginesForLong(12)
	assert.True(t, partitioned)
	assert.Equal(t, 8, longEngines)
}
