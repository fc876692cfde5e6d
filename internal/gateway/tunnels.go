package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/nodecapacity"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/tunnel"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

const (
	// tunnelDialTimeout bounds the time to connect to a worker for another gateway.
	tunnelDialTimeout = 200 * time.Millisecond
	// tunnelDescriptors is the number of descriptors that a tunnel uses.
	tunnelDescriptors = 2
	// recentConnection is the age up to which this gateway's last direct connection to a worker shows
	// that its links work.
	recentConnection = 100 * time.Millisecond
	// otherWorkersTried and otherWorkerTimeout bound the attempt to connect to another worker.
	otherWorkersTried  = 2
	otherWorkerTimeout = 100 * time.Millisecond
)

// withTunnels serves tunnels at the address for other gateways. All other calls go to next.
func (g *Gateway) withTunnels(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked, found := tunnel.ReadRequest(request)
		if !found {
			next.ServeHTTP(writer, request)
			return
		}
		g.serveTunnel(writer, request, asked)
	})
}

// serveTunnel connects another gateway with a worker. The connection to the worker is always direct, so
// that no request goes through more than two gateways.
func (g *Gateway) serveTunnel(writer http.ResponseWriter, request *http.Request, asked tunnel.Request) {
	g.pressure.tunnels.Add(1)
	defer g.pressure.tunnels.Add(-1)
	destination, err := g.admitTunnel(asked)
	if err != nil {
		g.refuseTunnel(writer, asked, err)
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), tunnelDialTimeout)
	defer cancel()
	worker, err := g.dialDirect(traffic.With(ctx, traffic.Requests, g.distanceTo(g.workers.ZoneOf(asked.Worker))), destination)
	if err != nil {
		g.refuseTunnel(writer, asked, g.explainDialFailure(request.Context(), asked.Worker, err))
		return
	}
	node, err := tunnel.Accept(writer)
	if err != nil {
		_ = worker.Close()
		g.events.line("tunnel_failed").Str("peer", string(asked.Node)).Str("worker", string(asked.Worker)).Err(err).Msg("tunnel_failed")
		return
	}
	g.metrics.links.tunnels.WithLabelValues("opened").Inc()
	carrier := tunnel.NewCarrier(node, worker)
	g.carriers.add(carrier)
	defer g.carriers.remove(carrier)
	carrier.Run()
}

// admitTunnel returns the worker's destination if this gateway opens a tunnel to it for another.
func (g *Gateway) admitTunnel(asked tunnel.Request) (upstream.Destination, error) {
	if _, member := g.peers.View().Find(asked.Node); !member {
		return upstream.Destination{}, errors.Wrap(tunnel.ErrUnavailable, "not a member")
	}
	if g.isStopping() || g.pressure.level() == nodecapacity.Full || !g.hasConnectionRoom() {
		return upstream.Destination{}, errors.Wrap(tunnel.ErrUnavailable, "no capacity")
	}
	if g.links.isPartitioned() {
		return upstream.Destination{}, errors.Wrap(tunnel.ErrUnavailable, "partitioned from the workers")
	}
	address, known := g.addressOf(asked.Worker)
	if !known || g.links.isLost(asked.Worker) {
		return upstream.Destination{}, errors.Wrap(tunnel.ErrNoLink, "worker unknown or its link lost")
	}
	return upstream.Destination{Engine: asked.Worker, Address: address}, nil
}

// addressOf returns the address of a worker or of a store of KV cache.
func (g *Gateway) addressOf(id fleet.EngineID) (fleet.Address, bool) {
	if worker, known := g.workers.Worker(id); known {
		return worker.Address, true
	}
	snapshot := g.configuration.Current()
	if snapshot == nil {
		return "", false
	}
	for _, store := range snapshot.Table.Stores() {
		if backends.StoreRun(store.Store.Address).Engine == id {
			return store.Store.Address, true
		}
	}
	return "", false
}

// explainDialFailure returns the answer for a failed connection to a worker. Unless this gateway can
// connect to another worker, its own links may be lost as well, and it says nothing of the worker. A worker
// that has refused is avoided here too, so that not each gateway finds it by requests of its own.
func (g *Gateway) explainDialFailure(ctx context.Context, worker fleet.EngineID, err error) error {
	if !g.canConnectElsewhere(ctx, worker) {
		return errors.Wrap(tunnel.ErrUnavailable, "no other worker reached")
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.workers.ObserveRefusal(g.now(), worker)
		return tunnel.ErrWorkerRefused
	}
	return tunnel.ErrWorkerUnreachable
}

// canConnectElsewhere reports whether this gateway can connect to a worker other than the given one.
func (g *Gateway) canConnectElsewhere(ctx context.Context, except fleet.EngineID) bool {
	if g.links.connectedSince(g.now() - recentConnection) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, otherWorkerTimeout)
	defer cancel()
	workers := g.likelyReachable()
	results := make(chan bool, otherWorkersTried)
	started := 0
	for _, worker := range workers {
		if worker.ID == except || started == otherWorkersTried {
			continue
		}
		started++
		go func() {
			conn, err := g.dialDirect(ctx, upstream.Destination{Engine: worker.ID, Address: worker.Address})
			if err == nil {
				_ = conn.Close()
			}
			results <- err == nil
		}()
	}
	for range started {
		if <-results {
			return true
		}
	}
	return false
}

// likelyReachable returns the workers in use in random order, those that are suspected last: they may have ended,
// and say nothing of this gateway's links.
func (g *Gateway) likelyReachable() []backends.Worker {
	workers, suspects := g.workers.WorkersInUse(), g.workers.Suspects(g.now())
	rand.Shuffle(len(workers), func(a, b int) { workers[a], workers[b] = workers[b], workers[a] })
	slices.SortStableFunc(workers, func(a, b backends.Worker) int {
		return suspicionRank(suspects, a.ID) - suspicionRank(suspects, b.ID)
	})
	return workers
}

// suspicionRank returns 1 for a worker among the suspects, which are sorted, and 0 for another.
func suspicionRank(suspects []fleet.EngineID, id fleet.EngineID) int {
	if _, suspected := slices.BinarySearch(suspects, id); suspected {
		return 1
	}
	return 0
}

func (g *Gateway) refuseTunnel(writer http.ResponseWriter, asked tunnel.Request, cause error) {
	g.metrics.links.tunnels.WithLabelValues("refused").Inc()
	g.events.line("tunnel_refused").Str("peer", string(asked.Node)).Str("worker", string(asked.Worker)).Err(cause).Msg("tunnel_refused")
	tunnel.Refuse(writer, cause)
}
