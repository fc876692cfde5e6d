package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// versionedWorker returns a plain worker of a software version.
func versionedWorker(number int, version fleet.SoftwareVersion) Worker {
	worker := plainWorker(number)
	worker.Software = version
	return worker
}

// TestStreamIsPlacedAtItsVersionOnly guards against a stream that goes on at another software version,
// also where the versions that a delivery allows have fallbacks or its own version has no worker left.
func TestStreamIsPlacedAtItsVersionOnly(t *testing.T) {
	registry := newTestRegistry()
	for number := range 8 {
		registry.Observe(1, versionedWorker(number, []fleet.SoftwareVersion{"v1", "v2"}[number%2]))
	}
	avoidsOne := delivery.NewFilter("v1", false, nil, delivery.NewFilter("", false, nil, nil))
	for _, software := range []*delivery.Filter{nil, avoidsOne} {
		request := &Request{Service: "plain", Software: software, Origin: streamorigin.Only("v1")}
		for range 50 {
			placement, refusal := registry.Choose(0, request)
			require.NotNil(t, placement, refusal)
			assert.Equal(t, fleet.SoftwareVersion("v1"), placement.Worker.Software)
		}
		assert.True(t, registry.HasElsewhere(0, request, ""))
	}
	for _, origin := range []streamorigin.Constraint{streamorigin.None(), streamorigin.Only("v3"), streamorigin.Only("")} {
		request := &Request{Service: "plain", Software: avoidsOne, Origin: origin}
		placement, refusal := registry.Choose(0, request)
		assert.Nil(t, placement)
		assert.Equal(t, ReasonNoWorker, refusal.Reason)
		assert.False(t, registry.HasElsewhere(0, request, ""))
	}
}

// TestFullVersionLeavesOthersOpen guards against new requests that are refused since a scan for a stream
// found all engines of the stream's own version full.
func TestFullVersionLeavesOthersOpen(t *testing.T) {
	registry := newTestRegistry()
	registry.options.ExhaustiveLimit = 1
	for number := range 12 {
		worker := engineWorker(number, 1)
		worker.Software, worker.Slots = "v1", 1
		if number > 0 {
			worker.Software, worker.Slots = "v2", 64
		}
		registry.Observe(1, worker)
	}
	old := engineRequest("p")
	old.Origin = streamorigin.Only("v1")
	full := false
	for range 200 {
		placement, refusal := registry.Choose(0, old)
		full = full || placement == nil && refusal.Reason == ReasonFull
	}
	require.True(t, full)
	placement, refusal := registry.Choose(0, engineRequest("p"))
	assert.NotNil(t, placement, refusal)
}

// TestCopyStaysAtItsSoftwareVersion guards against runs that are copied to, or continue at, an engine of
// another software version.
func TestCopyStaysAtItsSoftwareVersion(t *testing.T) {
	registry := newTestRegistry()
	for number := range 6 {
		worker := engineWorker(number, 1)
		worker.Software = []fleet.SoftwareVersion{"v1", "v2", "v3"}[number%3]
		registry.Observe(1, worker)
	}
	for round := range 50 {
		placement, refusal := registry.Choose(0, copiedRequest())
		require.NotNil(t, placement, refusal)
		target := placement.Engine.CopyTo
		require.NotEmpty(t, target.ID)
		assert.Equal(t, placement.Worker.Software, target.Software)
		assert.True(t, registry.CanContinue(time.Second, placement, testModel))
		replaced := target
		replaced.Software = "v4"
		registry.Observe(fleet.Revision(2*round+2), replaced)
		assert.False(t, registry.CanContinue(time.Second, placement, testModel))
		registry.Observe(fleet.Revision(2*round+3), target)
		placement.End(time.Second, Succeeded)
	}
}
