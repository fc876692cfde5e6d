package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/bodymemory"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// scriptedConn is a connection to a worker whose answer is known beforehand.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (c scriptedConn) Read(into []byte) (int, error)   { return c.Reader.Read(into) }
func (scriptedConn) Write(content []byte) (int, error) { return len(content), nil }
func (scriptedConn) Close() error                      { return nil }

// benchmarkRelay relays a stream of events.
func benchmarkRelay(b *testing.B, events string) {
	pool := upstream.NewPool(upstream.Options{Dial: func(context.Context, upstream.Destination) (net.Conn, error) {
		return scriptedConn{Reader: strings.NewReader("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + events)}, nil
	}})
	memory := bodymemory.New(1 << 20)
	b.ReportAllocs()
	for b.Loop() {
		response, err := pool.Do(b.Context(), upstream.Destination{Engine: "e"}, &upstream.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
		require.NoError(b, err)
		relay := &eventRelay{response: response, buffer: eventBuffer{memory: memory}}
		require.NoError(b, relay.run(func([]byte, bool) error { return nil }))
		response.Close()
	}
}

// BenchmarkRelayShortEvents relays 1,000 events of 100 bytes.
func BenchmarkRelayShortEvents(b *testing.B) {
	benchmarkRelay(b, strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 88)+"\n\n", 1000))
}

// BenchmarkRelayLongEvents relays 100 events of 16 KB.
func BenchmarkRelayLongEvents(b *testing.B) {
	benchmarkRelay(b, strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 16<<10)+"\n\n", 100))
}
