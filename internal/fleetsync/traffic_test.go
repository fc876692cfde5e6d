package fleetsync

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	secondsPerDay = 86400
	changesPerDay = 1476
	// simulatedChanges are made; all cost about the same.
	simulatedChanges = 123
	agentsPerRouter  = 10
)

// TestSyncTrafficPerDayIsBounded counts what one agent and its router exchange with one
// exchange a second: encoded messages, and bytes on the connection. The bounds
// are far above what was measured and far below a whole list a second.
func TestSyncTrafficPerDayIsBounded(t *testing.T) {
	for _, size := range []struct{ routers, engines int }{{50, 700}, {200, 2900}, {680, 10000}} {
		t.Run(fmt.Sprintf("%d routers", size.routers), func(t *testing.T) {
			with := newFakeFleet(size.routers, size.engines)
			subscriber := &Subscriber{}
			whole := encodedSize(exchange(subscriber, with))
			steady := encodedSize(exchange(subscriber, with))
			members := dailyChangeBytes(subscriber, with, func(run int) {
				replaced := append([]membership.Member(nil), with.view.Routable()...)
				replaced[run%size.routers] = member(run%size.routers, run+2)
				with.setMembers(replaced)
			})
			machines := dailyChangeBytes(subscriber, with, func(run int) {
				replaced := append([]*rpc.Machine(nil), with.machines.GetMachines()...)
				replaced[run%size.engines] = machine(run%size.engines, run+2)
				with.setMachines(replaced)
			})
			requireSame(t, subscriber, with)
			wire := wireSize(t, with, subscriber)
			changed := float64(members+machines) / secondsPerDay
			t.Logf("whole lists %d bytes; exchange without news %d bytes encoded, %d on the connection", whole, steady, wire)
			t.Logf("changes of a day: routers %.1f B/s, engines %.1f B/s an agent", float64(members)/secondsPerDay, float64(machines)/secondsPerDay)
			t.Logf("an agent %.0f B/s encoded, %.0f B/s on the connection; a router with %d agents %.0f B/s on the connection",
				float64(steady)+changed, float64(wire)+changed, agentsPerRouter, agentsPerRouter*(float64(wire)+changed))
			require.Less(t, steady, 200)
			require.Less(t, changed, 50.0)
			require.Less(t, wire, 1000)
		})
	}
}

func encodedSize(request *rpc.SyncRequest, answer *rpc.SyncResponse) int {
	return proto.Size(request) + proto.Size(answer)
}

// dailyChangeBytes returns the bytes of the exchanges that bring a day's dailyChangeBytes, beyond
// those of exchanges without news.
func dailyChangeBytes(subscriber *Subscriber, with *fakeRouter, change func(run int)) int {
	steady := encodedSize(exchange(subscriber, with))
	total := 0
	for run := range simulatedChanges {
		change(run)
		total += encodedSize(exchange(subscriber, with)) - steady
	}
	return total * changesPerDay / simulatedChanges
}

// syncServer serves the syncServer of a source alone.
type syncServer struct {
	rpc.Placement
	source *fakeRouter
}

func (l syncServer) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return l.source.answer(request), nil
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.Add(int64(n))
	return n, err
}

// wireSize returns the bytes of an exchange without news on a connection that
// is kept open.
func wireSize(t *testing.T, with *fakeRouter, subscriber *Subscriber) int {
	server := httptest.NewServer(rpc.NewPlacementServer(syncServer{source: with}))
	defer server.Close()
	var count atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: connection, count: &count}, err
	}}
	defer transport.CloseIdleConnections()
	client := rpc.NewPlacementProtobufClient(server.URL, &http.Client{Transport: transport})
	request := &rpc.SyncRequest{Header: &rpc.Header{Sender: "agent-0123456789abcdef", KnownRevision: 15000}}
	subscriber.FillRequest(request)
	const exchanges = 20
	for range exchanges {
		_, err := client.Sync(t.Context(), request)
		require.NoError(t, err)
	}
	return int(count.Load()) / exchanges
}
