// Package agent is the process beside each caller. It takes requests in the
// callers' protocol, asks a router which engine gets each, dispatches it there
// itself, passes the tokens on, and resumes, cancels or tries again as package
// attempt decides.
//
// An agent learns its configuration from the routers, takes the highest
// revision from any of them and brings routers that are behind up to date. It
// can't tell whether the revision that it has is the newest: while no router
// can be reached it goes on checking requests by the last one, without a limit
// of time, isn't ready, and refuses them as "no_router" with a Retry-After,
// since nothing can be placed. Streams that run at engines go on.
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

// Dependencies are what an agent gets from its process.
type Dependencies struct {
	Logger zerolog.Logger
	// Registry takes the agent's metrics; nil makes a new one.
	Registry *prometheus.Registry
}

// Agent is one run of the process. It can't be started again.
type Agent struct {
	settings Settings
	node     fleet.NodeID
	logger   zerolog.Logger
	clock    fleet.Clock
	registry *prometheus.Registry
	metrics  *metrics

	config *config.Holder
	// lists are the routers' lists. That of engines is remembered also for
	// those routers that restart while the platform is down.
	lists fleetsync.Subscriber
	// snapshotWanted is set when changes of the configuration couldn't be applied.
	snapshotWanted atomic.Bool
	routers        *routerSet
	engines        *engine.Connections
	budget         attempt.RetryBudget
	concurrency    *concurrencyLimiter
	duplicates     *duplicateFilter
	running        *admissionGate

	server       *http.Server
	listener     net.Listener
	syncRequests chan *routerState

	// tomb runs the agent; calls runs what requests have under way, which ends
	// after the requests themselves.
	tomb         tomb.Tomb
	calls        tomb.Tomb
	graceExpired chan struct{}
	drained      chan struct{}
}

// New returns an agent that isn't started. The settings must have been checked.
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
		engines: engine.NewConnections(engine.Options{
			ConnectTimeout: time.Duration(settings.Engines.ConnectTimeout),
			HeaderTimeout:  time.Duration(settings.Engines.HeaderTimeout),
		}),
		budget:       &lockedBudget{budget: attempt.NewBudget(settings.Requests.budget())},
		concurrency:  newConcurrencyLimiter(settings.Requests.MaxConcurrent),
		duplicates:   newDuplicateFilter(settings.Requests.IdempotencyKeys),
		running:      newAdmissionGate(),
		syncRequests: make(chan *routerState, 1),
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

// boundWriteBuffer keeps the kernel from growing the buffer of a caller that
// doesn't read. A connection that can't be bounded works all the same.
func (a *Agent) boundWriteBuffer(ctx context.Context, connection net.Conn) context.Context {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetWriteBuffer(a.settings.HTTP.WriteBufferBytes)
	}
	return ctx
}

// Start listens and serves until Stop is called or the context ends; the end of
// the context is a planned stop too.
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

// Address returns the address that a started agent listens on.
func (a *Agent) Address() fleet.Address { return fleet.Address(a.listener.Addr().String()) }

// Node returns the identifier of this run.
func (a *Agent) Node() fleet.NodeID { return a.node }

// Dead is closed when the agent has ended.
func (a *Agent) Dead() <-chan struct{} { return a.tomb.Dead() }

// Stop refuses new requests, lets running ones finish within the grace and
// returns when the agent has ended. Further calls wait for the same end.
func (a *Agent) Stop() error {
	if a.listener == nil {
		return nil // never started
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

// drain ends the agent. New requests are refused, not cut off, for as long as
// old ones run.
func (a *Agent) drain() {
	grace := time.Duration(a.settings.StopGrace)
	idle := a.running.close()
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
