package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// idleCloseFactor and idleCloseMargin are how much longer than the configured limit a caller's
	// connection may rest before it is closed. A server that closes a connection at the limit itself
	// meets the request of a caller that keeps to it, since the request travels meanwhile.
	idleCloseFactor = 2
	idleCloseMargin = 10 * time.Second
	// unusedTimeout bounds how long a connection may stay without its first request if no limit is
	// configured.
	unusedTimeout = time.Minute
)

// callerStream is what a caller's connection must support.
type callerStream interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// callerConn is a caller's connection. The timeout for a request's head starts with its first byte:
// http.Server starts that of the first request when the connection is accepted.
type callerConn struct {
	callerStream
	headerTimeout time.Duration
	// receiving is set from the first byte of a request until its response has been sent.
	receiving atomic.Bool
	// rested is how long the connection had been idle when its current request arrived.
	rested atomic.Int64
}

// Read implements io.Reader.
func (c *callerConn) Read(into []byte) (int, error) {
	count, err := c.callerStream.Read(into)
	if count > 0 && c.receiving.CompareAndSwap(false, true) {
		if deadlineErr := c.callerStream.SetReadDeadline(time.Now().Add(c.headerTimeout)); err == nil {
			err = deadlineErr
		}
	}
	return count, err
}

// SetReadDeadline implements net.Conn. No future deadline applies between requests; one in the past
// interrupts a read.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	if !c.receiving.Load() && deadline.After(time.Now()) {
		deadline = time.Time{}
	}
	return c.callerStream.SetReadDeadline(deadline)
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	// headerTimeout bounds the time from a request's first byte to the end of its head.
	headerTimeout time.Duration
}

// errNotCallerStream means that a listener's connections can't be callers' connections.
var errNotCallerStream = errors.New("connection has no descriptor or half-close")

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	stream, ok := conn.(callerStream)
	if !ok {
		_ = conn.Close()
		return nil, errNotCallerStream
	}
	return &callerConn{callerStream: stream, headerTimeout: l.headerTimeout}, nil
}

// restingConnection is a caller's connection without a request.
type restingConnection struct {
	since time.Duration
	// unused is set if no request has come on the connection yet.
	unused bool
}

// closeAt describes the close of the connection at now.
func (r restingConnection) closeAt(now time.Duration, conn net.Conn) idleClose {
	return idleClose{caller: conn.RemoteAddr().String(), rested: now - r.since, unused: r.unused}
}

// idleConnections tracks callers' connections without a request and closes those that rest for too
// long. The limit may change with each configuration, unlike http.Server.IdleTimeout.
type idleConnections struct {
	mutex   sync.Mutex
	resting map[net.Conn]restingConnection
}

func newIdleConnections() *idleConnections {
	return &idleConnections{resting: make(map[net.Conn]restingConnection)}
}

// observe records a connection's new state. It is called from a server's ConnState hook.
func (i *idleConnections) observe(now time.Duration, conn net.Conn, state http.ConnState) {
	caller, _ := conn.(*callerConn)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		if caller != nil {
			caller.receiving.Store(false)
		}
		i.resting[conn] = restingConnection{since: now, unused: state == http.StateNew}
	default:
		if resting, found := i.resting[conn]; found && caller != nil {
			caller.receiving.Store(true)
			caller.rested.Store(int64(now - resting.since))
		}
		delete(i.resting, conn)
	}
}

// idleClose is the close of a connection while it rested.
type idleClose struct {
	caller string
	rested time.Duration
	unused bool
}

// sweep closes the connections that have rested for too long, except those on which a request is
// arriving, and returns the closes. scarce is set while descriptors or memory run short.
func (i *idleConnections) sweep(now, limit time.Duration, scarce bool) []idleClose {
	var closes []idleClose
	for conn, resting := range i.expired(now, limit, scarce) {
		if i.closeIfResting(conn, resting) {
			closes = append(closes, resting.closeAt(now, conn))
		}
	}
	return closes
}

// closesAtStop returns the closes of all resting connections, which a stop is about to close.
func (i *idleConnections) closesAtStop(now time.Duration) []idleClose {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	closes := make([]idleClose, 0, len(i.resting))
	for conn, resting := range i.resting {
		closes = append(closes, resting.closeAt(now, conn))
	}
	return closes
}

// expired returns the connections that have rested for too long.
func (i *idleConnections) expired(now, limit time.Duration, scarce bool) map[net.Conn]restingConnection {
	expired := make(map[net.Conn]restingConnection)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for conn, resting := range i.resting {
		if after, bounded := closeAfter(limit, scarce, resting.unused); bounded && now-resting.since > after {
			expired[conn] = resting
		}
	}
	return expired
}

// closeIfResting closes a connection unless a request, or a part of one, has arrived on it since it
// began to rest. It reports whether it did.
func (i *idleConnections) closeIfResting(conn net.Conn, expected restingConnection) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if resting, found := i.resting[conn]; !found || resting != expected || isReceiving(conn) {
		return false
	}
	delete(i.resting, conn)
	_ = conn.Close()
	return true
}

// isReceiving reports whether a part of a request was read from a connection without a request, or
// waits to be read.
func isReceiving(conn net.Conn) bool {
	if caller, ok := conn.(*callerConn); ok && caller.receiving.Load() {
		return true
	}
	system, ok := conn.(syscall.Conn)
	return ok && peekSocket(system) == socketReadable
}

// closeAfter returns how long a connection may rest before it is closed. A limit of 0 means that
// none is configured.
func closeAfter(limit time.Duration, scarce, unused bool) (after time.Duration, bounded bool) {
	switch {
	case limit <= 0:
		return unusedTimeout, unused
	case scarce:
		return limit, true
	default:
		return max(idleCloseFactor*limit, limit+idleCloseMargin), true
	}
}

// Causes of the close of a connection while it rested.
const (
	closeCauseIdle     = "idle"
	closeCauseScarce   = "scarce"
	closeCauseStopping = "stopping"
)

// sweepIdleConnections closes callers' connections that have rested for too long.
func (g *Gateway) sweepIdleConnections() {
	scarce, cause := g.pressure.scarce.Load(), closeCauseIdle
	if scarce {
		cause = closeCauseScarce
	}
	g.recordIdleCloses(g.idleConnections.sweep(g.now(), g.idleTimeout(), scarce), cause)
}

// recordIdleCloses counts and logs callers' connections that are closed while they rest, since a
// request that is on its way to one gets no answer and leaves no other line.
func (g *Gateway) recordIdleCloses(closes []idleClose, cause string) {
	for _, closed := range closes {
		g.metrics.idleCloses.WithLabelValues(cause).Inc()
		g.events.line("idle_connection_closed").Str("caller_address", closed.caller).Dur("rested", closed.rested).Bool("unused", closed.unused).
			Str("cause", cause).Msg("idle_connection_closed")
	}
}
