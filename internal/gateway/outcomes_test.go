package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestOutcomesPassBetweenGateways guards against reports that lose the rejections at a worker, or name
// one that the receiver doesn't know.
func TestOutcomesPassBetweenGateways(t *testing.T) {
	one, other := newTestGateway(t), newTestGateway(t)
	for number, id := range []fleet.EngineID{"known", "unknown"} {
		worker := backends.Worker{ID: id, Service: "app", Slots: 4}
		one.workers.Observe(fleet.Revision(number+1), worker)
		if id == "known" {
			other.workers.Observe(fleet.Revision(number+1), worker)
		}
		for range 2 {
			placement, refusal := one.workers.Choose(0, &backends.Request{Service: "app"})
			require.NotNil(t, placement, refusal.Reason)
			placement.End(0, backends.Refused)
		}
	}
	require.Len(t, one.workers.OwnOutcomes(0), 2)
	decoded := other.decodeOutcomes(one.encodeOutcomes(0))
	require.Len(t, decoded, 1)
	assert.Equal(t, fleet.EngineID("known"), decoded[0].Worker)
	assert.Positive(t, decoded[0].Rejected)
}
