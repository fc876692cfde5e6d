// Package platformserver serves the platform model over HTTP with injected faults, as a stand-in
// for the platform.
package platformserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/standin/platformmodel"
)

// Paths of the control endpoints, which faults do not affect.
const (
	// PathFaults accepts a POST of Faults.
	PathFaults = "/control/faults"
	// PathSetMachines accepts a POST of platform.MachinesResponse.
	PathSetMachines = "/control/machines"
	// PathCounters returns Counters to a GET.
	PathCounters = "/control/counters"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = time.Second
)

// Server is a stand-in for the platform. Its methods are safe for concurrent use, but Start and
// Stop must not overlap.
type Server struct {
	logger   zerolog.Logger
	clock    fleet.Clock
	tomb     tomb.Tomb
	server   *http.Server
	listener net.Listener

	mutex    sync.Mutex
	model    *platformmodel.Platform
	faults   Faults
	counters Counters
}

// New returns a server with an empty platform. The rate limit and the machine lag of options can be
// changed by SetFaults.
func New(options platformmodel.Options, logger zerolog.Logger) *Server {
	return &Server{
		logger: logger,
		clock:  fleet.NewClock(),
		model:  platformmodel.New(options),
		faults: Faults{Rate: options.Rate, MachineLag: config.Duration(options.MachineLag)},
	}
}

// Start listens on an address and serves until Stop. Port 0 selects a free port.
func (s *Server) Start(address fleet.Address) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.listener = listener
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: headerTimeout}
	s.tomb.Go(func() error {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	s.logger.Info().Stringer("address", listener.Addr()).Msg("platform_stand_in_listening")
	return nil
}

// Address returns the address of the started server.
func (s *Server) Address() fleet.Address { return fleet.Address(s.listener.Addr().String()) }

// Stop waits a limited time for calls to end, closes the remaining connections and waits for the
// server.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.server.Close()
	}
	return s.tomb.Wait()
}

// Dead returns a channel that is closed when the server has ended.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// SetMachines replaces the actual list of machines.
func (s *Server) SetMachines(machines []platform.Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.model.SetMachines(s.clock.Now(), machines)
}

// Counters returns the number of calls so far.
func (s *Server) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counters
}

func (s *Server) routes() http.Handler {
	router := bunrouter.New()
	router.GET(platform.PathRow, s.handle(s.getRow, read))
	router.GET(platform.PathRows, s.handle(s.listRows, read))
	router.POST(platform.PathCommit, s.handle(s.commit, write))
	router.GET(platform.PathObject, s.handle(s.getObject, read))
	router.PUT(platform.PathObject, s.handle(s.putObject, write))
	router.GET(platform.PathMachines, s.handle(s.listMachines, read))
	router.GET(platform.PathWeights, s.handle(s.weightStore, read))
	router.POST(PathFaults, s.controlFaults)
	router.POST(PathSetMachines, s.controlMachines)
	router.GET(PathCounters, s.controlCounters)
	return router
}
