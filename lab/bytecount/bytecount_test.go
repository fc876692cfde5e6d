package bytecount

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendingConn notes what is counted at the moment of sending, and sends a part.
type sendingConn struct {
	net.Conn
	bytes *atomic.Int64
	seen  int64
}

func (c *sendingConn) Write(data []byte) (int, error) {
	c.seen = c.bytes.Load()
	return len(data) - 1, io.ErrShortWrite
}

func TestBytesAreCountedBeforeTheyAreSent(t *testing.T) {
	var bytes atomic.Int64
	inner := &sendingConn{bytes: &bytes}
	_, err := (&conn{Conn: inner, bytes: &bytes}).Write([]byte("answer"))
	require.ErrorIs(t, err, io.ErrShortWrite)
	assert.EqualValues(t, 6, inner.seen)
	assert.EqualValues(t, 5, bytes.Load(), "what wasn't sent doesn't count")
}

// TestBytesOfBothDirectionsAreCounted exchanges 5 and 3 bytes.
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
