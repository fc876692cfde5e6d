// Package gateway is the process that stands between callers and workers where
// callers run nothing of the project's: it takes requests, places them by the
// product's cores, carries them and keeps the promises about them. Any number
// of gateways serve side by side; all are equal.
//
// The package drives the cores in real time and holds no rule of its own that
// a core could hold: routes, backends, attempt, rollout, lease and membership
// decide.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/peer"
	"github.com/tillerfall/tillerfall/internal/relay"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/scheduling"
	"github.com/tillerfall/tillerfall/internal/suspension"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// Gateway is one process. Start serves until Stop or a failure.
type Gateway struct {
	// inForce is replaced as a whole by Reload.
	inForce atomic.Pointer[Settings]
	outside Outside
	clock   fleet.Clock
	node    fleet.NodeID
	logger  zerolog.Logger
	events  *eventLog
	metrics *metrics
	life    tomb.Tomb

	holder       *routes.Holder
	fresh        *routes.Freshness
	workers      *backends.Registry
	upstreams    *upstream.Pool
	budgets      *budgets
	quotas       *quotas
	limits       *workerLimits
	backoffs     *workerBackoffs
	unknown      *unknownHeaders
	weights      *weights
	deliveries   *deliveries
	peers        *peer.Peer
	keeper       *lease.Keeper
	seeds        *seedList
	pending      *pendingSends
	tables       []*table
	sources      *sources
	demand       *demand
	origins      *origins
	silences     *silences
	pressure     *pressure
	readiness    *readiness
	announcer    *announcer
	toldVersions *toldVersions
	cacheLog     *cacheLog
	zoneFeeds    *zoneFeeds
	crashes      *crashes
	quarantines  *quarantines
	suspensions  *suspension.Detector
	resumptions  *resumptions
	deadlines    *deadlines
	// quarantineTable is followed by those that read the store.
	quarantineTable *table
	roles           atomic.Pointer[nodeRoles]
	// sizes and joined are used by assign alone; settled is set once this node knows its role.
	sizes   membership.SizeHold
	joined  joinedMembers
	settled atomic.Bool
	// versionsSeen belongs to who takes the workers' table in.
	versionsSeen seenVersions
	// duty is used by driveRollout alone; standIn is set while this node stands in for
	// the candidates of the lease.
	duty    dutyWatch
	standIn atomic.Bool

	splitMutex sync.Mutex
	splitter   *routes.Splitter

	// workersKnown is set after the first whole list of workers.
	workersKnown atomic.Bool
	// stoppingSince is when the planned stop began, in nanoseconds of the steady
	// clock; 0 before.
	stoppingSince atomic.Int64
	inFlight      atomic.Int64
	// taken counts the requests since the start.
	taken atomic.Int64
	// requiredAt is when requireDue was last called, in nanoseconds of the steady clock.
	requiredAt  atomic.Int64
	lastRequest atomic.Int64
	// lastLimited is when the last request of a tenant with a limit came, in nanoseconds of
	// the steady clock; 0 before.
	lastLimited atomic.Int64

	servers   []*http.Server
	front     *http.Server
	idle      *idleConnections
	listeners []net.Listener
}

// New returns a gateway that isn't started.
func New(settings Settings, outside Outside, logger zerolog.Logger, registry *prometheus.Registry) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	if outside.Traffic == nil {
		outside.Traffic = &traffic.Meter{}
	}
	if outside.Clock == nil {
		outside.Clock = fleet.NewClock()
	}
	holderID := lease.NewHolderID(fleet.NodeID(settings.Node), rand.Uint64())
	g := &Gateway{
		outside:  outside,
		clock:    outside.Clock,
		node:     fleet.NodeID(holderID),
		logger:   logger,
		events:   newEventLog(logger),
		metrics:  newMetrics(registry, outside.Traffic),
		holder:   routes.NewHolder(),
		fresh:    routes.NewFreshness(),
		splitter: routes.NewSplitter(),
		seeds:    &seedList{},
		pending:  newPendingSends(),
		idle:     newIdleConnections(),
		demand:   newDemand(),
		origins:  newOrigins(),
		pressure: &pressure{},
		silences: newSilences(),

		readiness:    newReadiness(),
		announcer:    newAnnouncer(),
		toldVersions: newToldVersions(),
		cacheLog:     newCacheLog(rand.Uint64()),
		zoneFeeds:    newZoneFeeds(),
		crashes:      newCrashes(),
		quarantines:  newQuarantines(),
		resumptions:  newResumptions(),
		deadlines:    newDeadlines(),
		limits:       newWorkerLimits(),
		backoffs:     newWorkerBackoffs(random()),
		unknown:      &unknownHeaders{},
		versionsSeen: make(seenVersions),
	}
	g.inForce.Store(&settings)
	g.suspensions = suspension.NewDetector(g.clock, fleet.NewRuntimeClock())
	g.sources = newSources(g.clock.Now(), relay.Options{
		Self: g.node, Random: random(), AwaitRole: settings.FirstStart, StaleAfter: staleAfterFor(settings.RevokeWithin),
	})
	g.tables = g.newTables()
	g.quarantineTable = g.newQuarantineTable()
	g.workers = backends.New(backends.Options{
		Zone:       settings.Zone,
		Regions:    settings.regions(),
		Distances:  settings.Distances,
		Random:     random(),
		Scheduling: schedulingOptions(),
	})
	g.upstreams = upstream.NewPool(upstream.Options{
		Traffic: g.outside.Traffic,
		Dialed:  func(fleet.EngineID) { g.metrics.connections.Inc() },
	})
	g.budgets = newBudgets(settings, g.retryShare)
	g.quotas = newQuotas(g.clock.Now(), settings)
	g.weights = newWeights(settings)
	g.deliveries = newDeliveries(g.node, settings)
	var err error
	if g.peers, err = g.newPeer(random()); err != nil {
		return nil, err
	}
	g.assign(g.clock.Now())
	election, err := lease.NewElection(leaseSettings(settings), holderID, random())
	if err != nil {
		return nil, errors.Wrap(err, "lease")
	}
	election.SetEligible(false)
	g.keeper = lease.NewKeeper(election, outside.Leases, g.clock, logger)
	return g, nil
}

// Prices of a choice among engines that can take KV cache over from each other:
// a move must not count as a tie, and what it brings takes the place of other
// parts, which are read again later.
const (
	tieFraction  = 0.02
	importWeight = 45 * time.Microsecond
)

// schedulingOptions returns the prices for engines that can import.
func schedulingOptions() scheduling.Options {
	options := scheduling.DefaultOptions()
	options.TieFraction = tieFraction
	options.ImportWeight = importWeight
	return options
}

func (g *Gateway) newPeer(random *rand.Rand) (*peer.Peer, error) {
	created, err := peer.New(peer.Options{
		Membership: membership.Options{
			Self: membership.Member{
				Node:     g.node,
				Address:  fleet.Address(g.settings().PeerAddress),
				Region:   g.settings().Region,
				Zone:     g.settings().Zone,
				Capacity: g.settings().Limits.Millicores(),
			},
			Random: random,
		},
		Seeds:    g.settings().Seeds,
		Machines: g.seeds.addresses,
		Holder:   config.NewHolder(),
		Logger:   g.logger,
		Loads:    g.answerLoad,
		Traffic:  g.outside.Traffic,
		Watch:    g.answerWatch,
		Caches:   g.answerCaches,
		Limits:   g.answerGrant,
	})
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return created, nil
}

// settings returns the settings in force.
func (g *Gateway) settings() *Settings { return g.inForce.Load() }

// Reload puts other settings in force without a break. Addresses and names stay
// as they were at the start: a change of these needs a restart, and is refused.
func (g *Gateway) Reload(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	if settings.identity() != g.settings().identity() {
		return errors.New("names and addresses can't change while the gateway runs")
	}
	g.inForce.Store(&settings)
	g.weights.setWithin(settings.WeightsWithin)
	g.budgets.setSettings(settings)
	g.logger.Info().Msg("settings_reloaded")
	return nil
}

// Node returns the identifier of this run.
func (g *Gateway) Node() fleet.NodeID { return g.node }

// Dead is closed when the gateway has ended.
func (g *Gateway) Dead() <-chan struct{} { return g.life.Dead() }

// Err returns why the gateway has ended.
func (g *Gateway) Err() error { return g.life.Err() }

// Start listens and serves.
func (g *Gateway) Start() error {
	if err := g.listen(); err != nil {
		return err
	}
	g.logger.Info().
		Str("front", g.settings().FrontAddress).
		Str("peer_address", g.settings().PeerAddress).
		Str("zone", string(g.settings().Zone)).
		Str("store", g.settings().StoreAddress).
		Msg("started")
	for _, followed := range g.tables {
		g.life.Go(func() error { return g.followStore(followed) })
	}
	g.life.Go(g.followQuarantine)
	g.peers.Start()
	g.life.Go(g.watchPeers)
	g.life.Go(g.driveRoles)
	g.life.Go(g.drivePressure)
	g.life.Go(g.register)
	g.life.Go(g.shareLoads)
	g.life.Go(g.announceLoads)
	g.life.Go(g.shareUses)
	g.life.Go(g.driveRollout)
	g.life.Go(g.driveDeliveries)
	g.life.Go(g.announceDeliveries)
	g.life.Go(g.announceQuarantine)
	g.life.Go(g.announceLimits)
	g.life.Go(g.storeQuarantine)
	g.life.Go(g.followCaches)
	g.life.Go(g.housekeep)
	g.life.Go(g.keepLease)
	g.life.Go(g.reportTraffic)
	return nil
}

// now returns the time on the steady clock, which counts suspended time.
func (g *Gateway) now() time.Duration { return g.clock.Now() }

// stopping tells whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.stoppingSince.Load() != 0 }

// context returns a context that ends with the process.
func (g *Gateway) context() context.Context { return g.life.Context(context.Background()) }

// pause waits; it returns false when the process ends.
func (g *Gateway) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.life.Dying():
		return false
	}
}

// Intervals of housekeeping.
const (
	housekeepInterval = time.Second
	forgetWorkers     = 20 * time.Second
)

// housekeep drops what is not needed any more.
func (g *Gateway) housekeep() error {
	for g.pauseOrRest(housekeepInterval) {
		for _, engine := range g.workers.Forget(g.now(), forgetWorkers) {
			g.upstreams.Forget(engine)
			g.limits.forget(engine)
			g.backoffs.forget(engine)
			g.unknown.forget(engine)
		}
		g.upstreams.Sweep()
		g.reportLimits()
		g.metrics.backingOff.Set(float64(len(g.backoffs.closing(g.now()))))
		g.idle.sweep(g.now(), g.idleLimit())
		g.crashes.sweep(g.now())
		g.sweepQuarantines()
		g.planSubsets(nil)
		g.events.report()
	}
	return nil
}

// idleLimit returns how long a caller's connection may rest.
func (g *Gateway) idleLimit() time.Duration {
	held := g.holder.Current()
	if held == nil {
		return 0
	}
	return held.Table.Limits().IdleTimeout
}
