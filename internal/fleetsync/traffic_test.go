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
	secondsOfDay = 86400
	changesOfDay = 1476
	// playedChanges are made; all cost about the same.
	playedChanges  = 123
	agentsOfRouter = 10
)

// TestTrafficOfADay counts what one agent and its router exchange with one
// exchange a second: encoded messages, and bytes on the connection. The bounds
// are far above what was measured and far below a whole list a second.
func TestTrafficOfADay(t *testing.T) {
	for _, size := range []struct{ routers, engines int }{{50, 700}, {200, 2900}, {680, 10000}} {
		t.Run(fmt.Sprintf("%d routers", size.routers), func(t *testing.T) {
			with := fleetOf(size.routers, size.engines)
			subscriber := &Subscriber{}
			whole := sizeOf(exchange(subscriber, with))
			steady := sizeOf(exchange(subscriber, with))
			members := changes(subscriber, with, func(run int) {
				replaced := append([]membership.Member(nil), with.view.Routable()...)
				replaced[run%size.routers] = member(run%size.routers, run+2)
				with.setMembers(replaced)
			})
			machines := changes(subscriber, with, func(run int) {
				replaced := append([]*rpc.Machine(nil), with.machines.GetMachines()...)
				replaced[run%size.engines] = machine(run%size.engines, run+2)
				with.setMachines(replaced)
			})
			requireSame(t, subscriber, with)
			wire := wireSize(t, with, subscriber)
			changed := float64(members+machines) / secondsOfDay
			t.Logf("whole lists %d bytes; exchange without news %d bytes encoded, %d on the connection", whole, steady, wire)
			t.Logf("changes of a day: routers %.1f B/s, engines %.1f B/s an agent", float64(members)/secondsOfDay, float64(machines)/secondsOfDay)
			t.Logf("an agent %.0f B/s encoded, %.0f B/s on the connection; a router with %d agents %.0f B/s on the connection",
				float64(steady)+changed, float64(wire)+changed, agentsOfRouter, agentsOfRouter*(float64(wire)+changed))
			require.Less(t, steady, 200)
			require.Less(t, changed, 50.0)
			require.Less(t, wire, 1000)
		})
	}
}

func sizeOf(request *rpc.SyncRequest, answer *rpc.SyncResponse) int {
	return proto.Size(request) + proto.Size(answer)
}

// changes returns the bytes of the exchanges that bring a day's changes, beyond
// those of exchanges without news.
func changes(subscriber *Subscriber, with *source, change func(run int)) int {
	steady := sizeOf(exchange(subscriber, with))
	total := 0
	for run := range playedChanges {
		change(run)
		total += sizeOf(exchange(subscriber, with)) - steady
	}
	return total * changesOfDay / playedChanges
}

// lists serves the lists of a source alone.
type lists struct {
	rpc.Placement
	source *source
}

func (l lists) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
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
func wireSize(t *testing.T, with *source, subscriber *Subscriber) int {
	server := httptest.NewServer(rpc.NewPlacementServer(lists{source: with}))
	defer server.Close()
	var count atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: connection, count: &count}, err
	}}
	defer transport.CloseIdleConnections()
	client := rpc.NewPlacementProtobufClient(server.URL, &http.Client{Transport: transport})
	request := &rpc.SyncRequest{Header: &rpc.Header{Sender: "agent-0123456789abcdef", KnownRevision: 15000}}
	subscriber.Request(request)
	const exchanges = 20
	for range exchanges {
		_, err := client.Sync(t.Context(), request)
		require.NoError(t, err)
	}
	return int(count.Load()) / exchanges
}
