package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// openTunnel opens a tunnel through a node whose connection to the worker is the returned worker end.
// carrier is the node's connection to the asking one.
func openTunnel(t *testing.T) (asking *Conn, worker, carrier net.Conn) {
	far, near := tcpPair(t)
	accepted := make(chan net.Conn, 1)
	node := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked, found := ReadRequest(request)
		assert.True(t, found)
		assert.Equal(t, Request{Node: "node/1", Worker: "i-7&x"}, asked)
		conn, err := Accept(writer)
		if assert.NoError(t, err) {
			accepted <- conn
			NewCarrier(conn, near).Run()
		}
	}))
	t.Cleanup(node.Close)
	conn, err := net.Dial("tcp4", node.Listener.Addr().String())
	require.NoError(t, err)
	asking, err = Open(context.Background(), conn, Request{Node: "node/1", Worker: "i-7&x"})
	require.NoError(t, err)
	t.Cleanup(func() { _ = asking.Close() })
	return asking, far, <-accepted
}

func tcpPair(t testing.TB) (one, other net.Conn) {
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

// TestTunnelPassesBytesUnchanged guards against bytes that are lost or held back on the way.
func TestTunnelPassesBytesUnchanged(t *testing.T) {
	asking, worker, _ := openTunnel(t)
	_, err := io.WriteString(asking, "question")
	require.NoError(t, err)
	buffer := make([]byte, 64)
	count, err := worker.Read(buffer)
	require.NoError(t, err)
	assert.Equal(t, "question", string(buffer[:count]))
	for _, part := range []string{"event 1", "event 2"} {
		_, err = io.WriteString(worker, part)
		require.NoError(t, err)
		count, err = asking.Read(buffer)
		require.NoError(t, err)
		assert.Equal(t, part, string(buffer[:count]), "before the next one is sent")
	}
}

// TestTunnelEndsAsTheWorkersConnection guards against an answer without a length that looks complete
// although the tunnel or the worker's connection broke.
func TestTunnelEndsAsTheWorkersConnection(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(worker, carrier net.Conn)
		complete bool
	}{
		"closed by the worker": {func(worker, _ net.Conn) { _ = worker.Close() }, true},
		"reset by the worker":  {func(worker, _ net.Conn) { reset(worker) }, false},
		"closed and then reset by the worker": {func(worker, _ net.Conn) {
			closeWrite(worker)
			reset(worker)
		}, false},
		"node ended": {func(_, carrier net.Conn) { _ = carrier.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			asking, worker, carrier := openTunnel(t)
			_, err := io.WriteString(worker, "answer")
			require.NoError(t, err)
			buffer := make([]byte, 6)
			_, err = io.ReadFull(asking, buffer)
			require.NoError(t, err)
			test.end(worker, carrier)
			_, err = asking.Read(buffer)
			if test.complete {
				assert.Equal(t, io.EOF, err)
				return
			}
			require.Error(t, err)
			assert.NotEqual(t, io.EOF, err)
		})
	}
}

// TestResetWhileTheRequestIsWrittenBreaksTheTunnel guards against an answer that looks complete, since the
// node between wrote the request when the worker's connection was reset, and its reader saw a regular end.
func TestResetWhileTheRequestIsWrittenBreaksTheTunnel(t *testing.T) {
	for range 20 {
		asking, worker, _ := openTunnel(t)
		require.NoError(t, worker.(*net.TCPConn).SetReadBuffer(4<<10))
		go func() { _, _ = asking.Write(make([]byte, 8<<20)) }()
		_, err := io.WriteString(worker, "answer")
		require.NoError(t, err)
		buffer := make([]byte, 6)
		_, err = io.ReadFull(asking, buffer)
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
		reset(worker)
		_, err = asking.Read(buffer)
		require.Error(t, err)
		require.NotEqual(t, io.EOF, err)
		_ = asking.Close()
	}
}

// TestShortSilenceKeepsAnAnswerBeforeItsRequest guards against a whole answer that is broken off, since its worker
// ended it early and was silent for a second or so before it read the rest of the request.
func TestShortSilenceKeepsAnAnswerBeforeItsRequest(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1800 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			asking, worker, _ := openTunnel(t)
			go func() { _, _ = asking.Write(make([]byte, 32<<20)) }()
			_, err := io.WriteString(worker, "answer")
			require.NoError(t, err)
			require.NoError(t, worker.(*net.TCPConn).CloseWrite())
			go func() {
				time.Sleep(silence)
				_, _ = io.Copy(io.Discard, worker)
			}()
			received, err := io.ReadAll(asking)
			require.NoError(t, err)
			assert.Equal(t, "answer", string(received))
		})
	}
}

// TestEndlessUpgradeResponseIsNotRead guards against a process that runs out of memory, since what answers at a node's
// address sends bytes without end in place of the response to an upgrade request.
func TestEndlessUpgradeResponseIsNotRead(t *testing.T) {
	const endless, slack = 64 << 20, 16 << 20
	one, other := tcpPair(t)
	sent := make(chan int, 1)
	go func() {
		block, count := make([]byte, 1<<20), 0
		for count < endless {
			written, err := other.Write(block)
			count += written
			if err != nil {
				break
			}
		}
		sent <- count
	}()
	_, err := Open(context.Background(), one, Request{Node: "n", Worker: "w"})
	require.Error(t, err)
	assert.Less(t, <-sent, maxUpgradeHeadBytes+slack)
}

// TestWorkerHearsThatTheCallerHasLeft guards against runs that go on after the asking node has closed
// its end.
func TestWorkerHearsThatTheCallerHasLeft(t *testing.T) {
	asking, worker, _ := openTunnel(t)
	require.NoError(t, asking.Close())
	require.NoError(t, worker.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := worker.Read(make([]byte, 1))
	require.Error(t, err)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "within a second")
}

// TestOnlyIdleTunnelsAreClosed guards against idle tunnels that stay open though the worker can't be
// reached any more, and against an answer that is broken off since it is late.
func TestOnlyIdleTunnelsAreClosed(t *testing.T) {
	far, worker := tcpPair(t)
	node, asking := tcpPair(t)
	carrier := NewCarrier(node, worker)
	go carrier.Run()
	buffer := make([]byte, 64)
	exchange := func(from, to net.Conn) {
		_, err := io.WriteString(from, "x")
		require.NoError(t, err)
		require.NoError(t, to.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = to.Read(buffer)
		require.NoError(t, err)
	}
	exchange(asking, far)
	time.Sleep(20 * time.Millisecond)
	carrier.CloseIfIdle(10 * time.Millisecond)
	exchange(far, asking)
	carrier.CloseIfIdle(time.Minute)
	exchange(far, asking)
	time.Sleep(20 * time.Millisecond)
	carrier.CloseIfIdle(10 * time.Millisecond)
	require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Second)))
	_, err := far.Read(buffer)
	assert.ErrorIs(t, err, io.EOF)
}

// TestRefusalsAreTold guards against a refusal that is taken for another one, and against a node of an
// earlier release that is asked again and again.
func TestRefusalsAreTold(t *testing.T) {
	for _, cause := range errorsByStatus {
		node := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { Refuse(writer, cause) }))
		conn, err := net.Dial("tcp4", node.Listener.Addr().String())
		require.NoError(t, err)
		_, err = Open(context.Background(), conn, Request{Node: "n", Worker: "w"})
		assert.ErrorIs(t, err, cause)
		node.Close()
	}
}
