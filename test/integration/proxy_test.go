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

// direction is the direction of bytes through a proxy.
type direction int

const (
	// towardsServer is the direction from the process that opened the connection.
	towardsServer direction = iota
	towardsClient
)

// faultAction is what a rule does to a connection.
type faultAction int

const (
	// actionClose closes both sides.
	actionClose faultAction = iota
	// actionReset resets both sides.
	actionReset
	// actionDiscard discards further bytes in this direction and leaves the other direction open.
	actionDiscard
	// actionHold holds further bytes in this direction until the proxy releases them.
	actionHold
)

// rule applies an action to connections that match in one direction.
type rule struct {
	direction direction
	// match is a text that one chunk must contain. An empty text matches every chunk.
	match string
	// after is the number of bytes that still pass, from the start of the matching chunk.
	after int64
	// action is applied once these bytes have passed.
	action faultAction
	// remaining is the number of connections that the rule may still match; nil means no limit.
	// Several proxies may share it.
	remaining *atomic.Int32
}

// matchLimit returns a limit for rule.remaining.
func matchLimit(count int32) *atomic.Int32 {
	remaining := &atomic.Int32{}
	remaining.Store(count)
	return remaining
}

// consume takes one match from the limit and reports whether there was one.
func (r rule) consume() bool { return r.remaining == nil || r.remaining.Add(-1) >= 0 }

// proxyBuffer is large enough for a request header to arrive in one chunk.
const proxyBuffer = 64 << 10

// faultProxy forwards TCP connections to a process, and delays, closes, resets or holds them by its
// rules.
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
	// held is set once the connection is held; from then on only hold closes it.
	held atomic.Bool
}

func (p *proxiedConnection) close() {
	p.client.Close()
	p.server.Close()
}

// reset closes both sides with a TCP reset.
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
		// Report a refused connection as a reset.
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

// forward copies one direction until it ends or a rule stops it. When one side ends, both are
// closed.
func (p *faultProxy) forward(connection *proxiedConnection, flow direction) {
	defer func() {
		if flow == towardsServer || !connection.held.Load() {
			connection.close()
		}
	}()
	from, to := connection.client, connection.server
	if flow == towardsClient {
		from, to = to, from
	}
	buffer := make([]byte, proxyBuffer)
	var active *rule
	var remaining int64
	for {
		count, err := from.Read(buffer)
		chunk := buffer[:count]
		p.recordAnswer(flow, chunk)
		p.waitDelay()
		if active == nil && count > 0 {
			if active = p.matchRule(flow, chunk); active != nil {
				remaining = active.after
			}
		}
		if active != nil {
			forwarded := min(remaining, int64(len(chunk)))
			remaining -= forwarded
			if _, failure := to.Write(chunk[:forwarded]); failure != nil {
				return
			}
			if forwarded < int64(len(chunk)) {
				p.applyAction(connection, active, from, chunk[forwarded:])
				return
			}
		} else if _, failure := to.Write(chunk); failure != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// applyAction applies the action of a rule. The caller closes the connection afterwards.
func (p *faultProxy) applyAction(connection *proxiedConnection, active *rule, from io.Reader, rest []byte) {
	switch active.action {
	case actionReset:
		connection.reset()
	case actionDiscard:
		_, _ = io.Copy(io.Discard, from)
	case actionHold:
		p.hold(connection, rest)
	}
}

// hold keeps a chunk until the proxy releases it, and then sends it on a new connection, because
// the server may have closed the first one. It is also sent if the client has disconnected.
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

// relayAnswers forwards the answers of a server until it ends.
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

// matchRule returns the first rule that matches a chunk, or nil.
func (p *faultProxy) matchRule(flow direction, chunk []byte) *rule {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, candidate := range p.rules {
		if candidate.direction == flow && bytes.Contains(chunk, []byte(candidate.match)) && candidate.consume() {
			p.matched++
			return &candidate
		}
	}
	return nil
}

// recordAnswer records the bytes sent by the server for hasAnswered.
func (p *faultProxy) recordAnswer(flow direction, chunk []byte) {
	if flow != towardsClient {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answers.Write(chunk)
}

// hasAnswered reports whether the server has sent a text.
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

// setDelay delays each chunk in both directions.
func (p *faultProxy) setDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = delay
}

// setRules replaces the rules. Connections that a rule has already matched keep its action.
func (p *faultProxy) setRules(rules ...rule) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.rules = rules
}

// matchCount returns the number of connections that rules have matched.
func (p *faultProxy) matchCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.matched
}

// releaseHeld releases all held chunks.
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
