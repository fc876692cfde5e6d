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
	DefaultDialTimeout   = 500 * time.Millisecond
	DefaultIdleTimeout   = 10 * time.Second
	DefaultUserTimeout   = 3 * time.Second
	DefaultKeepAliveIdle = 2 * time.Second
)

// Options sets up a Pool; zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept without use, unless the
	// worker says less.
	IdleTimeout time.Duration
	// UserTimeout is how long written bytes may stay unacknowledged before the
	// connection counts as dead.
	UserTimeout time.Duration
	// Dial makes a connection; nil uses TCP.
	Dial func(ctx context.Context, address fleet.Address) (net.Conn, error)
	// Traffic counts the bytes of the connections that TCP makes; nil counts none.
	Traffic *traffic.Meter
	// OnDial is called for each connection made; nil for none.
	OnDial func(engine fleet.EngineID)
}

// Pool keeps idle connections by worker run. It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	workers map[fleet.EngineID]*worker
}

// worker is what the pool holds of one run of one worker.
type worker struct {
	// idle is a stack: the connection used last is taken first.
	idle []*connection
	// open counts connections, idle or in use.
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
	if options.UserTimeout <= 0 {
		options.UserTimeout = DefaultUserTimeout
	}
	if options.Dial == nil {
		dial := options.Traffic.Dial(newDialer(options.UserTimeout).DialContext)
		options.Dial = func(ctx context.Context, address fleet.Address) (net.Conn, error) {
			return dial(ctx, "tcp4", string(address))
		}
	}
	return &Pool{options: options, workers: make(map[fleet.EngineID]*worker)}
}

// HasCapacity tells whether a request to a worker would find an idle connection, or
// room for a new one.
func (p *Pool) HasCapacity(destination Destination) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.workers[destination.Engine]
	if known == nil || len(known.idle) > 0 || destination.MaxConnections <= 0 {
		return true
	}
	return known.open < destination.MaxConnections
}

// OpenConnections returns the number of connections that are open, idle or in use.
func (p *Pool) OpenConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	open := 0
	for _, known := range p.workers {
		open += known.open
	}
	return open
}

// CloseIdleTo closes the idle connections to a worker that is gone.
func (p *Pool) CloseIdleTo(engine fleet.EngineID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.workers[engine]
	if known == nil {
		return
	}
	for _, idle := range known.idle {
		idle.raw.Close()
		known.open--
	}
	known.idle = nil
	if known.open == 0 {
		delete(p.workers, engine)
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

// acquire returns an idle connection that is still good, or nil. With room for a
// new one it counts that as open; room is false when there is none.
func (p *Pool) acquire(destination Destination) (taken *connection, room bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.workerFor(destination.Engine)
	now := time.Now()
	for len(known.idle) > 0 {
		last := known.idle[len(known.idle)-1]
		known.idle = known.idle[:len(known.idle)-1]
		if last.address == destination.Address && now.Before(last.expires) && last.isUsable() {
			return last, true
		}
		last.raw.Close()
		known.open--
	}
	return nil, known.reserve(destination.MaxConnections)
}

// reserve counts a new connection as open if there is room for one.
func (p *Pool) reserve(destination Destination) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.workerFor(destination.Engine).reserve(destination.MaxConnections)
}

// workerFor returns what the pool holds of a worker; the mutex is held.
func (p *Pool) workerFor(engine fleet.EngineID) *worker {
	known := p.workers[engine]
	if known == nil {
		known = &worker{}
		p.workers[engine] = known
	}
	return known
}

// reserve counts a new connection as open unless as many are as may be; 0 means no bound.
func (w *worker) reserve(bound int) bool {
	if bound > 0 && w.open >= bound {
		return false
	}
	w.open++
	return true
}

// release gives a connection back for another exchange.
func (p *Pool) release(conn *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.workers[conn.engine]
	if known == nil {
		conn.raw.Close()
		return
	}
	conn.expires = time.Now().Add(min(conn.keepAlive, p.options.IdleTimeout))
	known.idle = append(known.idle, conn)
}

// noteClosed notes that a connection was closed.
func (p *Pool) noteClosed(engine fleet.EngineID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.workers[engine]
	if known == nil {
		return
	}
	known.open--
	if known.open <= 0 && len(known.idle) == 0 {
		delete(p.workers, engine)
	}
}

// CloseExpired closes idle connections that have expired.
func (p *Pool) CloseExpired() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for _, known := range p.workers {
		kept := known.idle[:0]
		for _, idle := range known.idle {
			if now.Before(idle.expires) {
				kept = append(kept, idle)
				continue
			}
			idle.raw.Close()
			known.open--
		}
		known.idle = kept
	}
}
