package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

const stallTimeout = 3400 * time.Millisecond

// progressOf returns the progress of engines with these versions. Those below 2 are outdated.
func progressOf(versions ...uint64) rolloutProgress {
	progress := rolloutProgress{versionSums: make(map[fleet.EngineID]uint64)}
	for index, version := range versions {
		progress.versionSums[fleet.EngineID(rune('a'+index))] = version
		if version < 2 {
			progress.outdated++
		}
	}
	return progress
}

// firstStall checks progress each second of a range and returns the second at which it was first
// found stalled, 0 if it wasn't.
func firstStall(monitor *progressMonitor, from, until int, progress rolloutProgress) int {
	for second := from; second <= until; second++ {
		if monitor.observe(time.Duration(second)*time.Second, progress, stallTimeout) {
			return second
		}
	}
	return 0
}

func TestStalledRolloutIsDetected(t *testing.T) {
	var monitor progressMonitor
	assert.Equal(t, 4, firstStall(&monitor, 0, 4, progressOf(1, 1)), "engines outdated since the first check")
	assert.Equal(t, 9, firstStall(&monitor, 5, 9, progressOf(1, 2)), "one engine was updated")
	assert.Zero(t, firstStall(&monitor, 10, 20, progressOf(2, 2)), "no engine is outdated")
	assert.Zero(t, firstStall(&monitor, 30, 33, progressOf(2, 1)), "measurement restarts after a gap")
}

// TestUndirectedDeliveryIsDetected guards against missing a delivery that nobody directs while
// engines are being updated.
func TestUndirectedDeliveryIsDetected(t *testing.T) {
	var monitor progressMonitor
	undirected := progressOf(2, 2)
	undirected.undirected = true
	assert.Equal(t, 4, firstStall(&monitor, 0, 4, undirected))
	assert.Zero(t, firstStall(&monitor, 5, 5, progressOf(2, 2)), "delivery is directed")
	assert.Equal(t, 9, firstStall(&monitor, 6, 9, undirected))
}

// TestDeliveryWithoutDirectiveIsUndirected guards against counting a delivery as directed without a
// valid directive.
func TestDeliveryWithoutDirectiveIsUndirected(t *testing.T) {
	g := newTestGateway(t)
	assert.False(t, g.deliveries.hasUndirected(0))
	order := delivery.Order{Service: "app", Target: "v2", Duration: 12 * time.Second, Revision: 7}
	_, err := g.deliveries.addOrder(0, 0, order)
	require.NoError(t, err)
	assert.True(t, g.deliveries.hasUndirected(0))
	directive := delivery.Directive{Service: "app", Target: "v2", Revision: 7, Sequence: 1, Stage: delivery.StageCanary, IssuedAt: time.Second}
	g.deliveries.applyDirective(time.Second, directive)
	assert.False(t, g.deliveries.hasUndirected(2*time.Second))
	assert.True(t, g.deliveries.hasUndirected(time.Second+delivery.DirectiveLifetime+time.Millisecond), "directive has expired")
	directive.Stage, directive.Sequence = delivery.StageRolledBack, 2
	g.deliveries.applyDirective(5*time.Second, directive)
	assert.False(t, g.deliveries.hasUndirected(time.Minute), "delivery is finished")
}

// TestEngineRestartsAreNoProgress guards against counting an engine that crashes and restarts as
// progress.
func TestEngineRestartsAreNoProgress(t *testing.T) {
	var monitor progressMonitor
	assert.Zero(t, firstStall(&monitor, 0, 1, progressOf(1, 1)))
	assert.Zero(t, firstStall(&monitor, 2, 3, progressOf(1)))
	assert.Equal(t, 4, firstStall(&monitor, 4, 4, progressOf(1, 1, 1)))
}

// TestNodeWithStoreAccessBecomesFallbackCandidate guards against a rollout that stays stalled
// because all regular candidates have lost the store.
func TestNodeWithStoreAccessBecomesFallbackCandidate(t *testing.T) {
	g := newTestGateway(t)
	g.roles.Store(deriveRoles("node-000", "z0", largeFleet(195), 0, false))
	require.False(t, g.roles.Load().isCandidate)
	g.roleSettled.Store(true)
	g.workers.Observe(1, backends.Worker{ID: "engine", Service: "pool", Versions: map[fleet.ModelName]backends.ModelVersion{"model": 1}})
	g.rollout.setDesired(0, true, DesiredVersion{Model: "model", Version: 2})
	step := func(second int, proven bool) bool {
		now := time.Duration(second) * time.Second
		if proven {
			g.sources.recordProof(now, now)
		}
		g.updateFallbackCandidate(now)
		return g.isRolloutCandidate()
	}
	for second := 1; second <= 4; second++ {
		assert.False(t, step(second, true), second)
	}
	assert.True(t, step(5, true), "rollout has stalled")
	roles := deriveRoles("node-000", "z0", largeFleet(195), 0, g.fallbackCandidate.Load())
	assert.True(t, roles.sharesLoads, "a fallback candidate exchanges loads")
	assert.Len(t, roles.loadPeers, membership.DefaultMinServing+membership.DefaultCandidates)
	assert.True(t, step(6, false), "proof is 1 s old")
	assert.False(t, step(7, false), "no store access")
	assert.True(t, step(8, true))
	g.workers.ObserveVersion("engine", "model", 2)
	assert.False(t, step(9, true), "engine is up to date")
}
