// Package engineserver is the HTTP stand-in of a model engine: the model of
// package enginemodel in real time, with faults that can be set while it runs.
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

// Defaults and limits.
const (
	// DefaultGrace is how long a stream goes on without a reader.
	DefaultGrace = 10 * time.Second
	// DefaultWriteTimeout is how long a reader may block a write.
	DefaultWriteTimeout = time.Minute
	maxBodyBytes        = 64 << 20
	maxEventWait        = time.Minute
	readHeaderTimeout   = 10 * time.Second
	shutdownTimeout     = 2 * time.Second
	idleInterval        = time.Second
)

// Config describes a stand-in.
type Config struct {
	// Model is the engine. An Incarnation of 0 is taken from the wall clock,
	// so that a process that starts again supersedes the one before.
	Model enginemodel.Config
	// Grace is how long a stream without a reader goes on before it is
	// cancelled. Zero means DefaultGrace.
	Grace time.Duration
	// WriteTimeout is how long a reader may block before its connection is
	// cut. Zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	Logger       zerolog.Logger
}

// Server is a stand-in. Its methods are safe for concurrent use, but Start,
// Stop, Kill and Restart must not overlap.
type Server struct {
	config Config
	clock  fleet.Clock
	random *rand.Rand

	mutex   sync.Mutex
	model   *enginemodel.Engine
	faults  Faults
	readers map[fleet.StreamID]int
	// orphans are streams without a reader, with the time they lost the last.
	orphans map[fleet.StreamID]time.Duration
	// executions are the accepted streams, for Executions.
	executions []fleet.StreamID
	// changed is closed and replaced whenever there may be something to read.
	changed chan struct{}
	// notified is what the model had done when changed was last closed.
	notified progress
	// frozenAt and frozenFor hold the engine's time back while it is frozen.
	frozenAt  time.Duration
	frozenFor time.Duration

	wake    chan struct{}
	tomb    *tomb.Tomb
	http    *http.Server
	address fleet.Address
	started bool
}

// New returns a stand-in that doesn't listen yet.
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

// Start listens on an address; port 0 picks one. A start after Stop or Kill
// begins the next incarnation.
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
	life := &tomb.Tomb{}
	server := &http.Server{Handler: s.routes(life), ReadHeaderTimeout: readHeaderTimeout}
	s.tomb = life
	s.http = server
	life.Go(func() error { return s.runModel(life) })
	life.Go(func() error { return serve(server, listener) })
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

// Address is where the stand-in listens, or last listened.
func (s *Server) Address() fleet.Address { return s.address }

// Stop ends open streams' connections, lets short exchanges end and stops.
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

// Kill cuts all connections at once, as the death of the process does.
func (s *Server) Kill() {
	if s.tomb == nil {
		return
	}
	s.http.Close()
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

// Restart kills the stand-in and starts it on the same address with the next
// incarnation and nothing in its memory.
func (s *Server) Restart() error {
	s.Kill()
	return s.Start(s.address)
}

// Status returns the engine's state without faults.
func (s *Server) Status() engine.Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Status(s.now())
}

// Counters returns the model's counts of work.
func (s *Server) Counters() enginemodel.Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.model.Counters()
}

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setFaults(faults)
}

// changeFaults applies a JSON object on top of the present faults. It refuses
// unknown fields: a fault with a misspelt name would test nothing.
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

// now is the engine's own time, which stands still while it is frozen. The
// caller holds the mutex.
func (s *Server) now() time.Duration {
	if s.faults.Freeze {
		return s.frozenAt
	}
	return s.clock.Now() - s.frozenFor
}

// notify wakes all readers and the stepping goroutine. The caller holds the
// mutex.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
