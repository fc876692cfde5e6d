package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// maxHeaderBytes is the maximum size of the headers of a request and its response.
const maxHeaderBytes = 190

// TestCallsHaveMinimalHeaders guards against headers that make small calls much larger than their
// content.
func TestCallsHaveMinimalHeaders(t *testing.T) {
	answered := &rpc.LoadReport{Node: "other", Partial: true}
	options := Options{
		Membership: membership.Options{Self: membership.Member{Node: "self", Address: "127.0.0.1:1"}},
		Holder:     config.NewHolder(),
	}
	peer, err := New(options)
	require.NoError(t, err)
	server := httptest.NewServer(MinimalResponseHeaders(rpc.NewPeerServer(&answeringPeer{Peer: peer, answer: answered})))
	t.Cleanup(server.Close)
	meter := &traffic.Meter{}
	options.Traffic = meter
	caller, err := New(options)
	require.NoError(t, err)
	report := &rpc.LoadReport{Node: "self", Partial: true}
	got, err := caller.ExchangeLoad(traffic.With(t.Context(), traffic.LoadReports, traffic.OtherZone), address(server), report)
	require.NoError(t, err)
	assert.Equal(t, answered.GetNode(), got.GetNode())
	total := uint64(0)
	for _, count := range meter.Counts() {
		total += count.Bytes
	}
	content := uint64(len("self") + len("other") + 2*len("nnpp"))
	assert.Greater(t, total, content)
	assert.Less(t, total, content+maxHeaderBytes)
}

// maxRecordBytes bounds the bytes of handing one stream's record to another node, in both directions.
const maxRecordBytes = 256

// TestStreamRecordsAreSmall guards against records that cost more than the events that they are for.
func TestStreamRecordsAreSmall(t *testing.T) {
	options := Options{
		Membership:          membership.Options{Self: membership.Member{Node: "self", Address: "127.0.0.1:1"}},
		Holder:              config.NewHolder(),
		HandleStreamRecords: func(*rpc.StreamRecords) {},
	}
	peer, err := New(options)
	require.NoError(t, err)
	server := httptest.NewServer(MinimalResponseHeaders(rpc.NewPeerServer(peer)))
	t.Cleanup(server.Close)
	meter := &traffic.Meter{}
	options.Traffic = meter
	caller, err := New(options)
	require.NoError(t, err)
	const calls = 20
	for number := range uint64(calls) {
		records := &rpc.StreamRecords{Origins: []*rpc.StreamOrigin{{Service: "node87a", Version: "v1.2", Keys: []uint64{number}}}}
		require.NoError(t, caller.SendStreamRecords(traffic.With(t.Context(), traffic.StreamRecords, traffic.OtherZone), address(server), records))
	}
	total := uint64(0)
	for _, count := range meter.Counts() {
		total += count.Bytes
	}
	t.Logf("%d bytes a record", total/calls)
	assert.Less(t, total/calls, uint64(maxRecordBytes))
}

// TestErrorResponsesKeepContentType guards against error responses without a content type, which
// callers need to decode them.
func TestErrorResponsesKeepContentType(t *testing.T) {
	options := Options{
		Membership: membership.Options{Self: membership.Member{Node: "self", Address: "127.0.0.1:1"}},
		Holder:     config.NewHolder(),
	}
	peer, err := New(options)
	require.NoError(t, err)
	server := httptest.NewServer(MinimalResponseHeaders(rpc.NewPeerServer(peer)))
	t.Cleanup(server.Close)
	_, err = peer.ExchangeLoad(t.Context(), address(server), &rpc.LoadReport{})
	require.ErrorContains(t, err, "this process shares no load")
	response, err := http.Post(server.URL+rpc.PeerPathPrefix+"ShareLoad", "application/protobuf", http.NoBody)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, "application/json", response.Header.Get(headerContentType))
}

// answeringPeer answers each load report with the same report.
type answeringPeer struct {
	*Peer
	answer *rpc.LoadReport
}

// ShareLoad implements rpc.Peer.
func (p *answeringPeer) ShareLoad(context.Context, *rpc.LoadReport) (*rpc.LoadReport, error) {
	return p.answer, nil
}

func address(server *httptest.Server) fleet.Address {
	return fleet.Address(server.Listener.Addr().String())
}
