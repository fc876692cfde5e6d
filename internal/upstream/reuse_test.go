package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newIdleConnection puts an idle connection into a pool, which is valid for a time.
func newIdleConnection(t *testing.T, pool *Pool, destination Destination, valid time.Duration) *connection {
	require.True(t, pool.reserve(destination))
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	conn := newConnection(destination, near, valid)
	pool.release(conn)
	return conn
}

// TestRequestMeetsConnectionThatItsWorkerCloses guards against a request that must run once on a connection that
// its silent worker closes before the request arrives.
func TestRequestMeetsConnectionThatItsWorkerCloses(t *testing.T) {
	pool := NewPool(Options{})
	anyRequest := Destination{Engine: "w"}
	once := Destination{Engine: "w", MinRemaining: time.Second}
	old := newIdleConnection(t, pool, anyRequest, 10*time.Second)
	old.expires = time.Now().Add(500 * time.Millisecond)
	taken, room := pool.acquire(once)
	assert.Nil(t, taken)
	assert.True(t, room)
	fresh := newIdleConnection(t, pool, anyRequest, time.Minute)
	taken, _ = pool.acquire(once)
	assert.Same(t, fresh, taken)
	taken, _ = pool.acquire(anyRequest)
	assert.Same(t, old, taken, "others still use it")
}

// TestRequestIsNotSentForWantOfAFreshConnection guards against a request that is refused although there is an idle
// connection, since no further one may be opened.
func TestRequestIsNotSentForWantOfAFreshConnection(t *testing.T) {
	pool := NewPool(Options{})
	once := Destination{Engine: "w", MaxConnections: 1, MinRemaining: time.Second}
	old := newIdleConnection(t, pool, once, 10*time.Second)
	old.expires = time.Now().Add(500 * time.Millisecond)
	taken, _ := pool.acquire(once)
	assert.Same(t, old, taken)
}

// TestShortKeepAliveIsNeverReused guards against a new connection for each request to a worker that keeps idle
// ones for a short time only.
func TestShortKeepAliveIsNeverReused(t *testing.T) {
	pool := NewPool(Options{})
	once := Destination{Engine: "w", MinRemaining: 3 * time.Second}
	fresh := newIdleConnection(t, pool, once, time.Second)
	taken, _ := pool.acquire(once)
	assert.Same(t, fresh, taken)
}
