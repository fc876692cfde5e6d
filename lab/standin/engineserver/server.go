// Package engineserver serves the engine model of package enginemodel over HTTP in real time, as a
// stand-in for an engine. Faults can be set while it runs.
package engineserver

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// Defaults and limits of the server.
const (
	// DefaultGrace is the default of Config.Grace.
	DefaultGrace = 10 * time.Second
	// DefaultWriteTimeout is the default of Config.WriteTimeout.
	DefaultWriteTimeout = time.Minute
	maxBodyBytes        = 64 << 20
	maxEventWait        = time.Minute
	readHeaderTimeout   = 10 * time.Second
	shutdownTimeout     = 2 * time.Second
	idleInterval        = time.Second
)

// Config configures a Server.
type Config struct {
	// Model describes the engine. An Incarnation of 0 selects the wall clock in milliseconds, so
	// that a restarted process has a higher incarnation than its predecessor.
	Model enginemodel.Config
	// Grace is the grace period after which a stream without a reader is cancelled. Zero selects
	// DefaultGrace.
	Grace time.Duration
	// WriteTimeout is how long a reader may block a write before its connection is closed. Zero
	// selects DefaultWriteTimeout.
	WriteTimeout time.Duration
	Logger       zerolog.Logger
}

// Server is a stand-in for an engine. Its methods are safe for concurrent use, but Start, Stop,
// Kill and Restart must not overlap.
type Server struct {
	config Config
	clock  fleet.Clock
	random *rand.Rand

	mutex   sync.Mutex
	model   *enginemodel.Engine
	faults  Faults
	readers map[fleet.StreamID]int
	// orphans holds the streams without a reader and when each lost its last one.
	orphans map[fleet.StreamID]time.Duration
	// executions lists the accepted streams in order.
	executions []fleet.StreamID
	// changed is closed and replaced when readers may have something to read.
	changed chan struct{}
	// notified is the progress of the model when changed was last closed.
	notified progress
	// frozenAt is the engine time at which a freeze began, frozenFor the time that freezes have
	// taken from the clock.
	frozenAt  time.Duration
	frozenFor time.Duration

	wake    chan struct{}
	tomb    *tomb.Tomb
	http    *http.Server
	address fleet.Address
	started bool
}

// New returns a server that is not listening yet.
func New(config Config) *Server {
	if config.Grace <= 0 {
		config.Grace = DefaultGrace
	}
	if config.WriteTimeout <= 0 {
		config.WriteTimeout = DefaultWriteTimeout
	}
	if config.Model.Incarnation == 0 {
		config.Model.Incarnation = fleet.Incarnation(time.Now().UnixMilli())
	}
	model := enginemodel.New(config.Model)
	return &Server{
		config:  config,
		clock:   fleet.NewClock(),
		random:  rand.New(rand.NewPCG(uint64(config.Model.Incarnation), 2)),
		model:   model,
		faults:  initialFaults(model.Config()),
		readers: make(map[fleet.StreamID]int),
		orphans: make(map[fleet.StreamID]time.Duration),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

func initialFaults(config enginemodel.Config) Faults {
	return Faults{
		EventLoss:        config.EventLoss,
		EventDelayMillis: config.EventDelay.Milliseconds(),
		LoadLagMillis:    config.LoadLag.Milliseconds(),
		LoadTimeMillis:   config.Costs.LoadTime.Milliseconds(),
	}
}

// Start listens on an address; port 0 selects a free port. A start after Stop or Kill begins the
// next incarnation.
func (s *Server) Start(address fleet.Address) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if s.started {
		s.nextIncarnation()
	}
	s.started = true
	s.address = fleet.Address(listener.Addr().String())
	t := &tomb.Tomb{}
	server := &http.Server{Handler: s.routes(t), ReadHeaderTimeout: readHeaderTimeout}
	s.tomb = t
	s.http = server
	t.Go(func() error { return s.runModel(t) })
	t.Go(func() error { return serve(server, listener) })
	status := s.Status()
	s.config.Logger.Info().Str("engine", string(status.Engine)).Str("address", string(s.address)).
		Uint64("incarnation", uint64(status.Incarnation)).Msg("engine_started")
	return nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// Address returns the address of the last Start.
func (s *Server) Address() fleet.Address { return s.address }

// Stop aborts open streams, waits a limited time for other requests to end, and stops the server.
func (s *Server) Stop() error {
	if s.tomb == nil {
		return nil
	}
	s.tomb.Kill(nil)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
	}
	return s.tomb.Wait()
}

// Kill closes all connections at once, as the death of a process does.
func (s *Server) Kill() {
	if s.tomb == nil {
		return
	}
	s.http.Close()
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

// Restart kills the server and starts it on the same address with the next incarnation and an empty
// state.
func (s *Server) Restart() error {
	s.Kill()
	return s.Start(s.address)
}

// Status returns the state of the engine, regardless of faults.
func (s *Server) Status() engine.Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Status(s.now())
}

// Counters returns the counters of the model.
func (s *Server) Counters() enginemodel.Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Counters()
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setFaults(faults)
}

// changeFaults applies a JSON object on top of the current faults. It rejects unknown fields,
// because a misspelt fault would have no effect.
func (s *Server) changeFaults(changes []byte) (Faults, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	faults := s.faults
	decoder := json.NewDecoder(bytes.NewReader(changes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return Faults{}, errors.Wrap(err, "decode faults")
	}
	s.setFaults(faults)
	return faults, nil
}

func (s *Server) setFaults(faults Faults) {
	now := s.now()
	switch {
	case faults.Freeze && !s.faults.Freeze:
		s.frozenAt = now
	case !faults.Freeze && s.faults.Freeze:
		s.frozenFor = s.clock.Now() - s.frozenAt
	}
	s.faults = faults
	s.model.SetEventLoss(faults.EventLoss)
	s.model.SetEventDelay(millis(faults.EventDelayMillis))
	s.model.SetLoadLag(millis(faults.LoadLagMillis))
	s.model.SetLoadTime(millis(faults.LoadTimeMillis))
	s.notify()
}

func (s *Server) nextIncarnation() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.model.Restart(s.now())
	clear(s.readers)
	clear(s.orphans)
	s.notify()
}

// now returns the time of the engine, which stands still during a freeze. The caller holds the
// mutex.
func (s *Server) now() time.Duration {
	if s.faults.Freeze {
		return s.frozenAt
	}
	return s.clock.Now() - s.frozenFor
}

// notify wakes all readers and the goroutine of runModel. The caller holds the mutex.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
