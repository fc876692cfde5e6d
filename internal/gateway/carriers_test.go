package gateway

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/tunnel"
)

func connectedPair(t *testing.T) (one, other net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	one, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	other, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = one.Close(), other.Close() })
	return one, other
}

// TestShortSilenceOfAnAnswerKeepsItsTunnel guards against an answer that breaks off in its middle, since its worker
// is silent for a second or so and the gateway between takes the tunnel for one that nobody uses.
func TestShortSilenceOfAnAnswerKeepsItsTunnel(t *testing.T) {
	const silence = 1800 * time.Millisecond
	worker, far := connectedPair(t)
	node, asking := connectedPair(t)
	carriers, carrier := newOpenCarriers(), tunnel.NewCarrier(node, far)
	carriers.add(carrier)
	go carrier.Run()
	_, err := io.WriteString(worker, "half")
	require.NoError(t, err)
	_, err = asking.Read(make([]byte, 64))
	require.NoError(t, err)
	for until := time.Now().Add(silence); time.Now().Before(until); time.Sleep(linkCheckInterval) {
		carriers.closeIdle()
	}
	_, err = io.WriteString(worker, "rest")
	require.NoError(t, err)
	require.NoError(t, asking.SetReadDeadline(time.Now().Add(time.Second)))
	received, err := asking.Read(make([]byte, 64))
	require.NoError(t, err)
	assert.Positive(t, received)
}
