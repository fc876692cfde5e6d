package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// smallWindow is the receive buffer of a worker that holds up the writer of a long body, in bytes.
const smallWindow = 4 << 10

// newWorker starts a worker that handles each connection by a function.
func newWorker(t testing.TB, handle func(conn *net.TCPConn)) Destination {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn.(*net.TCPConn))
		}
	}()
	return Destination{Engine: "w", Address: fleet.Address(listener.Addr().String())}
}

func postRequest(body string) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "host", Header: http.Header{}, Body: []byte(body)}
}

// TestResetIsNotTheEndOfAnAnswer guards against an answer without a length that looks complete though its
// connection was reset: the kernel tells of the reset once, to the writer of the body or to the reader.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(conn *net.TCPConn, reader *bufio.Reader)
		complete bool
	}{
		"reset while the body is written": {func(conn *net.TCPConn, _ *bufio.Reader) {
			_ = conn.SetLinger(0)
		}, false},
		"closed while the body is written": {func(*net.TCPConn, *bufio.Reader) {}, false},
		"closed after the whole body was read": {func(_ *net.TCPConn, reader *bufio.Reader) {
			request, err := http.ReadRequest(reader)
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			halfRead := make(chan struct{}, 1)
			destination := newWorker(t, func(conn *net.TCPConn) {
				if !test.complete {
					_ = conn.SetReadBuffer(smallWindow)
				}
				reader := bufio.NewReaderSize(conn, 512)
				_, _ = reader.Peek(1)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of it, ")
				<-halfRead
				if test.complete {
					_, _ = io.WriteString(conn, "and the rest")
				}
				test.end(conn, reader)
				_ = conn.Close()
			})
			body := strings.Repeat("x", 4<<20)
			if test.complete {
				body = body[:100<<10]
			}
			for range 25 {
				pool := NewPool(Options{})
				response, err := pool.Do(context.Background(), destination, postRequest(body))
				require.NoError(t, err)
				require.True(t, response.EndsWithConnection)
				_, err = io.ReadFull(response, make([]byte, len("half of it, ")))
				require.NoError(t, err)
				halfRead <- struct{}{}
				rest, err := io.ReadAll(response)
				response.Close()
				if test.complete {
					require.NoError(t, err)
					assert.Equal(t, "and the rest", string(rest))
					continue
				}
				require.Error(t, err, "a cut answer looks complete")
			}
		})
	}
}

// TestHalfClosedAnswerIsNotAwaitedForLong guards against a request that hangs, since its worker has closed
// its answer and doesn't read the body.
func TestHalfClosedAnswerIsNotAwaitedForLong(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	destination := newWorker(t, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(smallWindow)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
		_ = conn.CloseWrite()
		<-hold
		_ = conn.Close()
	})
	response, err := NewPool(Options{}).Do(context.Background(), destination, postRequest(strings.Repeat("x", 16<<20)))
	require.NoError(t, err)
	defer response.Close()
	start := time.Now()
	_, err = io.ReadAll(response)
	require.Error(t, err)
	assert.Less(t, time.Since(start), 3*time.Second)
}

// TestShortSilenceKeepsAnAnswerBeforeItsRequest guards against a whole answer that is broken off, since its worker
// ended it early and was silent for a second or so before it read the rest of the body.
func TestShortSilenceKeepsAnAnswerBeforeItsRequest(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 1800 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			destination := newWorker(t, func(conn *net.TCPConn) {
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
				_ = conn.CloseWrite()
				time.Sleep(silence)
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			response, err := NewPool(Options{}).Do(ctx, destination, postRequest(strings.Repeat("x", 16<<20)))
			require.NoError(t, err)
			defer response.Close()
			body, err := io.ReadAll(response)
			require.NoError(t, err)
			assert.Equal(t, "all of it", string(body))
		})
	}
}
