package gateway

import (
	"net"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newConnectedPair returns both ends of a connection.
func newConnectedPair(t *testing.T) (caller, served net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	served, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = served.Close() })
	return caller, served
}

// A request whose caller leaves after it was placed, while a connection is opened or the process is
// suspended, must not be sent.
func TestRequestIsNotSentOnceItsCallerHasLeft(t *testing.T) {
	caller, served := newConnectedPair(t)
	g := newTestGateway(t)
	request := httptest.NewRequest("GET", "/a", nil)
	current := &callerRequest{request: request.WithContext(withCallerConn(request.Context(), served)), deadline: g.now() + time.Minute}
	require.NoError(t, g.permitRequest(current, nil))
	require.NoError(t, caller.Close())
	require.Eventually(t, current.isCallerGone, time.Second, time.Millisecond)
	assert.Error(t, g.permitRequest(current, nil))
}

// TestTwoShortSilencesEndCallersConnection guards against an answer that is cut since its caller was silent for a
// second several times: each time, a keep-alive probe went unanswered.
func TestTwoShortSilencesEndCallersConnection(t *testing.T) {
	const longestRequest = 30
	listener, err := listenTCP("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	served, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = served.Close() })
	raw, err := served.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	total := 0
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		option := func(name int) int {
			value, optionErr := syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, name)
			require.NoError(t, optionErr)
			return value
		}
		total = option(syscall.TCP_KEEPIDLE) + option(syscall.TCP_KEEPCNT)*option(syscall.TCP_KEEPINTVL)
	}))
	assert.Greater(t, total, longestRequest)
}
