// Package agent implements the process beside each caller. It serves an OpenAI-compatible API, asks
// a router which engine gets each request, dispatches the request there itself and forwards the
// tokens. Package attempt decides when to resume, cancel or retry.
//
// An agent receives its configuration from the routers. It uses the highest revision it has seen
// and updates routers that are behind. While no router is reachable, it is not ready and keeps
// validating requests with its last configuration, regardless of its age, but refuses them as
// "no_router" with a Retry-After, since they can't be placed. Streams that already run at engines
// continue.
package agent

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/fleetsync"
)

// Dependencies are provided by the process that runs the agent.
type Dependencies struct {
	Logger zerolog.Logger
	// Registry receives the agent's metrics; nil creates a new registry.
	Registry *prometheus.Registry
}

// Agent is one instance of the agent process. It can't be restarted.
type Agent struct {
	settings Settings
	node     fleet.NodeID
	logger   zerolog.Logger
	clock    fleet.Clock
	registry *prometheus.Registry
	metrics  *metrics

	config *config.Holder
	// lists holds the routers' lists of routers and engines. The list of engines also serves to
	// restore routers that restart during a platform outage.
	lists fleetsync.Subscriber
	// snapshotWanted is set when configuration changes could not be applied.
	snapshotWanted atomic.Bool
	routers        *routerSet
	engines        *engine.ConnectionPool
	budget         attempt.RetryBudget
	concurrency    *concurrencyLimiter
	duplicates     *duplicateFilter
	gate           *admissionGate

	server    *http.Server
	listener  net.Listener
	syncQueue chan *routerState

	// tomb tracks the agent's own goroutines; calls tracks those of requests, which may outlive
	// their requests.
	tomb         tomb.Tomb
	calls        tomb.Tomb
	graceExpired chan struct{}
	drained      chan struct{}
}

// New returns an agent that is not started. The settings must have been validated.
func New(settings Settings, dependencies Dependencies) (*Agent, error) {
	registry := dependencies.Registry
	if registry == nil {
		registry = prometheus.NewRegistry()
	}
	node := settings.Node.NewNodeID()
	clock := fleet.NewClock()
	a := &Agent{
		settings: settings,
		node:     node,
		logger:   dependencies.Logger.With().Str("node", string(node)).Logger(),
		clock:    clock,
		registry: registry,
		metrics:  newMetrics(registry),
		config:   config.NewHolder(),
		routers:  newRouterSet(clock, settings.newRanking(), settings.Routers, time.Duration(settings.Sync.BackoffMax)),
		engines: engine.NewConnectionPool(engine.Options{
			ConnectTimeout: time.Duration(settings.Engines.ConnectTimeout),
			HeaderTimeout:  time.Duration(settings.Engines.HeaderTimeout),
		}),
		budget:       &lockedBudget{budget: attempt.NewBudget(settings.Requests.budget())},
		concurrency:  newConcurrencyLimiter(settings.Requests.MaxConcurrent),
		duplicates:   newDuplicateFilter(settings.Requests.IdempotencyKeys),
		gate:         newAdmissionGate(),
		syncQueue:    make(chan *routerState, 1),
		graceExpired: make(chan struct{}),
		drained:      make(chan struct{}),
	}
	a.server = a.newServer()
	return a, nil
}

func (a *Agent) newServer() *http.Server {
	limits := a.settings.HTTP
	return &http.Server{
		Handler:           a.routes(),
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
		IdleTimeout:       time.Duration(limits.IdleTimeout),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnContext:       a.boundWriteBuffer,
		ErrorLog:          log.New(a.logger.With().Str("source", "http").Logger(), "", 0),
	}
}

// boundWriteBuffer keeps the kernel from growing the send buffer of a caller that doesn't read.
// Errors are ignored because the connection works without the bound.
func (a *Agent) boundWriteBuffer(ctx context.Context, connection net.Conn) context.Context {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetWriteBuffer(a.settings.HTTP.WriteBufferBytes)
	}
	return ctx
}

// Start listens and serves until Stop is called or ctx ends. Both stop the agent gracefully.
func (a *Agent) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", string(a.settings.Node.Address))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.listener = listener
	a.calls.Go(func() error {
		<-a.calls.Dying()
		return nil
	})
	a.tomb.Go(a.serve)
	a.tomb.Go(a.syncLoop)
	a.tomb.Go(func() error { return a.supervise(ctx) })
	a.logger.Info().Str("address", listener.Addr().String()).Msg("agent_started")
	return nil
}

// Address returns the address on which a started agent listens.
func (a *Agent) Address() fleet.Address { return fleet.Address(a.listener.Addr().String()) }

// Node returns the identifier of this instance.
func (a *Agent) Node() fleet.NodeID { return a.node }

// Dead returns a channel that is closed when the agent has terminated.
func (a *Agent) Dead() <-chan struct{} { return a.tomb.Dead() }

// Stop refuses new requests, lets running ones finish within the grace period and returns when the
// agent has terminated. Concurrent and later calls wait as well.
func (a *Agent) Stop() error {
	if a.listener == nil {
		return nil // not started
	}
	a.tomb.Kill(nil)
	return a.tomb.Wait()
}

func (a *Agent) serve() error {
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func (a *Agent) supervise(ctx context.Context) error {
	select {
	case <-ctx.Done():
		a.tomb.Kill(nil)
	case <-a.tomb.Dying():
	}
	a.drain()
	return nil
}

// drain stops the agent. New requests are answered with a refusal as long as old ones run.
func (a *Agent) drain() {
	grace := time.Duration(a.settings.StopGrace)
	idle := a.gate.close()
	a.server.SetKeepAlivesEnabled(false)
	a.logger.Info().Dur("grace_ms", grace).Msg("agent_stopping")
	select {
	case <-idle:
	case <-time.After(grace):
		a.logger.Warn().Msg("stop_grace_over")
	}
	close(a.graceExpired)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.settings.HTTP.WriteTimeout))
	defer cancel()
	if err := a.server.Shutdown(ctx); err != nil {
		a.server.Close()
	}
	<-idle
	close(a.drained)
	a.calls.Kill(nil)
	if err := a.calls.Wait(); err != nil {
		a.logger.Error().Err(err).Msg("call_failed")
	}
	a.routers.client.CloseIdleConnections()
	a.logger.Info().Msg("agent_stopped")
}
