package upstream

import (
	"bufio"
	"context"
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

// TestEndlessHeadIsNotBuffered guards against a worker that decides how much memory this process takes, by
// bytes in place of an answer that never end a line, a header or a series of interim answers.
func TestEndlessHeadIsNotBuffered(t *testing.T) {
	for name, unit := range map[string]string{
		"no line":         strings.Repeat("\x00", 1<<10),
		"one header":      "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<10),
		"many headers":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 1<<8),
		"one status line": "HTTP/1.1 200 " + strings.Repeat("x", 1<<10),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int, 1)
			destination := newWorker(t, func(conn *net.TCPConn) {
				total, _ := io.WriteString(conn, unit)
				filling := strings.Repeat(unit[len(unit)-6:], 1<<10)
				for total < 100<<20 {
					count, err := io.WriteString(conn, filling)
					total += count
					if err != nil {
						break
					}
				}
				sent <- total
			})
			pool := NewPool(Options{})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := pool.Do(ctx, destination, postRequest(""))
			var failure *ExchangeError
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, Sent, failure.Stage, "the worker may have run it")
			assert.Zero(t, pool.OpenConnections())
			// The rest of what was sent is in the buffers of the kernel.
			assert.Less(t, <-sent, 16<<20)
		})
	}
}

// TestLargestHeadIsRead guards against a bound that counts the body, or an earlier response.
func TestLargestHeadIsRead(t *testing.T) {
	value := strings.Repeat("v", MaxResponseHeadBytes-1<<10)
	body := strings.Repeat("b", 4*MaxResponseHeadBytes)
	destination := newWorker(t, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: "+value+"\r\nContent-Length: "+"262144"+"\r\n\r\n"+body)
		}
	})
	pool := NewPool(Options{})
	for range 3 {
		response, err := pool.Do(context.Background(), destination, postRequest(""))
		require.NoError(t, err)
		content, err := io.ReadAll(response)
		require.NoError(t, err)
		assert.Len(t, content, len(body))
		response.Close()
	}
}

// TestBytesAfterAnAnswerCloseItsConnection guards against a connection that stays open for as long as an idle one
// may, while its worker sends bytes without end after a whole answer.
func TestBytesAfterAnAnswerCloseItsConnection(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			destination := newWorker(t, func(conn *net.TCPConn) {
				defer close(closed)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
				time.Sleep(pause)
				for block := make([]byte, 64<<10); ; {
					if _, err := conn.Write(block); err != nil {
						return
					}
				}
			})
			unsolicited := make(chan fleet.EngineID, 1)
			pool := NewPool(Options{OnUnsolicited: func(engine fleet.EngineID, _ fleet.Address) { unsolicited <- engine }})
			response, err := pool.Do(context.Background(), destination, postRequest(""))
			require.NoError(t, err)
			content, err := io.ReadAll(response)
			require.NoError(t, err)
			assert.Equal(t, "whole", string(content))
			response.Close()
			for pool.OpenConnections() > 0 {
				time.Sleep(10 * time.Millisecond)
				pool.CloseExpired()
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				require.Fail(t, "the connection stays open")
			}
			assert.Equal(t, destination.Engine, <-unsolicited)
		})
	}
}
