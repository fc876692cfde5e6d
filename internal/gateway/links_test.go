package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/tunnel"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// linkTestGateway returns a gateway that knows four workers. It isn't started.
func linkTestGateway(t *testing.T) *Gateway {
	g := newTestGateway(t)
	for _, id := range linkTestWorkers {
		g.workers.Observe(1, backends.Worker{ID: id, Service: "app", Address: "127.0.0.1:1", Slots: 4})
	}
	return g
}

var linkTestWorkers = []fleet.EngineID{"w1", "w2", "w3", "w4"}

// partition makes a gateway lose its links to all workers.
func partition(g *Gateway) {
	for _, id := range linkTestWorkers {
		g.links.monitor.LinkLost(g.now()+time.Nanosecond, id, len(linkTestWorkers))
	}
}

// place places a request of a plain service.
func place(t *testing.T, g *Gateway) (*callerRequest, *backends.Placement) {
	placement, refused := g.workers.Choose(g.now(), &backends.Request{Service: "app"})
	require.NotNil(t, placement, refused.Reason)
	return &callerRequest{
		request: httptest.NewRequest(http.MethodGet, "/", nil), route: &routes.Route{Name: "r"}, service: &routes.Service{Name: "app"},
		fingerprint: quarantine.Fingerprint{1},
	}, placement
}

// TestOwnLostLinksAreNotHeldAgainstWorkers guards against suspicions, failure rates and crash evidence
// from responses that were lost on this gateway's own links.
func TestOwnLostLinksAreNotHeldAgainstWorkers(t *testing.T) {
	g := linkTestGateway(t)
	partition(g)
	for range 20 {
		current, placement := place(t, g)
		g.recordLostRun(current, placement, quarantine.ConnectionBroken)
		g.recordOutcome(current, placement, backends.Lost, "reset")
	}
	assert.Empty(t, g.workers.Suspects(g.now()))
	_, placement := place(t, g)
	assert.Zero(t, placement.FailureRate)
	for _, worker := range linkTestWorkers {
		assert.Empty(t, g.crashes.markCrashed(g.now(), worker, quarantine.ConnectionRefused), "no run is attributed to %s", worker)
	}
}

// TestOwnLostLinksAreNoEvidenceOfAVersion guards against a delivery that is rolled back since a gateway
// has lost its links.
func TestOwnLostLinksAreNoEvidenceOfAVersion(t *testing.T) {
	g := deliveryGateway(t)
	for _, id := range linkTestWorkers {
		g.workers.Observe(1, backends.Worker{ID: id, Service: "app", Address: "127.0.0.1:1", Slots: 4, Software: "v2"})
	}
	current, placement := place(t, g)
	g.recordOutcome(current, placement, backends.Lost, "reset")
	require.Equal(t, 1, testutil.CollectAndCount(g.metrics.deliveryAnswers))
	g.metrics.deliveryAnswers.Reset()
	partition(g)
	current, placement = place(t, g)
	g.recordOutcome(current, placement, backends.Lost, "reset")
	assert.Zero(t, testutil.CollectAndCount(g.metrics.deliveryAnswers))
}

// TestBrokenTunnelsAreNotHeldAgainstWorkers guards against suspicions of a worker since the gateway
// between has ended.
func TestBrokenTunnelsAreNotHeldAgainstWorkers(t *testing.T) {
	g := linkTestGateway(t)
	current, placement := place(t, g)
	current.relay = "other"
	g.recordLostRun(current, placement, quarantine.ConnectionBroken)
	g.recordOutcome(current, placement, backends.Lost, "reset")
	assert.Empty(t, g.workers.Suspects(g.now()))
	assert.Empty(t, g.crashes.markCrashed(g.now(), placement.Worker.ID, quarantine.ConnectionRefused))
}

// TestOnlyConfirmedSuspicionsAreReported guards against gateways without links that make others avoid
// sound workers.
func TestOnlyConfirmedSuspicionsAreReported(t *testing.T) {
	g := linkTestGateway(t)
	current, placement := place(t, g)
	g.recordOutcome(current, placement, backends.Unreachable, "refused")
	g.recordUnreachable(placement.Worker.ID, errors.New("i/o timeout"))
	assert.Len(t, g.workers.Suspects(g.now()), 1, "avoided here")
	assert.Empty(t, g.loadReport("peer").GetSuspects())
	g.recordUnreachable(placement.Worker.ID, errors.Wrap(tunnel.ErrWorkerUnreachable, "asked"))
	assert.Equal(t, []string{string(placement.Worker.ID)}, g.loadReport("peer").GetSuspects())
}

// TestPartitionWithdrawsEarlierSuspicions guards against workers that stay avoided, here and at others,
// for failures before the partition was known.
func TestPartitionWithdrawsEarlierSuspicions(t *testing.T) {
	g := linkTestGateway(t)
	current, placement := place(t, g)
	g.recordOutcome(current, placement, backends.Unreachable, "refused")
	g.recordUnreachable(placement.Worker.ID, errors.Wrap(tunnel.ErrWorkerUnreachable, "asked"))
	g.workers.ObserveSilence(g.now(), "w1")
	g.engineWatch.silentSince["w1"] = 0
	g.engineWatch.unannounced = []fleet.EngineID{"w1"}
	g.beginPartition(len(linkTestWorkers))
	assert.Empty(t, g.workers.Suspects(g.now()))
	assert.Empty(t, g.loadReport("peer").GetSuspects())
	assert.Empty(t, g.engineWatch.takeUnannounced(time.Hour))
	_, all := g.announcer.take()
	assert.True(t, all, "others are told")
}

// TestHangingSendsGoElsewhereAtAPartition guards against requests that wait for their deadline on
// connections that hang, against a second run of those that may run once, and against sends that are given up
// though no other worker or no retry is left.
func TestHangingSendsGoElsewhereAtAPartition(t *testing.T) {
	g := linkTestGateway(t)
	begin := func(reserveMove func(time.Duration) bool, direct bool) context.Context {
		ctx, cancel := context.WithCancelCause(context.Background())
		send := &pendingSend{cancel: cancel, reserveMove: reserveMove}
		send.direct.Store(direct)
		g.pending.add(send)
		return ctx
	}
	always, never := func(time.Duration) bool { return true }, func(time.Duration) bool { return false }
	hanging, once, relayed, nowhereElse := begin(always, true), begin(nil, true), begin(always, false), begin(never, true)
	g.beginPartition(len(linkTestWorkers))
	assert.ErrorIs(t, context.Cause(hanging), errLinkLost)
	assert.NoError(t, once.Err())
	assert.NoError(t, relayed.Err())
	assert.NoError(t, nowhereElse.Err())
}

// relayAnswering starts a node that answers requests for tunnels with an error, or opens them if there
// is none.
func relayAnswering(t *testing.T, cause error) relayCandidate {
	node := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if cause != nil {
			tunnel.Refuse(writer, cause)
			return
		}
		conn, err := tunnel.Accept(writer)
		if assert.NoError(t, err) {
			t.Cleanup(func() { _ = conn.Close() })
		}
	}))
	t.Cleanup(node.Close)
	return relayCandidate{node: fleet.NodeID(node.URL), address: fleet.Address(node.Listener.Addr().String()), distance: traffic.SameZone}
}

// raceTo races for a connection to w1 with some gateways to ask. It replaces the gateway's direct dial.
func raceTo(g *Gateway, direct traffic.DialContext, candidates ...relayCandidate) (net.Conn, error) {
	plain := upstream.NewDial(nil)
	g.directDial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == "127.0.0.1:1" {
			return direct(ctx, network, address)
		}
		return plain(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(context.Background(), upstream.DefaultDialTimeout)
	race := &workerDial{
		gateway: g, destination: upstream.Destination{Engine: "w1", Address: "127.0.0.1:1"},
		results: make(chan dialAttempt, len(candidates)+1), linkLost: g.links.isLost("w1"),
		findRelays: func() []relayCandidate { return candidates },
	}
	conn, err := race.run(ctx)
	cancel()
	race.closeLosers()
	return conn, err
}

func refusedDial(context.Context, string, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

func hangingDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestWorkerReachedByAnotherGatewayLosesNothing guards against a worker that is blamed, or a request
// that fails, since this gateway's link to it is lost.
func TestWorkerReachedByAnotherGatewayLosesNothing(t *testing.T) {
	for name, direct := range map[string]traffic.DialContext{"refused": refusedDial, "hanging": hangingDial} {
		t.Run(name, func(t *testing.T) {
			g := linkTestGateway(t)
			conn, err := raceTo(g, direct, relayAnswering(t, tunnel.ErrUnavailable), relayAnswering(t, nil))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			relayed, ok := conn.(upstream.RelayedConn)
			require.True(t, ok)
			assert.NotEmpty(t, relayed.Relay())
			assert.True(t, g.links.isLost("w1"))
			assert.False(t, g.links.isLost("w2"))
		})
	}
}

// TestWorkerCutOffFromTwoGatewaysIsReachedByAThird guards against a worker that is blamed since one other
// gateway is cut off from it too.
func TestWorkerCutOffFromTwoGatewaysIsReachedByAThird(t *testing.T) {
	for _, cause := range []error{tunnel.ErrWorkerUnreachable, tunnel.ErrNoLink} {
		g := linkTestGateway(t)
		conn, err := raceTo(g, refusedDial, relayAnswering(t, cause), relayAnswering(t, nil))
		require.NoError(t, err)
		_ = conn.Close()
	}
}

// TestWorkerRefusedElsewhereTooHasEnded guards against a crash that isn't noticed since another gateway
// was asked, and against one that is inferred from this gateway's refused connections alone.
func TestWorkerRefusedElsewhereTooHasEnded(t *testing.T) {
	g := linkTestGateway(t)
	refuses, timesOut := relayAnswering(t, tunnel.ErrWorkerRefused), relayAnswering(t, tunnel.ErrWorkerUnreachable)
	for name, test := range map[string]struct {
		relays    []relayCandidate
		confirmed error
	}{
		"only other":    {[]relayCandidate{refuses}, tunnel.ErrWorkerRefused},
		"two others":    {[]relayCandidate{refuses, refuses}, tunnel.ErrWorkerRefused},
		"one times out": {[]relayCandidate{refuses, timesOut}, tunnel.ErrWorkerUnreachable},
	} {
		_, err := raceTo(g, refusedDial, test.relays...)
		assert.ErrorIs(t, err, test.confirmed, name)
	}
	_, err := raceTo(g, refusedDial, timesOut)
	assert.NotErrorIs(t, err, syscall.ECONNREFUSED)
	assert.False(t, g.links.isLost("w1"))
}

// TestPartitionedGatewayWithoutRelaysRefusesAtOnce guards against requests that wait although no other
// gateway takes them, and against workers that are blamed for it.
func TestPartitionedGatewayWithoutRelaysRefusesAtOnce(t *testing.T) {
	g := linkTestGateway(t)
	partition(g)
	start := time.Now()
	_, err := raceTo(g, hangingDial, relayAnswering(t, tunnel.ErrUnavailable))
	assert.ErrorIs(t, err, errNoPath)
	assert.Less(t, time.Since(start), relayDelay)
	_, err = raceTo(g, hangingDial)
	assert.ErrorIs(t, err, errNoPath)
	g.relays.record(g.now(), "other", tunnel.ErrUnavailable, false)
	assert.Positive(t, g.relays.availableIn(g.now()))
	assert.LessOrEqual(t, g.relays.availableIn(g.now()), relayBackoff)
}

// TestGatewayWithoutLinksOpensNoTunnels guards against two gateways without links that confirm each
// other's failures, and against requests that go through more than two gateways.
func TestGatewayWithoutLinksOpensNoTunnels(t *testing.T) {
	g := linkTestGateway(t)
	g.directDial = refusedDial
	cause := g.explainDialFailure(context.Background(), "w1", syscall.ECONNREFUSED)
	assert.ErrorIs(t, cause, tunnel.ErrUnavailable)
	partition(g)
	_, err := g.admitTunnel(tunnel.Request{Node: g.node, Worker: "w1"})
	assert.ErrorIs(t, err, tunnel.ErrUnavailable)
}

// TestWorkerThatRefusedATunnelIsChosen guards against requests that meet worker after worker which this gateway has
// found gone for others, and against a worker that is avoided or reported since this gateway has lost its links.
func TestWorkerThatRefusedATunnelIsChosen(t *testing.T) {
	for name, test := range map[string]struct {
		err      error
		linkless bool
		suspects []fleet.EngineID
	}{
		"refused":            {err: syscall.ECONNREFUSED, suspects: []fleet.EngineID{"w1"}},
		"timed out":          {err: context.DeadlineExceeded},
		"own links are lost": {err: syscall.ECONNREFUSED, linkless: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := linkTestGateway(t)
			g.directDial = refusedDial
			if !test.linkless {
				g.recordConnected("w2")
			}
			for range 3 {
				require.Error(t, g.explainDialFailure(context.Background(), "w1", test.err))
			}
			assert.Equal(t, test.suspects, g.workers.Suspects(g.now()))
			assert.Empty(t, g.workers.ReportedSuspects(g.now()), "no other gateway has confirmed it")
			assert.Empty(t, g.workers.Suspects(g.now()+500*time.Millisecond), "three that ask at once are one failure")
		})
	}
}

// TestEndedWorkersHideTheOthersFromAGateway guards against a gateway that takes its links for lost, and isn't asked
// again for a while, since the two other workers that it tried are known to have ended.
func TestEndedWorkersHideTheOthersFromAGateway(t *testing.T) {
	g := linkTestGateway(t)
	for _, ended := range []fleet.EngineID{"w2", "w3"} {
		g.workers.ObserveRefusal(g.now(), ended)
	}
	g.workers.Observe(2, backends.Worker{ID: "w4", Service: "app", Address: "127.0.0.1:4", Slots: 4})
	g.directDial = func(_ context.Context, _, address string) (net.Conn, error) {
		if address != "127.0.0.1:4" {
			return nil, syscall.ECONNREFUSED
		}
		here, there := net.Pipe()
		t.Cleanup(func() { _ = there.Close() })
		return here, nil
	}
	for range 50 {
		g.links = newWorkerLinks()
		require.True(t, g.canConnectElsewhere(context.Background(), "w1"))
	}
}

// TestTunnelsAreForMembersOnly guards against tunnels for anybody who reaches the inner address, and to
// addresses that are no worker's.
func TestTunnelsAreForMembersOnly(t *testing.T) {
	g := linkTestGateway(t)
	_, err := g.admitTunnel(tunnel.Request{Node: "stranger", Worker: "w1"})
	assert.ErrorIs(t, err, tunnel.ErrUnavailable)
	_, err = g.admitTunnel(tunnel.Request{Node: g.node, Worker: "unknown"})
	assert.ErrorIs(t, err, tunnel.ErrNoLink)
	destination, err := g.admitTunnel(tunnel.Request{Node: g.node, Worker: "w1"})
	require.NoError(t, err)
	assert.Equal(t, fleet.Address("127.0.0.1:1"), destination.Address)
}

// callConnection reports whether a call of a kind would open its connection by itself, and the error
// if not.
func callConnection(g *Gateway, kind callKind) (direct bool, err error) {
	worker, _ := g.workers.Worker("w1")
	ctx := g.workerCallContext(context.Background(), kind, &worker)
	_, err = WorkerDial(ctx, func(context.Context, string, string) (net.Conn, error) {
		direct = true
		return nil, syscall.ECONNREFUSED
	})(ctx, "tcp4", string(worker.Address))
	return direct, err
}

// TestCallsToWorkersGoThroughTunnels guards against engines that count as silent, and caches that count
// as unknown, since this gateway's links are lost.
func TestCallsToWorkersGoThroughTunnels(t *testing.T) {
	g := linkTestGateway(t)
	partition(g)
	for _, kind := range []callKind{callReport, callCacheEvents} {
		direct, err := callConnection(g, kind)
		assert.False(t, direct)
		assert.ErrorIs(t, err, errNoPath, "no other gateway is known")
	}
}

// TestOrdersAreSentDirectly guards against orders of one lease holder that reach an engine from two
// machines.
func TestOrdersAreSentDirectly(t *testing.T) {
	g := linkTestGateway(t)
	partition(g)
	direct, _ := callConnection(g, callOrder)
	assert.True(t, direct)
}
