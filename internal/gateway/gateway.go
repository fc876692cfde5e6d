// Package gateway implements the proxy between callers and workers: it accepts requests, chooses a
// worker for each and forwards it, enforcing deadlines, retry budgets, quotas and key revocations.
// Any number of gateways serve side by side as equal peers that share state with each other and
// follow the store.
//
// The package runs in real time; the decisions are those of packages such as routes, backends,
// attempt, rollout, lease and membership.
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
	"github.com/tillerfall/tillerfall/internal/bodymemory"
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

// Gateway is one gateway process. Start serves until Stop is called or the process fails.
type Gateway struct {
	// currentSettings is replaced as a whole by Reload.
	currentSettings atomic.Pointer[Settings]
	dependencies    Dependencies
	clock           fleet.Clock
	node            fleet.NodeID
	logger          zerolog.Logger
	events          *eventLog
	metrics         *metrics
	life            tomb.Tomb

	configuration *routes.Holder
	freshness     *routes.Freshness
	workers       *backends.Registry
	upstreams     *upstream.Pool
	budgets       *retryBudgets
	// roomWaits counts the requests that wait for a worker with room.
	roomWaits atomic.Int32
	// bodies and answers are the memory for the bodies of requests, and for buffered answers and events.
	bodies             *bodymemory.Budget
	answers            *bodymemory.Budget
	quotas             *quotas
	limits             *workerLimits
	backoffs           *workerBackoffs
	rejections         *rejectionLimits
	unknownHeaders     *unknownHeaders
	storeEpoch         *storeEpoch
	peerConfigurations *peerConfigurations
	startProof         *startProof
	rollout            *rolloutState
	deliveries         *deliveryState
	peers              *peer.Peer
	lease              *lease.Keeper
	seeds              *seedList
	pending            *pendingSends
	engineWatch        *engineWatch
	tables             []*table
	sources            *sourceSelector
	demand             *demandTracker
	origins            *originTracker
	unresponsivePeers  *peerFailures
	pressure           *pressureMonitor
	readiness          *readiness
	announcer          *announcer
	reportedVersions   *versionReports
	cacheLog           *cacheLog
	zoneFeeds          *zoneFeeds
	crashes            *crashDetector
	links              *workerLinks
	relays             *relays
	carriers           *openCarriers
	// directDial opens connections to workers and to other gateways' tunnels.
	directDial     traffic.DialContext
	quarantines    *quarantineState
	streamOrigins  *streamOrigins
	recordQueues   *recordQueues
	storedSoftware *storedSoftware
	suspensions    *suspension.Detector
	// pauses tells of times in which the process didn't run.
	pauses           *suspension.PauseDetector
	suspensionSignal *suspensionSignal
	deadlines        *deadlineTimers
	// quarantineTable is followed only by gateways that read the store.
	quarantineTable *table
	roles           atomic.Pointer[nodeRoles]
	// groupSizes and join are used by updateRoles alone. roleSettled is set once this gateway knows
	// its role.
	groupSizes  membership.SizeHysteresis
	join        joinState
	roleSettled atomic.Bool
	// softwareVersions is only accessed while the workers table is applied.
	softwareVersions seenVersions
	// progress is used by runRollout alone. fallbackCandidate is set while this gateway is a
	// candidate for the rollout lease because the regular candidates make no progress.
	progress          progressMonitor
	fallbackCandidate atomic.Bool
	// yieldsLease is used by runRollout alone.
	yieldsLease bool

	splitMutex sync.Mutex
	splitter   *routes.Splitter

	// workersKnown is set after the first complete list of workers.
	workersKnown atomic.Bool
	// stoppingSince is the start of the planned stop in nanoseconds of the steady clock, 0 before
	// it.
	stoppingSince atomic.Int64
	// serversClosed is set once a planned stop closes the connections of requests that are still under way.
	serversClosed atomic.Bool
	inFlight      atomic.Int64
	// requestCount counts the requests since the process started.
	requestCount atomic.Int64
	// versionsEnforcedAt is the time of the last enforceDueVersions call, in nanoseconds of the
	// steady clock.
	versionsEnforcedAt atomic.Int64
	lastRequest        atomic.Int64
	// lastLimitedRequest is the arrival of the last request of a tenant with a limit, in
	// nanoseconds of the steady clock, 0 before the first one.
	lastLimitedRequest atomic.Int64

	servers         []*http.Server
	front           *http.Server
	idleConnections *idleConnections
	listeners       []net.Listener
}

// New returns a gateway that has not been started.
func New(settings Settings, dependencies Dependencies, logger zerolog.Logger, registry *prometheus.Registry) (*Gateway, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	if dependencies.Traffic == nil {
		dependencies.Traffic = &traffic.Meter{}
	}
	if dependencies.Clock == nil {
		dependencies.Clock = fleet.NewClock()
	}
	holderID := lease.NewHolderID(fleet.NodeID(settings.Node), rand.Uint64())
	g := &Gateway{
		dependencies:      dependencies,
		clock:             dependencies.Clock,
		node:              fleet.NodeID(holderID),
		logger:            logger,
		events:            newEventLog(logger),
		metrics:           newMetrics(registry, dependencies.Traffic),
		configuration:     routes.NewHolder(),
		freshness:         routes.NewFreshness(),
		splitter:          routes.NewSplitter(),
		seeds:             &seedList{},
		pending:           newPendingSends(),
		engineWatch:       newEngineWatch(),
		idleConnections:   newIdleConnections(),
		demand:            newDemandTracker(),
		origins:           newOriginTracker(),
		pressure:          &pressureMonitor{},
		unresponsivePeers: newPeerFailures(),

		readiness:        newReadiness(),
		announcer:        newAnnouncer(),
		reportedVersions: newVersionReports(),
		cacheLog:         newCacheLog(rand.Uint64()),
		zoneFeeds:        newZoneFeeds(),
		crashes:          newCrashDetector(),
		links:            newWorkerLinks(),
		relays:           newRelays(),
		carriers:         newOpenCarriers(),
		quarantines:      newQuarantineState(fleet.NodeID(holderID)),
		recordQueues:     newRecordQueues(),
		storedSoftware:   newStoredSoftware(),
		suspensionSignal: newSuspensionSignal(),
		deadlines:        newDeadlineTimers(),
		limits:           newWorkerLimits(),
		backoffs:         newWorkerBackoffs(random()),
		rejections:       newRejectionLimits(),
		unknownHeaders:   &unknownHeaders{},
		storeEpoch:       &storeEpoch{},

		peerConfigurations: &peerConfigurations{},
		startProof:         &startProof{},
		softwareVersions:   make(seenVersions),
	}
	g.currentSettings.Store(&settings)
	g.suspensions = suspension.NewDetector(g.clock, fleet.NewRuntimeClock())
	g.pauses = suspension.NewPauseDetector(minPause)
	g.sources = newSourceSelector(g.clock.Now(), relay.Options{
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
	g.directDial = upstream.NewDial(g.dependencies.Traffic)
	g.upstreams = upstream.NewPool(upstream.Options{
		Traffic: g.dependencies.Traffic,
		Dial:    g.dialWorker,
		KeepsRelayed: func(destination upstream.Destination, relay fleet.NodeID) bool {
			return g.keepsRelayed(destination.Engine, relay)
		},
		OnDial: func(fleet.EngineID) { g.metrics.connections.Inc() },

		OnUnsolicited: g.reportUnsolicited,
	})
	g.bodies = bodymemory.New(settings.Limits.BodyBytes())
	g.answers = bodymemory.New(settings.Limits.AnswerBytes())
	g.budgets = newRetryBudgets(settings, random(), g.retryCounts, g.recordRetryDecision)
	g.quotas = newQuotas(g.clock.Now(), settings)
	registerTicketMetrics(registry, g.quotas.tickets)
	g.rollout = newRolloutState(settings)
	g.deliveries = newDeliveryState(g.node, settings)
	g.streamOrigins = newStreamOrigins(g.clock.Now(), settings)
	var err error
	if g.peers, err = g.newPeer(random()); err != nil {
		return nil, err
	}
	g.updateRoles(g.clock.Now())
	election, err := lease.NewElection(leaseSettings(settings), holderID, random())
	if err != nil {
		return nil, errors.Wrap(err, "lease")
	}
	election.SetEligible(false)
	g.lease = lease.NewKeeper(election, dependencies.Leases, g.clock, logger)
	return g, nil
}

// Scheduling costs for engines that can import KV cache from each other. The tie fraction keeps a
// placement that needs an import from counting as a tie; the import weight accounts for the cached
// parts that an import evicts.
const (
	tieFraction  = 0.02
	importWeight = 45 * time.Microsecond
)

// schedulingOptions returns the scheduling options for engines that can import KV cache.
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
		Seeds:               g.settings().Seeds,
		DiscoverSeeds:       g.seeds.addresses,
		Holder:              config.NewHolder(),
		Logger:              g.logger,
		HandleLoadReport:    g.handleLoadReport,
		Traffic:             g.dependencies.Traffic,
		HandleWatch:         g.handleWatch,
		HandleCaches:        g.handleCaches,
		HandleLimitQuestion: g.handleGrantRequest,
		HandleStreamRecords: g.handleStreamRecords,
		HandleStreamQuery:   g.handleStreamQuery,
	})
	if err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	return created, nil
}

// settings returns the current settings.
func (g *Gateway) settings() *Settings { return g.currentSettings.Load() }

// Reload replaces the settings while the gateway runs. It returns an error if the settings are
// invalid or if they change names or addresses, which needs a restart.
func (g *Gateway) Reload(settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	if settings.identity() != g.settings().identity() {
		return errors.New("names and addresses can't be reloaded: restart the gateway")
	}
	g.currentSettings.Store(&settings)
	g.rollout.setBound(settings.UpdateModelsWithin)
	g.budgets.setSettings(settings)
	g.logger.Info().Msg("settings_reloaded")
	return nil
}

// Node returns the node identifier of this run.
func (g *Gateway) Node() fleet.NodeID { return g.node }

// Dead returns a channel that is closed when the gateway has ended.
func (g *Gateway) Dead() <-chan struct{} { return g.life.Dead() }

// Err returns the reason why the gateway has ended.
func (g *Gateway) Err() error { return g.life.Err() }

// Start opens the listeners and starts serving.
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
	g.life.Go(g.maintainRoles)
	g.life.Go(g.monitorPressure)
	g.life.Go(g.runRegistration)
	g.life.Go(g.exchangeAtStart)
	g.life.Go(g.exchangeLoads)
	g.life.Go(g.announceLoads)
	g.life.Go(g.runUsageExchange)
	g.life.Go(g.runRollout)
	g.life.Go(g.runDeliveryDirector)
	g.life.Go(g.announceDeliveries)
	g.life.Go(g.announceQuarantine)
	g.life.Go(g.announceLimits)
	g.life.Go(g.syncQuarantineStore)
	g.life.Go(g.syncSoftware)
	g.life.Go(g.followCaches)
	g.life.Go(g.watchEngines)
	g.life.Go(g.recheckLinks)
	g.life.Go(g.housekeep)
	g.life.Go(g.keepLease)
	g.life.Go(g.reportTraffic)
	return nil
}

// now returns the time on the steady clock, which includes time spent suspended.
func (g *Gateway) now() time.Duration { return g.clock.Now() }

// isStopping reports whether a planned stop has begun.
func (g *Gateway) isStopping() bool { return g.stoppingSince.Load() != 0 }

// context returns a context that is cancelled when the process ends.
func (g *Gateway) context() context.Context { return g.life.Context(context.Background()) }

// pause sleeps for a duration. It returns false if the process ends first.
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

const (
	housekeepInterval  = time.Second
	forgetWorkersAfter = 20 * time.Second
)

// housekeep periodically drops state that is no longer needed and updates gauges.
func (g *Gateway) housekeep() error {
	for g.pauseInterval(housekeepInterval) {
		for _, engine := range g.workers.Forget(g.now(), forgetWorkersAfter) {
			g.upstreams.CloseIdleTo(engine)
			g.limits.forget(engine)
			g.backoffs.forget(engine)
			g.unknownHeaders.forget(engine)
			g.links.forget(engine)
		}
		g.sweepSilences()
		g.upstreams.CloseExpired()
		g.logLimitUsage()
		g.sweepRejectionLimits()
		g.metrics.workersInBackoff.Set(float64(len(g.backoffs.workersInBackoff(g.now()))))
		g.sweepIdleConnections()
		g.crashes.sweep(g.now())
		g.sweepQuarantines()
		g.observeSoftware()
		g.streamOrigins.expire(g.now())
		g.planSubsets(nil)
		g.events.logDropped()
	}
	return nil
}

// idleTimeout returns how long callers may leave a connection idle, 0 for no limit.
func (g *Gateway) idleTimeout() time.Duration {
	snapshot := g.configuration.Current()
	if snapshot == nil {
		return 0
	}
	return snapshot.Table.Limits().IdleTimeout
}
