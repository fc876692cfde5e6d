package tunnel

import (
	"io"
	"net"
	"testing"
)

// BenchmarkCarry measures what one event of a stream costs on its way through the node between, both
// copies of the bytes and the reader at the asking node included.
func BenchmarkCarry(b *testing.B) {
	const eventBytes = 200
	worker, near := tcpPair(b)
	node, far := tcpPair(b)
	go NewCarrier(far, near).Run()
	asking := newConn(node)
	event, buffer := make([]byte, eventBytes), make([]byte, eventBytes)
	b.SetBytes(eventBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := worker.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(asking, buffer); err != nil {
			b.Fatal(err)
		}
	}
	for _, conn := range []net.Conn{worker, node} {
		_ = conn.Close()
	}
}
