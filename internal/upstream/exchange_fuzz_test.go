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

	"github.com/stretchr/testify/require"
)

// Framings of a fuzzed response.
const (
	framedByLength = iota
	framedByChunks
	framedByEnd
	framingCount
)

// fuzzedResponse returns the bytes of a response with a body.
func fuzzedResponse(framing int, body string) string {
	const start = "HTTP/1.1 200 OK\r\nId: first\r\n"
	switch framing {
	case framedByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", start, len(body), body)
	case framedByChunks:
		var chunks strings.Builder
		for rest := body; rest != ""; {
			size := min(len(rest), 7)
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", size, rest[:size])
			rest = rest[size:]
		}
		return start + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n"
	default:
		return start + "\r\n" + body
	}
}

// FuzzResponseIsWholeOrBrokenOff cuts responses at any byte, by a close or a reset, and sends bytes after
// them. A response is whole or broken off, and no byte of it answers the next request.
func FuzzResponseIsWholeOrBrokenOff(f *testing.F) {
	for framing := range framingCount {
		for _, cut := range []uint16{0, 1, 20, 45, 60, 75, 90, 1000} {
			f.Add(uint8(framing), "a body of some bytes", cut, cut%2 == 0, "")
		}
		f.Add(uint8(framing), "", uint16(1000), false, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		f.Add(uint8(framing), "body", uint16(1000), false, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 4\r\n\r\nbody")
	}
	f.Fuzz(func(t *testing.T, kind uint8, body string, cut uint16, resets bool, late string) {
		framing := int(kind) % framingCount
		content := fuzzedResponse(framing, body)
		isCut := int(cut) < len(content)
		sent := content[:min(int(cut), len(content))]
		handled := make(chan struct{}, 4)
		destination := newWorker(t, func(conn *net.TCPConn) {
			defer func() { handled <- struct{}{} }()
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, sent)
			switch {
			case isCut && resets:
				_ = conn.SetLinger(0)
			case !isCut && framing != framedByEnd:
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, late+"HTTP/1.1 200 OK\r\nId: second\r\nContent-Length: 6\r\n\r\nsecond")
				}
			}
		})
		pool := NewPool(Options{})
		defer pool.CloseIdle()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		response, err := pool.Do(ctx, destination, identified("first"))
		if err != nil {
			require.True(t, isCut, "a whole response failed: %v", err)
			return
		}
		got, err := io.ReadAll(response)
		response.Close()
		switch {
		case err == nil && framing == framedByEnd && isCut:
			require.False(t, resets, "a reset looks complete")
			require.True(t, strings.HasPrefix(body, string(got)))
		case err == nil:
			require.Equal(t, body, string(got))
		default:
			require.True(t, isCut, "a whole response was broken off: %v", err)
			return
		}
		if isCut || framing == framedByEnd {
			return
		}
		next, err := pool.Do(ctx, destination, identified("second"))
		if err != nil {
			return
		}
		defer next.Close()
		if content, err := io.ReadAll(next); err == nil && !next.Unidentified {
			require.Equal(t, "second", string(content), "bytes of another response")
		}
	})
}

// BenchmarkExchange measures a short exchange on a kept connection.
func BenchmarkExchange(b *testing.B) {
	destination := newWorker(b, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: same\r\nContent-Length: 4\r\n\r\nbody")
		}
	})
	pool := NewPool(Options{})
	b.ReportAllocs()
	for b.Loop() {
		response, err := pool.Do(context.Background(), destination, postRequest(""))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response); err != nil {
			b.Fatal(err)
		}
		response.Close()
	}
}
