package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/tunnel"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// relayDelay is how long a direct connection may take before another gateway is asked for one, as
	// between address families in RFC 8305.
	relayDelay = 150 * time.Millisecond
	// nextRelayDelay is the time between the first and the next gateways that are asked. It exceeds the
	// time to open a tunnel within a region.
	nextRelayDelay = 30 * time.Millisecond
	// maxRelaysAsked bounds the gateways that are asked for one connection.
	maxRelaysAsked = 6
	// confirmations is the number of other gateways that must fail to connect to a worker, if there are
	// as many, before it counts as unreachable: some workers may be cut off from some gateways.
	confirmations = 2
)

// errNoPath means that this gateway's link to a worker is lost and no other gateway opens a tunnel. It
// says nothing of the worker.
var errNoPath = errors.New("no path to the worker")

// relayedConn is a connection to a worker through another gateway.
type relayedConn struct {
	*tunnel.Conn
	system syscall.Conn
	relay  fleet.NodeID
}

var _ upstream.RelayedConn = (*relayedConn)(nil)

// Relay implements upstream.RelayedConn.
func (c *relayedConn) Relay() fleet.NodeID { return c.relay }

// SyscallConn implements syscall.Conn.
func (c *relayedConn) SyscallConn() (syscall.RawConn, error) { return c.system.SyscallConn() }

// dialAttempt is the result of one way to connect to a worker.
type dialAttempt struct {
	conn net.Conn
	err  error
	// relay is the gateway that was asked; empty for the direct attempt.
	relay fleet.NodeID
}

// workerDial is the state of one race for a connection to a worker.
type workerDial struct {
	gateway     *Gateway
	destination upstream.Destination
	// results has room for all attempts, so that none blocks.
	results chan dialAttempt
	running int
	// findRelays returns the gateways to ask. It is called once, when the first one is to be asked.
	findRelays func() []relayCandidate
	// relays are those that haven't been asked, and known how many there were.
	relays []relayCandidate
	known  int
	// directErr is the error of the direct attempt, unless linkLost is set: then there is none.
	directErr error
	linkLost  bool
	// unreached counts the other gateways with sound links that couldn't connect to the worker, refused
	// those of them whose connections it refused.
	unreached, refused int
}

// dialWorker opens a connection to a worker: a direct one or, if that fails or takes long, one through
// another gateway. While the link to the worker is lost, only other gateways are asked.
func (g *Gateway) dialWorker(ctx context.Context, destination upstream.Destination) (net.Conn, error) {
	dialing, cancel := context.WithCancel(ctx)
	race := &workerDial{
		gateway: g, destination: destination, results: make(chan dialAttempt, maxRelaysAsked+1), linkLost: g.links.isLost(destination.Engine),
		findRelays: func() []relayCandidate { return g.relays.candidates(g.now(), maxRelaysAsked, g.relayMembers()) },
	}
	conn, err := race.run(dialing)
	isCancelled := errors.Is(context.Cause(ctx), context.Canceled)
	cancel()
	go race.closeLosers()
	if err != nil && race.unreached == 0 && !isCancelled {
		g.recordUnreached(destination.Engine)
	}
	return conn, err
}

// run makes attempts one after the other until one succeeds or none is left.
func (d *workerDial) run(ctx context.Context) (net.Conn, error) {
	delay := relayDelay
	if d.linkLost {
		delay = 0
	} else {
		d.startDirect(ctx)
	}
	next := time.NewTimer(delay)
	defer next.Stop()
	for {
		select {
		case attempt := <-d.results:
			d.running--
			if attempt.err == nil {
				d.recordWinner(attempt)
				return attempt.conn, nil
			}
			d.recordFailure(attempt)
			if d.isConfirmed() {
				return nil, d.failure(nil)
			}
			d.requireRelays()
			next.Reset(0)
		case <-next.C:
			d.requireRelays()
			if d.askNextRelay(ctx) {
				next.Reset(nextRelayDelay)
			}
		case <-ctx.Done():
			return nil, d.failure(context.Cause(ctx))
		}
		if d.running > 0 || len(d.relays) > 0 {
			continue
		}
		if !d.linkLost || d.gateway.links.isPartitioned() {
			return nil, d.failure(nil)
		}
		// The link was found lost up to a check's interval ago, and nobody else can be asked.
		d.linkLost = false
		d.startDirect(ctx)
	}
}

func (d *workerDial) startDirect(ctx context.Context) {
	d.start(func() dialAttempt {
		conn, err := d.gateway.dialDirect(ctx, d.destination)
		return dialAttempt{conn: conn, err: err}
	})
}

func (d *workerDial) start(attempt func() dialAttempt) {
	d.running++
	go func() { d.results <- attempt() }()
}

// requireRelays finds the gateways to ask. Most connections need none.
func (d *workerDial) requireRelays() {
	if d.findRelays == nil {
		return
	}
	d.relays = d.findRelays()
	d.known = len(d.relays)
	d.findRelays = nil
}

// askNextRelay asks the next gateway for a tunnel. It returns false if none is left.
func (d *workerDial) askNextRelay(ctx context.Context) bool {
	if len(d.relays) == 0 {
		return false
	}
	candidate := d.relays[0]
	d.relays = d.relays[1:]
	d.start(func() dialAttempt {
		conn, err := d.gateway.dialRelayed(ctx, candidate, d.destination.Engine)
		return dialAttempt{conn: conn, err: err, relay: candidate.node}
	})
	return true
}

// recordWinner records what a connection through another gateway says of this gateway's link. If the
// direct attempt is still running, it has taken longer than a way through two machines.
func (d *workerDial) recordWinner(won dialAttempt) {
	if won.relay == "" {
		return
	}
	d.gateway.metrics.links.relayedDials.WithLabelValues("opened").Inc()
	if !d.linkLost {
		d.gateway.recordLinkLost(d.destination.Engine, won.relay)
	}
}

func (d *workerDial) recordFailure(failed dialAttempt) {
	switch {
	case failed.relay == "":
		d.directErr = failed.err
	case errors.Is(failed.err, tunnel.ErrWorkerRefused):
		d.unreached++
		d.refused++
	case errors.Is(failed.err, tunnel.ErrWorkerUnreachable):
		d.unreached++
	}
}

// isConfirmed reports whether enough other gateways couldn't connect to the worker either.
func (d *workerDial) isConfirmed() bool {
	return d.unreached > 0 && d.unreached >= min(confirmations, d.known)
}

// failure returns the error of a race without a winner. If other gateways couldn't connect to the
// worker either, the failure is the worker's; otherwise, if the link is lost, it is this gateway's own.
func (d *workerDial) failure(cause error) error {
	switch {
	case d.isConfirmed() && d.refused == d.unreached:
		return errors.Wrap(tunnel.ErrWorkerRefused, "asked another gateway")
	case d.isConfirmed():
		return errors.Wrap(tunnel.ErrWorkerUnreachable, "asked another gateway")
	case d.directErr != nil:
		return d.directErr
	case d.linkLost:
		d.gateway.metrics.links.relayedDials.WithLabelValues("no_path").Inc()
		return errNoPath
	default:
		return errors.Wrap(cause, "connect")
	}
}

// closeLosers closes the connections that lost the race.
func (d *workerDial) closeLosers() {
	for ; d.running > 0; d.running-- {
		if attempt := <-d.results; attempt.conn != nil {
			_ = attempt.conn.Close()
		}
	}
}

// dialDirect opens a direct connection to a worker.
func (g *Gateway) dialDirect(ctx context.Context, destination upstream.Destination) (net.Conn, error) {
	conn, err := g.directDial(ctx, "tcp4", string(destination.Address))
	if err == nil {
		g.recordConnected(destination.Engine)
	}
	return conn, err
}

// dialRelayed opens a connection to a worker through another gateway.
func (g *Gateway) dialRelayed(ctx context.Context, candidate relayCandidate, worker fleet.EngineID) (net.Conn, error) {
	conn, err := g.openTunnel(ctx, candidate, worker)
	if err != nil && ctx.Err() == nil {
		g.metrics.links.relayedDials.WithLabelValues("failed").Inc()
	}
	g.relays.record(g.now(), candidate.node, err, ctx.Err() != nil)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

func (g *Gateway) openTunnel(ctx context.Context, candidate relayCandidate, worker fleet.EngineID) (*relayedConn, error) {
	plain, err := g.directDial(traffic.With(ctx, traffic.Requests, candidate.distance), "tcp4", string(candidate.address))
	if err != nil {
		return nil, err
	}
	system, ok := plain.(syscall.Conn)
	if !ok {
		_ = plain.Close()
		return nil, errors.New("connection has no file descriptor")
	}
	opened, err := tunnel.Open(ctx, plain, tunnel.Request{Node: g.node, Worker: worker})
	if err != nil {
		return nil, err
	}
	return &relayedConn{Conn: opened, system: system, relay: candidate.node}, nil
}
