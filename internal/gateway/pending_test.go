package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestOnlyPendingSendsAtOlderVersionsAreCancelled guards against cancelling sends at a current
// version, for another model, or whose response has begun.
func TestOnlyPendingSendsAtOlderVersionsAreCancelled(t *testing.T) {
	pending := newPendingSends()
	begin := func(model fleet.ModelName, version backends.ModelVersion) (context.Context, *pendingSend) {
		ctx, cancel := context.WithCancelCause(context.Background())
		send := &pendingSend{model: model, version: version, cancel: cancel}
		pending.add(send)
		return ctx, send
	}
	older, _ := begin("m", 2)
	newer, _ := begin("m", 3)
	other, _ := begin("n", 1)
	answered, send := begin("m", 2)
	pending.remove(send)
	pending.cancelStale(map[fleet.ModelName]backends.ModelVersion{"m": 3})
	assert.ErrorIs(t, context.Cause(older), errStaleVersion)
	assert.NoError(t, newer.Err())
	assert.NoError(t, other.Err())
	assert.NoError(t, answered.Err(), "the response has begun")
}
