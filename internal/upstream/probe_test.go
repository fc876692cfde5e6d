package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
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

// TestOpenConnectionProvesThatARunIsAlive guards against a new connection for each answer that ends with its
// own, and against a closed connection that is taken for proof.
func TestOpenConnectionProvesThatARunIsAlive(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dialed := 0
	pool := NewPool(Options{DialTimeout: 200 * time.Millisecond, OnDial: func(fleet.EngineID) { dialed++ }})
	defer pool.CloseIdle()
	destination := Destination{Engine: "w", Address: fleet.Address(listener.Addr().String()), MaxConnections: 1}
	assert.Equal(t, Alive, pool.ProbeRun(context.Background(), destination))
	assert.Equal(t, Alive, pool.ProbeRun(context.Background(), destination))
	assert.Equal(t, 1, dialed, "the idle connection is proof")
	require.NoError(t, listener.Close())
	require.NoError(t, (<-accepted).Close())
	assert.Eventually(t, func() bool { return pool.ProbeRun(context.Background(), destination) == Dead }, time.Second, time.Millisecond)
}

// TestBodyThatEndsWithItsConnectionIsMarked guards against a body whose end proves nothing and that isn't
// told from others.
func TestBodyThatEndsWithItsConnectionIsMarked(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer string
		marked         bool
	}{
		"length":           {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunks":           {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"no body":          {"GET", "HTTP/1.1 204 No Content\r\n\r\n", false},
		"answer to a HEAD": {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", false},
		"neither":          {"GET", "HTTP/1.1 200 OK\r\n\r\nbody", true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, test.answer)
				_ = conn.Close()
			}()
			destination := Destination{Engine: "w", Address: fleet.Address(listener.Addr().String())}
			response, err := NewPool(Options{}).Do(context.Background(), destination, &Request{Method: test.method, Target: "/", Host: "h", Header: http.Header{}})
			require.NoError(t, err)
			defer response.Close()
			assert.Equal(t, test.marked, response.EndsWithConnection)
		})
	}
}
