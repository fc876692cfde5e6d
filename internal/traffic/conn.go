package traffic

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
)

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	meter    *Meter
	counters atomic.Pointer[counters]
}

// Wrap returns a connection whose bytes count for a purpose and a distance.
func (m *Meter) Wrap(conn net.Conn, purpose Purpose, distance Distance) *Conn {
	counted := &Conn{Conn: conn, meter: m}
	counted.counters.Store(m.countersFor(purpose, distance))
	return counted
}

// Read implements io.Reader.
func (c *Conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.counters.Load()[Received].Add(uint64(max(count, 0)))
	return count, err
}

// Write implements io.Writer.
func (c *Conn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.counters.Load()[Sent].Add(uint64(max(count, 0)))
	return count, err
}

// errNoHalfClose says that a connection can't be closed in one direction.
var errNoHalfClose = errors.New("connection closes as a whole")

// CloseWrite ends what is sent, as a TCP connection does. A server that refuses a request
// which it hasn't read to its end does so and waits before it closes: without it the system
// resets the connection, and the caller may lose the answer.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoHalfClose
	}
	return half.CloseWrite()
}

// errNoDescriptor says that a connection has no descriptor of the system's.
var errNoDescriptor = errors.New("connection has no descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return system.SyscallConn()
}

// DialContext makes a connection.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that dials and counts for what the context names. A nil meter
// counts nothing.
func (m *Meter) Dial(dial DialContext) DialContext {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		named := labelOf(ctx)
		return m.Wrap(conn, named.purpose, named.distance), nil
	}
}

// RoundTripper makes calls on connections made by Dial, and has each count for what
// its own context names: kept connections carry calls of many purposes, one at a time.
type RoundTripper struct {
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (r RoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	named := labelOf(request.Context())
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if conn, counted := got.Conn.(*Conn); counted {
			conn.counters.Store(conn.meter.countersFor(named.purpose, named.distance))
		}
	}}
	return r.Next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the kept connections, as http.Client has it done.
func (r RoundTripper) CloseIdleConnections() {
	if closer, ok := r.Next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Listener is a listener whose connections are counted.
type Listener struct {
	net.Listener
	Meter    *Meter
	Purpose  Purpose
	Distance Distance
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Meter.Wrap(conn, l.Purpose, l.Distance), nil
}
