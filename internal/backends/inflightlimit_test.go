package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestWorkersAtTheirInFlightLimitAreClosed guards against requests beyond a limit on those in flight, by
// this node's own count or by the peers' reports, and against a refusal that doesn't say for how long.
func TestWorkersAtTheirInFlightLimitAreClosed(t *testing.T) {
	registry := newTestRegistry()
	registry.Observe(1, Worker{ID: "w", Service: "plain", Slots: 4})
	limit := InFlightLimit{Own: 2, Total: 3, ReopensIn: time.Second}
	request := &Request{Service: "plain", InFlightLimit: func(*Worker) (InFlightLimit, bool) { return limit, true }}
	for range limit.Own {
		placement, _ := registry.Choose(0, request)
		require.NotNil(t, placement)
	}
	placement, refused := registry.Choose(0, request)
	assert.Nil(t, placement)
	assert.Equal(t, Refusal{Reason: ReasonLimited, RetryAfter: time.Second}, refused)
	limit.Own = 10
	registry.SetPeerCount(1)
	registry.ObservePeer(0, "peer", PeerReport{Loads: []Load{{Engine: "w", InFlight: 1}}})
	placement, _ = registry.Choose(0, request)
	assert.Nil(t, placement, "in flight over all nodes")
}

// TestEnginesAtTheirInFlightLimitKeepMemoryFree guards against requests that wait for memory at an engine
// which has free slots.
func TestEnginesAtTheirInFlightLimitKeepMemoryFree(t *testing.T) {
	registry := newTestRegistry()
	registry.Observe(1, engineWorker(0, 1))
	registry.SetMemoryCapacity("engines", 20_000)
	request := engineRequest("p")
	request.InFlightLimit = func(*Worker) (InFlightLimit, bool) { return InFlightLimit{Own: 8, Total: 8}, true }
	placed := 0
	for ; placed < 8; placed++ {
		if placement, _ := registry.Choose(0, request); placement == nil {
			break
		}
	}
	assert.Equal(t, 2, placed, "the third would need up to 9,000 of 8,000 tokens; its shared parts count anew")
}
