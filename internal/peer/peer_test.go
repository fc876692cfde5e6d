package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// testPeer is a peer with its own listener and configuration.
type testPeer struct {
	*Peer
	holder  *config.Holder
	server  *http.Server
	address fleet.Address
	stopped bool
}

func startPeer(t *testing.T, name string, seeds ...fleet.Address) *testPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started := &testPeer{holder: config.NewHolder(), address: fleet.Address(listener.Addr().String())}
	started.Peer, err = New(Options{
		Membership: membership.Options{
			Self:              membership.Member{Node: fleet.NodeID(name), Address: started.address, Region: "west", Zone: "paldi"},
			ProbeInterval:     100 * time.Millisecond,
			ReconnectInterval: 500 * time.Millisecond,
		},
		DiscoverSeeds: func() []fleet.Address { return seeds },
		Holder:        started.holder,
		Logger:        zerolog.Nop(),
		Registerer:    prometheus.NewRegistry(),
	})
	require.NoError(t, err)
	started.server = &http.Server{Handler: rpc.NewPeerServer(started.Peer)}
	go func() { _ = started.server.Serve(listener) }()
	started.Start()
	t.Cleanup(started.close)
	return started
}

// close stops the peer without notifying the others.
func (p *testPeer) close() {
	if !p.stopped {
		p.stopped = true
		_ = p.server.Close()
		_ = p.Stop()
	}
}

// awaitState waits until a peer sees a node in the given state, or not at all if it is 0.
func awaitState(t *testing.T, by *testPeer, node string, state membership.State) {
	t.Helper()
	require.Eventually(t, func() bool {
		member, known := by.View().Find(fleet.NodeID(node))
		return (known && member.State == state) || (!known && state == 0)
	}, waitTimeout, pollInterval, "%s does not see %s as %s", by.address, node, state)
}

func document(revision fleet.Revision, weight float64) config.Document {
	return config.Document{
		Revision: revision,
		Tenants: []config.Tenant{{
			Name: "clerks", KeyHashes: []string{config.HashKey("key")}, Weight: weight,
			Classes: []fleet.ClassName{"urgent"}, MaxConcurrent: 1, MaxWaiting: 1,
		}},
		Classes: []config.Class{{Name: "urgent", MaxWait: config.Duration(time.Second)}},
		Models: []config.Model{{
			Name: "notes", Pool: "main", MaxPromptTokens: 64, MaxOutputTokens: 64, BlockTokens: 16,
			Versions: []config.Version{{Name: "v1", State: config.VersionServing}},
		}},
		Pools: []config.Pool{{Name: "main", MaxStreams: 1, MaxLoads: 1}},
	}
}

func awaitRevision(t *testing.T, revision fleet.Revision, peers ...*testPeer) {
	t.Helper()
	for _, p := range peers {
		require.Eventually(t, func() bool { return p.holder.Revision() == revision }, waitTimeout, pollInterval)
	}
}

func TestPeersShareMembershipAndConfigurationOverLoopback(t *testing.T) {
	first := startPeer(t, "first")
	second := startPeer(t, "second", first.address)
	third := startPeer(t, "third", first.address)
	all := []*testPeer{first, second, third}
	for _, p := range all {
		for _, name := range []string{"first", "second", "third"} {
			awaitState(t, p, name, membership.Alive)
		}
	}

	accepted, err := second.holder.OfferSnapshot(document(1, 1))
	require.NoError(t, err)
	require.True(t, accepted)
	awaitRevision(t, 1, all...)
	change, err := config.Diff(document(1, 1), document(2, 2))
	require.NoError(t, err)
	_, _, err = third.holder.OfferChanges([]config.Change{change})
	require.NoError(t, err)
	awaitRevision(t, 2, all...)
	tenant, _ := first.holder.Current().Tenant("clerks")
	assert.InDelta(t, 2, tenant.Weight, 0)

	changed := second.Changed()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, third.Leave(ctx))
	awaitState(t, first, "third", membership.Leaving)
	awaitState(t, second, "third", membership.Leaving)
	<-changed
	third.close()
	awaitState(t, first, "third", 0)

	second.close()
	awaitState(t, first, "second", 0)
	assert.Len(t, first.Members(), 1)
	assert.Positive(t, testutil.ToFloat64(first.metrics.bytes.WithLabelValues(directionSent)))
	assert.Positive(t, testutil.ToFloat64(first.metrics.messages.WithLabelValues(directionReceived, "GOSSIP_KIND_JOIN")))
}

func TestStartingPeersPullConfigurationFromOne(t *testing.T) {
	first := startPeer(t, "first")
	_, err := first.holder.OfferSnapshot(document(9, 1))
	require.NoError(t, err)
	var routers []*testPeer
	for i := range 6 {
		routers = append(routers, startPeer(t, fmt.Sprintf("router-%d", i), first.address))
	}
	awaitRevision(t, 9, routers...)
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	first := startPeer(t, "first")
	_, err := first.Gossip(t.Context(), &rpc.GossipMessage{Kind: rpc.GossipKind_GOSSIP_KIND_PROBE})
	assert.Error(t, err)
	assert.Len(t, first.Members(), 1)
	second := membership.Member{Node: "second", Address: "127.0.0.1:1", State: membership.Alive}
	message := membership.Message{
		Kind: membership.Probe, Sender: second, Target: "first", KnownRevision: 1,
		Changes: []membership.Change{{Revision: 1, Patch: []byte("no JSON")}},
	}
	answer, err := first.Gossip(t.Context(), message.Encode())
	require.NoError(t, err)
	assert.Equal(t, rpc.GossipKind_GOSSIP_KIND_ACK, answer.GetKind())
	assert.Zero(t, first.holder.Revision())
}

func TestPullResponsesAreApplied(t *testing.T) {
	first := startPeer(t, "first")
	snapshot, err := config.SnapshotMessage(document(1, 1))
	require.NoError(t, err)
	require.NoError(t, first.applyPullResponse(&rpc.ChangesResponse{Snapshot: snapshot}))
	change, err := config.Diff(document(1, 1), document(2, 2))
	require.NoError(t, err)
	changes, err := config.ChangeMessages([]config.Change{change})
	require.NoError(t, err)
	require.NoError(t, first.applyPullResponse(&rpc.ChangesResponse{Changes: changes}))
	assert.EqualValues(t, 2, first.holder.Revision())
	assert.Error(t, first.applyPullResponse(&rpc.ChangesResponse{Snapshot: &rpc.ConfigSnapshot{Revision: 3, Document: []byte("no JSON")}}))
}
