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

// Wrap returns a connection whose bytes are counted under a purpose and a distance.
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

// errNoHalfClose means that a connection can't be closed in one direction only.
var errNoHalfClose = errors.New("connection does not support half-close")

// CloseWrite closes the sending direction. An HTTP server that refuses a request with an unread body
// does so before it closes the connection; otherwise the connection is reset and the caller may lose
// the answer.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoHalfClose
	}
	return half.CloseWrite()
}

// errNoDescriptor means that a connection has no file descriptor.
var errNoDescriptor = errors.New("connection has no file descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return system.SyscallConn()
}

// DialContext dials a connection, as net.Dialer.DialContext does.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps a dial function so that its connections are counted under the context's label. A nil
// meter returns dial unchanged.
func (m *Meter) Dial(dial DialContext) DialContext {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		label := labelOf(ctx)
		return m.Wrap(conn, label.purpose, label.distance), nil
	}
}

// RoundTripper makes calls on connections made by Dial and counts each call under its own context's
// label, since a reused connection carries calls of many purposes, one at a time.
type RoundTripper struct {
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (r RoundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	label := labelOf(request.Context())
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if conn, counted := got.Conn.(*Conn); counted {
			conn.counters.Store(conn.meter.countersFor(label.purpose, label.distance))
		}
	}}
	return r.Next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes idle connections. http.Client calls it.
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
