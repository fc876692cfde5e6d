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
	// simulatedChanges is the number of changes that are made; the total for a day is extrapolated.
	simulatedChanges = 123
	agentsPerRouter  = 10
)

// TestSyncTrafficPerDayIsBounded guards against sending whole lists: it counts the encoded bytes
// and the bytes on the connection of one exchange per second between an agent and its router.
func TestSyncTrafficPerDayIsBounded(t *testing.T) {
	for _, size := range []struct{ routers, engines int }{{50, 700}, {200, 2900}, {680, 10000}} {
		t.Run(fmt.Sprintf("%d routers", size.routers), func(t *testing.T) {
			router := newFakeFleet(size.routers, size.engines)
			subscriber := &Subscriber{}
			whole := encodedSize(exchange(subscriber, router))
			steady := encodedSize(exchange(subscriber, router))
			members := dailyChangeBytes(subscriber, router, func(run int) {
				replaced := append([]membership.Member(nil), router.view.Routable()...)
				replaced[run%size.routers] = member(run%size.routers, run+2)
				router.setMembers(replaced)
			})
			machines := dailyChangeBytes(subscriber, router, func(run int) {
				replaced := append([]*rpc.Machine(nil), router.machines.GetMachines()...)
				replaced[run%size.engines] = machine(run%size.engines, run+2)
				router.setMachines(replaced)
			})
			requireSame(t, subscriber, router)
			wire := wireSize(t, router, subscriber)
			changed := float64(members+machines) / secondsPerDay
			t.Logf("whole lists: %d bytes; exchange without changes: %d bytes encoded, %d on the connection", whole, steady, wire)
			t.Logf("daily changes per agent: routers %.1f B/s, engines %.1f B/s", float64(members)/secondsPerDay, float64(machines)/secondsPerDay)
			t.Logf("agent: %.0f B/s encoded, %.0f B/s on the connection; router with %d agents: %.0f B/s on the connection",
				float64(steady)+changed, float64(wire)+changed, agentsPerRouter, agentsPerRouter*(float64(wire)+changed))
			require.Less(t, steady, 200)
			require.Less(t, changed, 50.0)
			require.Less(t, wire, 1000)
		})
	}
}

func encodedSize(request *rpc.SyncRequest, response *rpc.SyncResponse) int {
	return proto.Size(request) + proto.Size(response)
}

// dailyChangeBytes returns the bytes that a day's changes add to exchanges without changes.
func dailyChangeBytes(subscriber *Subscriber, router *fakeRouter, change func(run int)) int {
	steady := encodedSize(exchange(subscriber, router))
	total := 0
	for run := range simulatedChanges {
		change(run)
		total += encodedSize(exchange(subscriber, router)) - steady
	}
	return total * changesPerDay / simulatedChanges
}

// syncServer implements only the Sync method of a fake router.
type syncServer struct {
	rpc.Placement
	router *fakeRouter
}

func (s syncServer) Sync(_ context.Context, request *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return s.router.respond(request), nil
}

// countingConn counts the bytes sent and received.
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

// wireSize returns the mean bytes per exchange without changes on a persistent connection.
func wireSize(t *testing.T, router *fakeRouter, subscriber *Subscriber) int {
	server := httptest.NewServer(rpc.NewPlacementServer(syncServer{router: router}))
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
