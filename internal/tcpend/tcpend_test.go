package tcpend

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallBuffer is a receive buffer, in bytes, that holds up the writer of a long body.
const smallBuffer = 4 << 10

// connect returns both ends of a connection whose accepting end has a small receive buffer.
func connect(t *testing.T) (conn, peer *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	conn, peer = dialed.(*net.TCPConn), accepted.(*net.TCPConn)
	require.NoError(t, peer.SetReadBuffer(smallBuffer))
	return conn, peer
}

// TestResetAfterTheEndOfFileIsNoOrderlyEnd guards against a cut answer that looks complete: a reader sees the
// end of file and never the reset that follows it.
func TestResetAfterTheEndOfFileIsNoOrderlyEnd(t *testing.T) {
	// written fits into the send buffer, so that the writer isn't held up.
	const written = 64 << 10
	for name, test := range map[string]struct {
		end  func(peer *net.TCPConn)
		want error
	}{
		"closed after it has read everything": {func(peer *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, peer, written)
			_ = peer.Close()
		}, nil},
		"half closed after it has read everything": {func(peer *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, peer, written)
			_ = peer.CloseWrite()
		}, nil},
		"half closed, and reads on": {func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			_, _ = io.CopyN(io.Discard, peer, written)
		}, nil},
		"half closed and reset": {func(peer *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, peer, written)
			_ = peer.CloseWrite()
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}, ErrReset},
		"half closed, and doesn't read on": {func(peer *net.TCPConn) { _ = peer.CloseWrite() }, nil},
		"closed, the data not read": {func(peer *net.TCPConn) {
			_ = peer.CloseWrite()
			_ = peer.Close()
		}, ErrReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, peer := connect(t)
			observer := Observe(conn)
			_, err := conn.Write(make([]byte, written))
			require.NoError(t, err)
			go test.end(peer)
			_, err = io.ReadAll(conn)
			require.NoError(t, err, "the reader sees a regular end")
			assert.ErrorIs(t, observer.Await(context.Background()), test.want)
		})
	}
}

// TestUnknownConnectionCountsAsEndedInOrder guards against answers that are taken for cut where the kernel
// tells nothing of their connections.
func TestUnknownConnectionCountsAsEndedInOrder(t *testing.T) {
	one, _ := net.Pipe()
	assert.NoError(t, Observe(one).Await(context.Background()))
	conn, _ := connect(t)
	require.NoError(t, conn.Close())
	assert.NoError(t, Observe(conn).Await(context.Background()))
}
