package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/peer"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/traffic"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// Limits of the HTTP servers.
const (
	// headerTimeout is the read timeout for a request's headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes limits a request's headers independently of the configuration.
	maxHeaderBytes = 64 << 10
	// directoryTTL is how long callers may cache a response of the directory.
	directoryTTL = time.Second
	// callerUserTimeout is how long bytes sent to a caller may stay unacknowledged.
	callerUserTimeout = 6 * time.Second
)

// listen opens all listeners before serving any, so that a port in use fails the start.
func (g *Gateway) listen() error {
	g.front = &http.Server{
		Handler:           http.HandlerFunc(g.serveFront),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.observeFrontConnection,
		ConnContext:       withCallerConn,
	}
	handlers := []struct {
		address string
		server  *http.Server
		// counted is the purpose under which received bytes are counted; Other if the calling side
		// counts them.
		counted traffic.Purpose
	}{
		{g.settings().FrontAddress, g.front, traffic.Callers},
		{g.settings().DirectoryAddress, &http.Server{Handler: g.directoryHandler()}, traffic.Directory},
		{g.settings().ReadyAddress, &http.Server{Handler: g.readinessHandler()}, traffic.Other},
		{g.settings().PeerAddress, &http.Server{Handler: g.withTunnels(peer.LimitRequests(peer.MinimalResponseHeaders(rpc.NewPeerServer(g.peers))))}, traffic.Other},
	}
	for _, entry := range handlers {
		listener, err := listenTCP(entry.address)
		if err != nil {
			g.closeListeners()
			return resultcode.New(resultcode.SettingsInvalid, "listen on "+entry.address+": "+err.Error())
		}
		if entry.counted != traffic.Other {
			listener = traffic.Listener{Listener: listener, Meter: g.dependencies.Traffic, Purpose: entry.counted}
		}
		g.listeners = append(g.listeners, listener)
		g.servers = append(g.servers, entry.server)
		if entry.server.ConnState == nil {
			entry.server.ConnState = g.pressure.observeConnection
		}
		if entry.server.ReadHeaderTimeout == 0 {
			entry.server.ReadHeaderTimeout = headerTimeout
		}
	}
	g.readiness.frontOpenedAt.Store(int64(g.now()))
	for index, server := range g.servers {
		listener := g.listeners[index]
		if server == g.front {
			bounded := &boundedListener{Listener: listener, hasRoom: g.hasConnectionRoom, onRefused: g.recordRefusedConnection}
			listener = callerListener{Listener: bounded, headerTimeout: headerTimeout}
		}
		g.life.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "serve")
			}
			return nil
		})
	}
	return nil
}

// observeFrontConnection is the ConnState hook of the front server.
func (g *Gateway) observeFrontConnection(conn net.Conn, state http.ConnState) {
	g.idleConnections.observe(g.now(), conn, state)
	g.pressure.observeConnection(conn, state)
}

// recordRefusedConnection counts and logs a caller's connection that was closed because file
// descriptors ran short.
func (g *Gateway) recordRefusedConnection() {
	g.metrics.refusedConnections.Inc()
	g.events.line("connection_refused").Int("descriptors", g.pressure.openDescriptors()).Msg("connection_refused")
}

func (g *Gateway) closeListeners() {
	for _, listener := range g.listeners {
		listener.Close()
	}
	g.listeners, g.servers = nil, nil
}

// listenTCP listens on an address with a timeout for unacknowledged bytes.
func listenTCP(address string) (net.Listener, error) {
	settings := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: upstream.KeepAliveProbes},
		Control:         upstream.LimitUnacknowledged(callerUserTimeout),
	}
	return settings.Listen(context.Background(), "tcp4", address)
}

func (g *Gateway) readinessHandler() http.Handler {
	router := bunrouter.New()
	router.GET(g.dependencies.Codec.Paths().Readiness, func(writer http.ResponseWriter, _ bunrouter.Request) error {
		if !g.isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return router
}

func (g *Gateway) directoryHandler() http.Handler {
	router := bunrouter.New()
	router.GET(g.dependencies.Codec.Paths().Resolution, func(writer http.ResponseWriter, request bunrouter.Request) error {
		addresses := g.frontAddresses(g.dependencies.Codec.ResolutionQuery(request.Request))
		if len(addresses) == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		ttl := min(directoryTTL, g.settings().MaxDirectoryTTL)
		return g.dependencies.Codec.WriteResolution(writer, addresses, ttl)
	})
	return router
}
