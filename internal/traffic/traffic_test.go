package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/membership"
)

// TestBetween guards against wrong distances, in particular between partly unknown locations.
func TestBetween(t *testing.T) {
	here := membership.Location{Zone: "a", Region: "north"}
	for name, entry := range map[string]struct {
		other membership.Location
		want  Distance
	}{
		"same zone":      {membership.Location{Zone: "a", Region: "north"}, SameZone},
		"other zone":     {membership.Location{Zone: "b", Region: "north"}, OtherZone},
		"other region":   {membership.Location{Zone: "c", Region: "south"}, OtherRegion},
		"unknown region": {membership.Location{Zone: "b"}, OtherZone},
		"unknown zone":   {membership.Location{Region: "south"}, Unknown},
		"nothing known":  {membership.Location{}, Unknown},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, entry.want, Between(here, entry.other)) })
	}
}

// TestCallsOnReusedConnectionAreCountedSeparately guards against bytes on a reused connection that are
// counted under another call's purpose, or not at all.
func TestCallsOnReusedConnectionAreCountedSeparately(t *testing.T) {
	serverMeter := &Meter{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	}))
	server.Listener = Listener{Listener: server.Listener, Meter: serverMeter, Purpose: Callers}
	server.Start()
	t.Cleanup(server.Close)
	meter := &Meter{}
	dials := 0
	dialer := &net.Dialer{}
	client := &http.Client{Transport: RoundTripper{Next: &http.Transport{
		DialContext: meter.Dial(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			return dialer.DialContext(ctx, network, address)
		}),
	}}}
	call := func(purpose Purpose, distance Distance, size int) {
		ctx := With(t.Context(), purpose, distance)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader(strings.Repeat("x", size)))
		require.NoError(t, err)
		response, err := client.Do(request)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	call(LoadReports, OtherZone, 1000)
	call(Watches, SameZone, 5000)
	call(LoadReports, OtherZone, 1000)
	client.CloseIdleConnections()
	assert.Equal(t, 1, dials)

	counts := make(map[Count]bool)
	total := [directionCount]uint64{}
	for _, count := range meter.Counts() {
		total[count.Direction] += count.Bytes
		count.Bytes = 0
		counts[count] = true
	}
	assert.Equal(t, map[Count]bool{
		{Purpose: LoadReports, Distance: OtherZone, Direction: Sent}:     true,
		{Purpose: LoadReports, Distance: OtherZone, Direction: Received}: true,
		{Purpose: Watches, Distance: SameZone, Direction: Sent}:          true,
		{Purpose: Watches, Distance: SameZone, Direction: Received}:      true,
	}, counts)
	assert.Equal(t, serverMeter.countersFor(Callers, Unknown)[Received].Load(), total[Sent])
	// The server counts a write after it has returned, which may be after the client has read it.
	assert.Eventually(t, func() bool {
		return serverMeter.countersFor(Callers, Unknown)[Sent].Load() == total[Received]
	}, 5*time.Second, time.Millisecond)
	watched := meter.countersFor(Watches, SameZone)[Sent].Load()
	assert.Greater(t, watched, uint64(5000))
	assert.Less(t, watched, uint64(5500))
}

// TestNilMeterKeepsTheDialer guards against a nil meter that wraps connections.
func TestNilMeterKeepsTheDialer(t *testing.T) {
	var meter *Meter
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	conn, err := meter.Dial(func(context.Context, string, string) (net.Conn, error) { return near, nil })(t.Context(), "", "")
	require.NoError(t, err)
	assert.Same(t, near, conn)
}

// TestCountedConnectionExposesItsDescriptor guards against counted connections without the descriptor
// that a pool needs to check whether an idle connection is still open.
func TestCountedConnectionExposesItsDescriptor(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	meter := &Meter{}
	_, err = meter.Wrap(conn, Requests, SameZone).SyscallConn()
	require.NoError(t, err)
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	_, err = meter.Wrap(near, Requests, SameZone).SyscallConn()
	require.ErrorIs(t, err, errNoDescriptor)
}

// TestAnswerToAnUnreadRequestArrives guards against answers that are lost in a connection reset if the
// server refuses a request without reading its body.
func TestAnswerToAnUnreadRequestArrives(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	server.Listener = Listener{Listener: server.Listener, Meter: &Meter{}, Purpose: Callers}
	server.Start()
	t.Cleanup(server.Close)
	for range 20 {
		conn, err := net.Dial("tcp4", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 300_000)))
		require.NoError(t, err)
		answer, err := io.ReadAll(conn)
		require.NoError(t, err)
		assert.Contains(t, string(answer), "503 Service Unavailable")
		require.NoError(t, conn.Close())
	}
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	assert.ErrorIs(t, (&Meter{}).Wrap(near, Callers, Unknown).CloseWrite(), errNoHalfClose)
}

// TestCollector guards against wrong values or labels of exported metrics.
func TestCollector(t *testing.T) {
	meter := &Meter{}
	meter.Add(QuotaReports, OtherRegion, Received, 42)
	registry := prometheus.NewRegistry()
	require.NoError(t, registry.Register(NewCollector(meter, "bytes_total")))
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 1)
	require.Len(t, families[0].GetMetric(), 1)
	metric := families[0].GetMetric()[0]
	assert.InDelta(t, 42, metric.GetCounter().GetValue(), 0)
	labels := make(map[string]string)
	for _, pair := range metric.GetLabel() {
		labels[pair.GetName()] = pair.GetValue()
	}
	assert.Equal(t, map[string]string{"purpose": "uses", "distance": "other_region", "direction": "received"}, labels)
}
