package peer

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/lab/bytecount"
)

// BenchmarkProbe reports the time and the TCP stream bytes of a probe and its answer on a kept
// connection.
func BenchmarkProbe(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	var bytes atomic.Int64
	address := fleet.Address(listener.Addr().String())
	self := membership.Member{Node: "router-0001-8f14e45fceea", Address: address, Region: "region-0", Zone: "region-0-zone-0"}
	target, err := New(Options{Membership: membership.Options{Self: self}, Holder: config.NewHolder(), Logger: zerolog.Nop()})
	require.NoError(b, err)
	server := &http.Server{Handler: rpc.NewPeerServer(target)}
	go func() { _ = server.Serve(bytecount.NewListener(listener, &bytes)) }()
	defer server.Close()

	sender := self
	sender.Node, sender.Address, sender.State = "router-0002-8f14e45fceea", "127.0.0.1:1", membership.Alive
	message := membership.Message{Kind: membership.Probe, To: address, Sender: sender, Target: self.Node}
	b.ResetTimer()
	for range b.N {
		_, err := target.client(address).Gossip(b.Context(), message.Encode())
		require.NoError(b, err)
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "stream-bytes/probe")
}
