package bytecount

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

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
