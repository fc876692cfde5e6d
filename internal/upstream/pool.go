package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// Defaults of Options.
const (
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultIdleTimeout = 10 * time.Second
	// userTimeout is how long written bytes may stay unacknowledged before a connection counts as dead
	// (TCP_USER_TIMEOUT). It also ends a connection of which keep-alive probes go unanswered, once
	// that long has passed since its last packet.
	//
	// A sound worker may be silent for two seconds: the last packet may have come keepAliveIdle before, and the next
	// probe goes up to keepAliveInterval after. The kernel sends none once userTimeout has passed.
	userTimeout = 5 * time.Second
	// patientUserTimeout is userTimeout during the exchanges of patient destinations. A retransmission that falls into
	// a second short silence is followed by one only 6 s after the first packet; most deadlines come sooner than this.
	patientUserTimeout = 30 * time.Second
	// keepAliveIdle is how long a connection is quiet before the first probe, keepAliveInterval the time between two.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// KeepAliveProbes is the number of unanswered keep-alive probes that ends a connection. It's so high that
// TCP_USER_TIMEOUT alone decides: probes lost in several short silences may add up to a small number.
const KeepAliveProbes = 60

// Options configures a Pool. Zero fields take their defaults.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout limits the time that a connection stays idle. A shorter keep-alive timeout of the
	// worker takes precedence.
	IdleTimeout time.Duration
	// Dial opens a connection; nil uses TCP.
	Dial func(ctx context.Context, destination Destination) (net.Conn, error)
	// KeepsRelayed reports whether connections through another node are kept for reuse; nil keeps
	// them.
	KeepsRelayed func(destination Destination, relay fleet.NodeID) bool
	// Traffic counts the bytes of connections opened by the default Dial; nil disables counting.
	Traffic *traffic.Meter
	// OnDial is called for each connection opened; may be nil.
	OnDial func(engine fleet.EngineID)
	// OnUnsolicited is called for each direct connection that is closed because bytes came on it although
	// no response was due; may be nil. It must not call the pool.
	OnUnsolicited func(engine fleet.EngineID, address fleet.Address)
}

// Pool holds idle connections by worker run. It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	workers map[fleet.EngineID]*worker
}

// worker holds the connections to one run of one worker.
type worker struct {
	// idle is a stack: the most recently used connection is reused first.
	idle []*connection
	// open counts the connections, idle and in use.
	open int
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout <= 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.Dial == nil {
		dial := NewDial(options.Traffic)
		options.Dial = func(ctx context.Context, destination Destination) (net.Conn, error) {
			return dial(ctx, "tcp4", string(destination.Address))
		}
	}
	return &Pool{options: options, workers: make(map[fleet.EngineID]*worker)}
}

// HasCapacity reports whether a request to a worker would find an idle connection or may open a new
// one.
func (p *Pool) HasCapacity(destination Destination) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.workers[destination.Engine]
	if state == nil || len(state.idle) > 0 || destination.MaxConnections <= 0 {
		return true
	}
	return state.open < destination.MaxConnections
}

// OpenConnections returns the number of open connections, idle and in use.
func (p *Pool) OpenConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open := 0
	for _, state := range p.workers {
		open += state.open
	}
	return open
}

// CloseIdleTo closes the idle connections to a worker.
func (p *Pool) CloseIdleTo(engine fleet.EngineID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.workers[engine]
	if state == nil {
		return
	}
	for _, idle := range state.idle {
		idle.raw.Close()
		state.open--
	}
	state.idle = nil
	if state.open == 0 {
		delete(p.workers, engine)
	}
}

// keepsRelayed reports whether a connection is direct, or may be kept although it is relayed.
func (p *Pool) keepsRelayed(conn *connection) bool {
	if conn.relay == "" || p.options.KeepsRelayed == nil {
		return true
	}
	return p.options.KeepsRelayed(Destination{Engine: conn.engine, Address: conn.address}, conn.relay)
}

// CloseIdleDirect closes the idle connections that don't go through another node.
func (p *Pool) CloseIdleDirect() {
	p.closeIdleIf(func(conn *connection) bool { return conn.relay == "" })
}

// closeIdleIf closes the idle connections that match.
func (p *Pool) closeIdleIf(matches func(conn *connection) bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, state := range p.workers {
		kept := state.idle[:0]
		for _, idle := range state.idle {
			if !matches(idle) {
				kept = append(kept, idle)
				continue
			}
			idle.raw.Close()
			state.open--
		}
		state.idle = kept
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mutex.Lock()
	engines := make([]fleet.EngineID, 0, len(p.workers))
	for engine := range p.workers {
		engines = append(engines, engine)
	}
	p.mutex.Unlock()
	for _, engine := range engines {
		p.CloseIdleTo(engine)
	}
}

// acquire returns a usable idle connection, or nil. If it returns nil and room is true, a new
// connection may be opened and has been counted as open.
func (p *Pool) acquire(destination Destination) (taken *connection, room bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.workerFor(destination.Engine)
	now := time.Now()
	for len(state.idle) > 0 {
		last := state.idle[len(state.idle)-1]
		if last.expires.Sub(now) < last.minRemaining(destination) && state.reserve(destination.MaxConnections) {
			// The others have been idle for longer.
			return nil, true
		}
		state.idle = state.idle[:len(state.idle)-1]
		if last.address == destination.Address && now.Before(last.expires) && p.keepsRelayed(last) && p.checkIdle(last) {
			return last, true
		}
		last.raw.Close()
		state.open--
	}
	return nil, state.reserve(destination.MaxConnections)
}

// reserve counts a new connection as open and reports whether there is room for it.
func (p *Pool) reserve(destination Destination) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.workerFor(destination.Engine).reserve(destination.MaxConnections)
}

// workerFor returns the state of a worker, which it creates if needed. The mutex must be held.
func (p *Pool) workerFor(engine fleet.EngineID) *worker {
	state := p.workers[engine]
	if state == nil {
		state = &worker{}
		p.workers[engine] = state
	}
	return state
}

// reserve counts a new connection as open and reports true, unless the limit is reached; 0 means
// no limit.
func (w *worker) reserve(limit int) bool {
	if limit > 0 && w.open >= limit {
		return false
	}
	w.open++
	return true
}

// release returns a connection to the pool for reuse.
func (p *Pool) release(conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.workers[conn.engine]
	if state == nil {
		conn.raw.Close()
		return
	}
	conn.idleSince = time.Now()
	conn.expires = conn.idleSince.Add(min(conn.keepAlive, p.options.IdleTimeout))
	state.idle = append(state.idle, conn)
}

// noteClosed records that a connection was closed.
func (p *Pool) noteClosed(engine fleet.EngineID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.workers[engine]
	if state == nil {
		return
	}
	state.open--
	if state.open <= 0 && len(state.idle) == 0 {
		delete(p.workers, engine)
	}
}

// CloseExpired closes the idle connections that have expired, that their workers have closed, or on which bytes came.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.closeIdleIf(func(conn *connection) bool {
		return !now.Before(conn.expires) || !p.keepsRelayed(conn) || !p.checkIdle(conn)
	})
}

// checkIdle reports whether an idle connection is usable, and reports unsolicited bytes.
func (p *Pool) checkIdle(conn *connection) bool {
	state := conn.idleState()
	if state == idleUnsolicited {
		p.reportUnsolicited(conn)
	}
	return state == idleUsable
}

// reportUnsolicited reports unsolicited bytes on a direct connection. What is left on a relayed one may be the other
// node's framing.
func (p *Pool) reportUnsolicited(conn *connection) {
	if p.options.OnUnsolicited != nil && conn.relay == "" {
		p.options.OnUnsolicited(conn.engine, conn.address)
	}
}
