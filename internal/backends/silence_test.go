package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestSilentEngineGetsRequests guards against requests to a silent engine except one at a time, and
// against a silence that outlasts a sign of life.
func TestSilentEngineGetsRequests(t *testing.T) {
	registry := newEngineRegistry()
	choose := func(now time.Duration, repeatable bool) *Placement {
		request := engineRequest("p")
		request.Repeatable = repeatable
		placement, _ := registry.Choose(now, request)
		require.NotNil(t, placement)
		return placement
	}
	home := choose(0, true)
	silent := home.Worker.ID
	home.End(0, Silent)
	registry.ObserveSilence(0, silent)
	assert.Equal(t, []fleet.EngineID{silent}, registry.Suspects(0))
	assert.NotEqual(t, silent, choose(500*time.Millisecond, true).Worker.ID)
	due := 1100 * time.Millisecond
	assert.Empty(t, registry.Suspects(due), "other nodes may try it too")
	assert.NotEqual(t, silent, choose(due, false).Worker.ID, "a request that may run only once")
	trial := choose(due, true)
	assert.Equal(t, silent, trial.Worker.ID)
	assert.Equal(t, []fleet.EngineID{silent}, registry.Suspects(due), "others wait for the trial")
	assert.NotEqual(t, silent, choose(due, true).Worker.ID)
	trial.End(due, Silent)
	registry.ObserveSilence(due, silent)
	assert.NotEqual(t, silent, choose(due+1500*time.Millisecond, true).Worker.ID, "the delay doubles")
	registry.ObserveContact(due+1500*time.Millisecond, silent)
	assert.Equal(t, silent, choose(due+1500*time.Millisecond, false).Worker.ID)
}

// TestAnnouncedSuspectIsUsed guards against requests to an engine that several peers announce before
// their next reports, and against an announcement that outlasts the report.
func TestAnnouncedSuspectIsUsed(t *testing.T) {
	registry := newEngineRegistry()
	home, _ := registry.Choose(0, engineRequest("p"))
	home.End(0, Cancelled)
	suspects := []fleet.EngineID{home.Worker.ID}
	for _, peer := range []fleet.NodeID{"a", "b"} {
		registry.ObservePeer(0, peer, PeerReport{})
		registry.AddPeerSuspects(peer, suspects)
		registry.AddPeerSuspects(peer, suspects)
	}
	other, _ := registry.Choose(0, engineRequest("p"))
	assert.NotEqual(t, home.Worker.ID, other.Worker.ID)
	registry.ObservePeer(0, "a", PeerReport{})
	again, _ := registry.Choose(0, engineRequest("p"))
	assert.Equal(t, home.Worker.ID, again.Worker.ID)
}

// TestRequestsMoveWithNowhereToGo guards against moving requests while no other engine could take
// them.
func TestRequestsMoveWithNowhereToGo(t *testing.T) {
	registry := newTestRegistry()
	for number := range 2 {
		registry.Observe(1, engineWorker(number, 1))
	}
	request := engineRequest("p")
	home, _ := registry.Choose(0, request)
	silent := home.Worker.ID
	assert.True(t, registry.HasElsewhere(0, request, silent))
	var other fleet.EngineID
	for _, worker := range registry.Workers() {
		if worker.ID != silent {
			other = worker.ID
		}
	}
	registry.ObserveSilence(0, other)
	assert.False(t, registry.HasElsewhere(0, request, silent), "suspended")
	assert.False(t, registry.HasElsewhere(2*time.Second, request, silent), "trial due")
	registry.ObserveContact(0, other)
	registry.ObserveProbe(0, time.Second, other)
	assert.False(t, registry.HasElsewhere(0, request, silent), "not ready")
	assert.True(t, registry.HasElsewhere(time.Second, request, silent))
	registry.ObserveGone(0, 10, other)
	assert.False(t, registry.HasElsewhere(time.Second, request, silent), "gone")
}

// TestRelayedSignEndsSuspension guards against the end of a suspension by a sign that came by another
// node, and against trials that such signs bring forward after one has failed.
func TestRelayedSignEndsSuspension(t *testing.T) {
	registry := newEngineRegistry()
	request := engineRequest("p")
	request.Repeatable = true
	choose := func(now time.Duration) fleet.EngineID {
		placement, _ := registry.Choose(now, request)
		require.NotNil(t, placement)
		placement.End(now, Cancelled)
		return placement.Worker.ID
	}
	silent := choose(0)
	registry.ObserveSilence(0, silent)
	now := 100 * time.Millisecond
	registry.ObserveRelayedSign(now, silent)
	assert.Equal(t, silent, choose(now), "trial")
	registry.ObserveRelayedSign(now, silent)
	assert.NotEqual(t, silent, choose(now), "others wait for it")
	registry.ObserveSilence(now, silent)
	registry.ObserveRelayedSign(now, silent)
	assert.NotEqual(t, silent, choose(now), "the trial has failed")
}
