package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/loopback"
)

// setSilent has the kernel drop all that arrives at a connection, so that nothing is acknowledged.
func setSilent(t *testing.T, conn net.Conn, silent bool) {
	change := loopback.TakePackets
	if silent {
		change = loopback.DropPackets
	}
	assert.NoError(t, change(conn.(syscall.Conn)))
}

// silentPair returns a connection as the pool opens it, and its worker's end.
func silentPair(t *testing.T) (near, far net.Conn) {
	host, err := loopback.Host()
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", host+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	near, err = NewDial(nil)(context.Background(), "tcp4", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

// TestRequestInSilenceEndsConnection guards against a connection that ends since a request was written on it while
// its sound worker acknowledged nothing for a second or two.
func TestRequestInSilenceEndsConnection(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1500 * time.Millisecond, 1800 * time.Millisecond, minToleratedSilence, 2800 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			near, far := silentPair(t)
			setSilent(t, far, true)
			begin := time.Now()
			_, err := near.Write([]byte("request\n"))
			require.NoError(t, err)
			time.Sleep(silence)
			setSilent(t, far, false)
			require.NoError(t, far.SetReadDeadline(begin.Add(8*time.Second)))
			_, err = bufio.NewReader(far).ReadString('\n')
			t.Logf("silence of %s: arrived after %s, %v", silence, time.Since(begin), err)
			assert.NoError(t, err)
		})
	}
}

// TestOneSilenceEndsQuietConnection guards against a quiet connection that ends since its sound worker was silent
// once. A probe that would be answered isn't sent any more once TCP_USER_TIMEOUT has passed since the last packet.
func TestOneSilenceEndsQuietConnection(t *testing.T) {
	var playing sync.WaitGroup
	for _, silence := range []time.Duration{time.Second, 1300 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond, minToleratedSilence} {
		for phase := time.Duration(0); phase < keepAliveInterval; phase += 100 * time.Millisecond {
			near, far := silentPair(t)
			playing.Go(func() {
				time.Sleep(2500*time.Millisecond + phase)
				setSilent(t, far, true)
				time.Sleep(silence)
				setSilent(t, far, false)
				time.Sleep(3 * time.Second)
				assert.NoError(t, passEvent(near, far), "silent for %s from %s on", silence, phase)
			})
		}
	}
	playing.Wait()
}

// passEvent sends an event from the worker's end of a connection and reads it.
func passEvent(near, far net.Conn) error {
	if _, err := far.Write([]byte("event\n")); err != nil {
		return err
	}
	if err := near.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		return err
	}
	_, err := bufio.NewReader(near).ReadString('\n')
	return err
}

// TestTwoSilencesEndARequestThatRunsOnce guards against a request that fails since its worker was silent twice, and the
// packet that was to arrive between was sent in the second silence.
func TestTwoSilencesEndARequestThatRunsOnce(t *testing.T) {
	host, err := loopback.Host()
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", host+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		// Retransmissions come 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first packet.
		setSilent(t, conn, true)
		time.Sleep(1800 * time.Millisecond)
		setSilent(t, conn, false)
		time.Sleep(800 * time.Millisecond)
		setSilent(t, conn, true)
		time.Sleep(time.Second)
		setSilent(t, conn, false)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	pool := NewPool(Options{})
	address := fleet.Address(listener.Addr().String())
	// The connection is silent from its beginning on: the listener accepts it before it is.
	response, err := pool.Do(t.Context(), Destination{Engine: "w", Address: address, Patient: true}, &Request{
		Method: http.MethodPost, Target: "/", Header: http.Header{}, Permit: func() error { time.Sleep(50 * time.Millisecond); return nil },
	})
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.Status)
	response.Close()
}
