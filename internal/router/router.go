package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/fleetsync"
	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/peer"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Options configures a Router.
type Options struct {
	Settings Settings
	Logger   zerolog.Logger
	// Version is the program version shown to operators.
	Version string
	// Tables, Objects and Machines are the platform's services. If Tables is nil, all three are
	// replaced by a client for the platform in Settings.
	Tables   platform.Tables
	Objects  platform.Objects
	Machines platform.Machines
}

// Router is one instance of the router process.
type Router struct {
	options         Options
	node            fleet.NodeID
	clock           fleet.Clock
	logger          zerolog.Logger
	metrics         *metrics
	placer          *placer
	engines         *engineFleet
	machines        *machineList
	listPublisher   *fleetsync.Publisher
	holder          *config.Holder
	configStore     *config.Store
	configFollower  *config.PlatformFollower
	fetcher         *peerFetcher
	machineFollower *machineFollower
	configSnapshots snapshotCache

	address  fleet.Address
	listener net.Listener
	server   *http.Server
	peers    *peer.Peer
	rollout  *rolloutRunner

	tomb     tomb.Tomb
	stopping atomic.Bool
	// configured and listed are set once the placement core has a configuration and a list of
	// engines.
	configured atomic.Bool
	listed     atomic.Bool
	warmup     warmup
	stopOnce   sync.Once
	stopErr    error
}

// New returns a router. Call Start to run it.
func New(options Options) *Router {
	node := options.Settings.Node.NewNodeID()
	if options.Tables == nil {
		client := platform.NewClient(platform.ClientOptions{
			Address: options.Settings.Platform.Address,
			Timeout: time.Duration(options.Settings.Platform.Timeout),
		})
		options.Tables, options.Objects, options.Machines = client, client, client
	}
	options.Logger = options.Logger.With().Str("node", string(node)).Logger()
	clock := fleet.NewClock()
	metrics := newMetrics()
	core := placement.New(placement.Options{Node: node, Zone: options.Settings.Node.Zone, Random: newRandom()})
	placer := newPlacer(core, clock, metrics, options.Settings.MaxWaitingCalls)
	metrics.registry.MustRegister(collector{placer: placer})
	return &Router{
		options:       options,
		node:          node,
		clock:         clock,
		logger:        options.Logger,
		metrics:       metrics,
		placer:        placer,
		engines:       newEngineFleet(node, placer, metrics, options.Settings, options.Logger),
		machines:      newMachineList(),
		listPublisher: fleetsync.NewPublisher(node),
		holder:        config.NewHolder(),
		configStore:   config.NewStore(options.Tables, options.Objects, config.StoreOptions{}),
	}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Start listens and begins to serve. It returns once the router's address is known; the router
// becomes ready when it has a configuration and a list of machines.
func (r *Router) Start() error {
	listener, err := net.Listen("tcp", string(r.options.Settings.Node.Address))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	r.listener = listener
	r.address = r.advertisedAddress()
	if err := r.startComponents(); err != nil {
		_ = listener.Close()
		return err
	}
	r.tomb.Go(r.run)
	r.logger.Info().Str("address", string(r.address)).Str("version", r.options.Version).Msg("router_started")
	return nil
}

func (r *Router) startComponents() error {
	var err error
	if r.rollout, err = newRolloutRunner(r); err != nil {
		return err
	}
	if r.peers, err = r.newPeer(); err != nil {
		return err
	}
	r.server = r.newServer(
		rpc.NewPlacementServer(&placementServer{router: r, logger: r.logger}),
		rpc.NewOperationsServer(r.newOperationsServer()),
		rpc.NewPeerServer(&peerServer{Peer: r.peers, router: r}),
	)
	r.fetcher = newPeerFetcher(r)
	r.machineFollower = newMachineFollower(r)
	r.followConfiguration()
	return nil
}

func (r *Router) newOperationsServer() *operationsServer {
	store := &commandStore{store: r.configStore, refresh: r.refreshConfiguration}
	return &operationsServer{
		router:  r,
		runner:  operator.NewRunner(operatorSource{router: r}, store, r.rollout),
		timeout: time.Duration(r.options.Settings.CommandTimeout),
		logger:  r.logger,
	}
}

// run starts the router's goroutines.
func (r *Router) run() error {
	r.tomb.Go(r.serve)
	r.tomb.Go(func() error { return r.placer.run(r.tomb.Dying()) })
	r.tomb.Go(func() error { return r.engines.run(r.tomb.Dying()) })
	r.tomb.Go(r.pollMachines)
	r.tomb.Go(r.applyMachines)
	r.tomb.Go(r.fetchMachines)
	r.tomb.Go(r.applyConfigurations)
	r.tomb.Go(r.applyMembership)
	r.peers.Start()
	r.rollout.start()
	return nil
}

func (r *Router) serve() error {
	err := r.server.Serve(r.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Address returns the address at which other nodes reach the router. It is valid after Start.
func (r *Router) Address() fleet.Address { return r.address }

// Node returns the identifier of this instance.
func (r *Router) Node() fleet.NodeID { return r.node }

// Ready reports whether the router can place requests.
func (r *Router) Ready() bool { return r.notReadyReason() == "" }

// Dead returns a channel that is closed when the router has terminated.
func (r *Router) Dead() <-chan struct{} { return r.tomb.Dead() }

// Err returns why the router terminated, or nil after a graceful stop.
func (r *Router) Err() error { return r.tomb.Err() }

func (r *Router) isStopping() bool { return r.stopping.Load() }

// Stop stops the router gracefully: it reports not ready, leaves the membership, hands waiting
// requests back, finishes open calls and releases the lease. It returns within the stop timeout of
// the settings even if peers or the platform don't respond. Concurrent and later calls wait for the
// first one.
func (r *Router) Stop() error {
	r.stopOnce.Do(func() { r.stopErr = r.stop() })
	return r.stopErr
}

func (r *Router) stop() error {
	r.stopping.Store(true)
	r.logger.Info().Int("waiting", r.placer.openCallCount()).Msg("router_stopping")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.options.Settings.StopTimeout))
	defer cancel()
	r.placer.do(func(now time.Duration, core *placement.Core) { core.Drain(now) })
	var parts sync.WaitGroup
	parts.Go(r.leaveMembership)
	parts.Go(r.rollout.stop)
	parts.Go(func() { r.stopServer(ctx) })
	waitFor(ctx, &parts)
	r.tomb.Kill(nil)
	_ = r.configFollower.Stop()
	_ = r.peers.Stop()
	err := r.tomb.Wait()
	r.logger.Info().Msg("router_stopped")
	return err
}

// stopServer waits for open calls and closes the remaining ones when ctx ends.
func (r *Router) stopServer(ctx context.Context) {
	if err := r.server.Shutdown(ctx); err != nil {
		r.logger.Warn().Err(err).Msg("open_calls_cut")
		_ = r.server.Close()
	}
}

// waitFor waits for parts or until ctx ends.
func waitFor(ctx context.Context, parts *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		parts.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *Router) header() *rpc.Header {
	return &rpc.Header{Sender: string(r.node), KnownRevision: uint64(r.holder.Revision())}
}

// otherRouters returns the addresses of up to limit other routers, those in the same zone first.
func (r *Router) otherRouters(limit int) []string {
	var sameZone, otherZones []string
	for _, member := range r.peers.View().Routable() {
		switch {
		case member.Node == r.node:
		case member.Zone == r.options.Settings.Node.Zone:
			sameZone = append(sameZone, string(member.Address))
		default:
			otherZones = append(otherZones, string(member.Address))
		}
	}
	all := append(sameZone, otherZones...)
	return all[:min(len(all), limit)]
}
