package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/tcpend"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// readBufferSize is the size of a connection's read buffer, in bytes.
const readBufferSize = 2 << 10

// keepAliveMargin is how long before the worker's keep-alive timeout an idle connection expires, so
// that no request is sent while the worker closes it.
const keepAliveMargin = 700 * time.Millisecond

// MaxResponseHeadBytes bounds the head of a response, with all interim ones, in bytes. What a worker sends
// beyond it would be buffered until the request's deadline.
const MaxResponseHeadBytes = 64 << 10

// headLimiter reads from a connection and bounds what is read while a response head is due.
type headLimiter struct {
	conn net.Conn
	// limited is set while a head is read, and remaining is the number of bytes that it may still have.
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(into []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(into)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	count, err := l.conn.Read(into[:min(len(into), l.remaining)])
	l.remaining -= count
	return count, err
}

// connection is one connection to a worker.
type connection struct {
	engine  fleet.EngineID
	address fleet.Address
	// relay is the node through which the connection goes; empty if it is direct.
	relay  fleet.NodeID
	raw    net.Conn
	reader *bufio.Reader
	// head is what reader reads from.
	head *headLimiter
	// end tells how a direct connection ended.
	end tcpend.Observer
	// openedAt is when the connection was opened.
	openedAt time.Time
	// keepAlive is how long the connection may stay idle, and idleSince when it was last released.
	keepAlive time.Duration
	idleSince time.Time
	expires   time.Time
	// written counts the bytes written.
	written atomic.Int64
	// patient is set while the connection has patientUserTimeout.
	patient bool
}

// setPatient sets for how long bytes that are written may stay unacknowledged. Connections through another node stay
// as they are.
func (c *connection) setPatient(patient bool) error {
	system, ok := c.raw.(syscall.Conn)
	if !ok || c.relay != "" || patient == c.patient {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set user timeout")
	}
	limit := userTimeout
	if patient {
		limit = patientUserTimeout
	}
	if err := setUserTimeout(raw, limit); err != nil {
		return errors.Wrap(err, "set user timeout")
	}
	c.patient = patient
	return nil
}

// idleFor returns for how long the connection has been idle, 0 if it has carried no exchange yet.
func (c *connection) idleFor(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return now.Sub(c.idleSince)
}

// alwaysReusable is how long an idle connection is reused whatever a destination asks, up to half of its keep-alive
// timeout: workers with short timeouts would get a new connection for each request.
const alwaysReusable = time.Second

// minRemaining returns for how long the connection must still be valid to be reused for a destination.
func (c *connection) minRemaining(destination Destination) time.Duration {
	return min(destination.MinRemaining, max(c.keepAlive/2, c.keepAlive-alwaysReusable))
}

// Write implements io.Writer and counts the bytes written.
func (c *connection) Write(content []byte) (int, error) {
	count, err := c.raw.Write(content)
	c.written.Add(int64(count))
	return count, err
}

// readHead reads the head of the response to a request.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.head.limited, c.head.remaining = true, MaxResponseHeadBytes
	defer func() { c.head.limited = false }()
	return http.ReadResponse(c.reader, request)
}

// idleState is the state of an idle connection.
type idleState int

const (
	idleUsable idleState = iota
	// idleClosed means that the worker has closed the connection, or that its state can't be read.
	idleClosed
	// idleUnsolicited means that bytes have come although no response was due. They may be a late one, which must
	// not be taken for the response to the next request.
	idleUnsolicited
)

// isUsable reports whether an idle connection is open and has nothing to read.
func (c *connection) isUsable() bool { return c.idleState() == idleUsable }

// hasBuffered reports whether bytes have been received and not been read.
func (c *connection) hasBuffered() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	relayed, ok := c.raw.(RelayedConn)
	return ok && relayed.Buffered() > 0
}

// idleState returns the state of an idle connection.
func (c *connection) idleState() idleState {
	if c.hasBuffered() {
		return idleUnsolicited
	}
	system, ok := c.raw.(syscall.Conn)
	if !ok {
		return idleUsable
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return idleClosed
	}
	state := idleClosed
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		count, _, peekErr := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case count > 0:
			state = idleUnsolicited
		case peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK:
			state = idleUsable
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return state
}

// applyKeepAlive sets keepAlive from the timeout in the worker's Keep-Alive header, if present.
func (c *connection) applyKeepAlive(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			continue
		}
		c.keepAlive = max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
	}
}

// RelayedConn is a connection to a worker that goes through another node.
type RelayedConn interface {
	net.Conn
	// Relay returns the other node.
	Relay() fleet.NodeID
	// Buffered returns the number of bytes that have been received and not been read.
	Buffered() int
}

// relayOf returns the node through which a connection goes; empty if it is direct.
func relayOf(conn net.Conn) fleet.NodeID {
	if relayed, ok := conn.(RelayedConn); ok {
		return relayed.Relay()
	}
	return ""
}

// NewDial returns a function that opens connections to workers directly, with the timeouts of a pool.
// The meter counts their bytes; it may be nil.
func NewDial(meter *traffic.Meter) traffic.DialContext {
	return meter.Dial(newDialer().DialContext)
}

// newDialer returns a dialer whose connections detect an unresponsive peer.
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    KeepAliveProbes,
		},
		Control: LimitUnacknowledged(userTimeout),
	}
}
