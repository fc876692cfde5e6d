package bytecount

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendingConn records the counter at the time of a write and writes all but one byte.
type sendingConn struct {
	net.Conn
	bytes *atomic.Int64
	seen  int64
}

func (c *sendingConn) Write(data []byte) (int, error) {
	c.seen = c.bytes.Load()
	return len(data) - 1, io.ErrShortWrite
}

// TestBytesAreCountedBeforeTheyAreSent guards against a counter that lags behind the data seen by
// the peer, and against counting unsent bytes.
func TestBytesAreCountedBeforeTheyAreSent(t *testing.T) {
	var bytes atomic.Int64
	inner := &sendingConn{bytes: &bytes}
	_, err := (&conn{Conn: inner, bytes: &bytes}).Write([]byte("answer"))
	require.ErrorIs(t, err, io.ErrShortWrite)
	assert.EqualValues(t, 6, inner.seen)
	assert.EqualValues(t, 5, bytes.Load(), "unsent bytes must not be counted")
}

// TestBytesOfBothDirectionsAreCounted guards against counting only one direction.
func TestBytesOfBothDirectionsAreCounted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var bytes atomic.Int64
	listener := NewListener(inner, &bytes)
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer server.Close()
	_, err = client.Write([]byte("query"))
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, 5))
	require.NoError(t, err)
	_, err = server.Write([]byte("yes"))
	require.NoError(t, err)
	assert.EqualValues(t, 8, bytes.Load())
	require.NoError(t, listener.Close())
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
