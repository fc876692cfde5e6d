package integration

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// direction tells which way bytes go through a proxy.
type direction int

const (
	// towardsServer is from the process that connected.
	towardsServer direction = iota
	towardsClient
)

// faultAction tells what becomes of a connection whose rule has struck.
type faultAction int

const (
	// actionClose closes both sides.
	actionClose faultAction = iota
	// actionReset aborts both sides with a TCP reset.
	actionReset
	// actionDiscard swallows what comes this way and leaves the other way open.
	actionDiscard
	// actionHold keeps what comes this way until the proxy is released.
	actionHold
)

// rule strikes a connection in one direction.
type rule struct {
	direction direction
	// match strikes with the piece that holds this text, which must not be
	// split over pieces; empty strikes by count alone.
	match string
	// after is the number of bytes, from the start of the matching piece, that
	// still pass.
	after int64
	// action is what happens then.
	action faultAction
	// remaining bounds the connections that are struck; nil means all. Several
	// proxies may share it.
	remaining *atomic.Int32
}

// matchLimit bounds the strikes of a rule.
func matchLimit(count int32) *atomic.Int32 {
	left := &atomic.Int32{}
	left.Store(count)
	return left
}

// consume uses up one strike.
func (r rule) consume() bool { return r.remaining == nil || r.remaining.Add(-1) >= 0 }

// proxyBuffer is large enough that the head of a request comes as one piece.
const proxyBuffer = 64 << 10

// faultProxy passes TCP connections on to a process, and delays, cuts, resets
// or holds them as its rules say.
type faultProxy struct {
	target     string
	listener   net.Listener
	goroutines sync.WaitGroup

	mutex       sync.Mutex
	rules       []rule
	delay       time.Duration
	connections map[*proxiedConnection]struct{}
	matched     int
	release     chan struct{}
	closed      chan struct{}
	answers     bytes.Buffer
}

// proxiedConnection is one connection through a proxy.
type proxiedConnection struct {
	client net.Conn
	server net.Conn
	// held is set once the connection is held: only hold closes it from then on.
	held atomic.Bool
}

func (p *proxiedConnection) close() {
	p.client.Close()
	p.server.Close()
}

// reset makes the close of both sides an abort.
func (p *proxiedConnection) reset() {
	for _, side := range []net.Conn{p.client, p.server} {
		if connection, isTCP := side.(*net.TCPConn); isTCP {
			_ = connection.SetLinger(0)
		}
	}
	p.close()
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddress(t))
	require.NoError(t, err)
	p := &faultProxy{
		target:      target,
		listener:    listener,
		connections: make(map[*proxiedConnection]struct{}),
		release:     make(chan struct{}),
		closed:      make(chan struct{}),
	}
	p.goroutines.Go(p.accept)
	t.Cleanup(p.stop)
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

func (p *faultProxy) stop() {
	p.listener.Close()
	close(p.closed)
	p.resetAll()
	p.goroutines.Wait()
}

func (p *faultProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.connect(client) })
	}
}

func (p *faultProxy) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, httpTimeout)
	if err != nil {
		// The server's refusal shows as a reset.
		(&proxiedConnection{client: client, server: client}).reset()
		return
	}
	connection := &proxiedConnection{client: client, server: server}
	p.mutex.Lock()
	p.connections[connection] = struct{}{}
	p.mutex.Unlock()
	select {
	case <-p.closed:
		connection.close()
	default:
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(connection, towardsServer) })
	p.forward(connection, towardsClient)
	both.Wait()
	p.mutex.Lock()
	delete(p.connections, connection)
	p.mutex.Unlock()
}

// forward copies one direction until an end or a rule stops it. An end of one side
// closes both, as the death of either process does.
func (p *faultProxy) forward(connection *proxiedConnection, way direction) {
	defer func() {
		if way == towardsServer || !connection.held.Load() {
			connection.close()
		}
	}()
	from, to := connection.client, connection.server
	if way == towardsClient {
		from, to = to, from
	}
	buffer := make([]byte, proxyBuffer)
	var striking *rule
	var left int64
	for {
		count, err := from.Read(buffer)
		piece := buffer[:count]
		p.recordAnswer(way, piece)
		p.waitDelay()
		if striking == nil && count > 0 {
			if striking = p.matchRule(way, piece); striking != nil {
				left = striking.after
			}
		}
		if striking != nil {
			passing := min(left, int64(len(piece)))
			left -= passing
			if _, failure := to.Write(piece[:passing]); failure != nil {
				return
			}
			if passing < int64(len(piece)) {
				p.applyAction(connection, striking, from, piece[passing:])
				return
			}
		} else if _, failure := to.Write(piece); failure != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// applyAction carries out a rule's ending.
func (p *faultProxy) applyAction(connection *proxiedConnection, striking *rule, from io.Reader, rest []byte) {
	switch striking.action {
	case actionReset:
		connection.reset()
	case actionDiscard:
		_, _ = io.Copy(io.Discard, from)
	case actionHold:
		p.hold(connection, rest)
	}
}

// hold keeps a piece until the proxy is released, and sends it on a connection
// of its own then: the server may have closed the first one for its silence. It
// arrives also if the client is gone by then.
func (p *faultProxy) hold(connection *proxiedConnection, rest []byte) {
	p.mutex.Lock()
	release := p.release
	connection.held.Store(true)
	connection.server.Close()
	p.mutex.Unlock()
	select {
	case <-release:
	case <-p.closed:
		return
	}
	server, err := net.DialTimeout("tcp", p.target, httpTimeout)
	if err != nil {
		return
	}
	p.mutex.Lock()
	connection.server = server
	p.mutex.Unlock()
	select {
	case <-p.closed:
		return
	default:
	}
	if _, err := server.Write(rest); err != nil {
		return
	}
	p.goroutines.Go(func() { _, _ = io.Copy(server, connection.client) })
	p.relayAnswers(server, connection.client)
}

// relayAnswers passes on what a server says until it ends.
func (p *faultProxy) relayAnswers(server io.Reader, client io.Writer) {
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := server.Read(buffer)
		p.recordAnswer(towardsClient, buffer[:count])
		_, _ = client.Write(buffer[:count])
		if err != nil {
			return
		}
	}
}

// matchRule returns the first rule for a piece.
func (p *faultProxy) matchRule(way direction, piece []byte) *rule {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, candidate := range p.rules {
		if candidate.direction == way && bytes.Contains(piece, []byte(candidate.match)) && candidate.consume() {
			p.matched++
			return &candidate
		}
	}
	return nil
}

// recordAnswer keeps what the server has answered, for tests that look for a text.
func (p *faultProxy) recordAnswer(way direction, piece []byte) {
	if way != towardsClient {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answers.Write(piece)
}

// hasAnswered tells whether the server has sent a text.
func (p *faultProxy) hasAnswered(text string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return bytes.Contains(p.answers.Bytes(), []byte(text))
}

func (p *faultProxy) waitDelay() {
	p.mutex.Lock()
	delay := p.delay
	p.mutex.Unlock()
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-p.closed:
	}
}

// setDelay delays each piece in both directions.
func (p *faultProxy) setDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = delay
}

// setRules replaces the rules; connections that were struck stay so.
func (p *faultProxy) setRules(rules ...rule) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rules = rules
}

// matchCount is the number of connections that rules have struck.
func (p *faultProxy) matchCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.matched
}

// releaseHeld lets held connections go on.
func (p *faultProxy) releaseHeld() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.release)
	p.release = make(chan struct{})
}

// resetAll resets every open connection.
func (p *faultProxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		connection.reset()
	}
}
