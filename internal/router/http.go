package router

import (
	"bytes"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uptrace/bunrouter"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Paths served besides the twirp services.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// Limits of the HTTP server. There is no write timeout because placement calls may wait for long.
const (
	readHeaderTimeout = 5 * time.Second
	readBodyTimeout   = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

func (r *Router) newServer(handlers ...rpc.TwirpServer) *http.Server {
	mux := bunrouter.New()
	mux.GET(PathHealth, bunrouter.HTTPHandlerFunc(r.serveHealth))
	mux.GET(PathReady, bunrouter.HTTPHandlerFunc(r.serveReady))
	mux.GET(PathMetrics, bunrouter.HTTPHandler(promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})))
	for _, handler := range handlers {
		mux.POST(handler.PathPrefix()+"*method", bunrouter.HTTPHandler(r.limitBody(handler)))
	}
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(r.logger.With().Str("source", "http").Logger(), "", 0),
	}
}

// limitBody reads a request body, limited in size and time, before it calls handler. The server's
// ReadTimeout isn't used because it would also cancel waiting placement calls.
func (r *Router) limitBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		controller := http.NewResponseController(writer)
		_ = controller.SetReadDeadline(time.Now().Add(readBodyTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, r.options.Settings.MaxBodyBytes))
		if err != nil {
			http.Error(writer, "the body can't be read or is too large", http.StatusRequestEntityTooLarge)
			return
		}
		_ = controller.SetReadDeadline(time.Time{})
		request.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(writer, request)
	})
}

func (r *Router) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n"))
}

func (r *Router) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if reason := r.notReadyReason(); reason != "" {
		http.Error(writer, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

// notReadyReason returns why the router can't place requests, or "" if it can.
func (r *Router) notReadyReason() string {
	switch {
	case r.isStopping():
		return "stopping"
	case !r.configured.Load():
		return "no configuration is known yet"
	case !r.listed.Load():
		return "no list of machines is known yet"
	}
	return ""
}
