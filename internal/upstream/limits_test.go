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
