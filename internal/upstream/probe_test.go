package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// A probe must distinguish a live worker from a dead one and respect the limit on connections.
func TestProbeDistinguishesLiveAndDeadWorkers(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	pool := NewPool(Options{DialTimeout: 200 * time.Millisecond})
	defer pool.CloseIdle()
	destination := Destination{Engine: "w", Address: fleet.Address(listener.Addr().String()), MaxConnections: 1}
	assert.Equal(t, Alive, pool.Probe(context.Background(), destination))
	assert.Equal(t, 1, pool.OpenConnections(), "the connection is kept for reuse")
	assert.Equal(t, LivenessUnknown, pool.Probe(context.Background(), destination), "the connection limit is reached")
	pool.CloseIdleTo("w")
	require.NoError(t, listener.Close())
	assert.Equal(t, Dead, pool.Probe(context.Background(), destination))
	assert.Zero(t, pool.OpenConnections())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, LivenessUnknown, pool.Probe(ctx, destination))
	assert.Zero(t, pool.OpenConnections())
}
