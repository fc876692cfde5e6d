package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// minToleratedSilence is how long a sound worker may send nothing, not even acknowledgements.
const minToleratedSilence = 2 * time.Second

// longestRequest is the longest time that a route of the users gives a request. Unanswered probes may add up over it.
const longestRequest = 30 * time.Second

// socketOption returns a TCP option of a connection.
func socketOption(t *testing.T, conn net.Conn, option int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		value, err = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, option)
	}))
	require.NoError(t, err)
	return value
}

// TestShortSilenceEndsNoConnection guards against a stream that is cut since its worker was silent for a
// second or so after a quiet moment. With TCP_USER_TIMEOUT, keep-alive probes give up once that long has
// passed since the last packet, however few of them were sent: the silence may have begun just before
// the first probe.
func TestShortSilenceEndsNoConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := NewDial(nil)(context.Background(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	userTimeout := time.Duration(socketOption(t, conn, tcpUserTimeout)) * time.Millisecond
	idle := time.Duration(socketOption(t, conn, syscall.TCP_KEEPIDLE)) * time.Second
	assert.GreaterOrEqual(t, userTimeout, minToleratedSilence, "unacknowledged bytes")
	assert.GreaterOrEqual(t, userTimeout-idle, minToleratedSilence, "keep-alive probes")
}

// TestTwoShortSilencesEndConnection guards against a stream that is cut since its worker was silent for a second
// twice, a few seconds apart: each time, a keep-alive probe went unanswered.
func TestTwoShortSilencesEndConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := NewDial(nil)(context.Background(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	idle := time.Duration(socketOption(t, conn, syscall.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(socketOption(t, conn, syscall.TCP_KEEPINTVL)) * time.Second
	probes := socketOption(t, conn, syscall.TCP_KEEPCNT)
	assert.Greater(t, idle+time.Duration(probes)*interval, longestRequest)
}
