package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/nodecapacity"
)

const (
	testIdleLimit = 15 * time.Second
	// testHead is the head of a request.
	testHead = "GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"
	// testWait bounds a wait for something that must happen.
	testWait = 5 * time.Second
	// testQuiet is how long something must not happen.
	testQuiet = 100 * time.Millisecond
)

// idleServer is an HTTP server whose connections are tracked as those of the front server are.
type idleServer struct {
	t       *testing.T
	address string
	idle    *idleConnections
}

func newIdleServer(t *testing.T, headTimeout time.Duration, handler http.HandlerFunc) *idleServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &idleServer{t: t, address: listener.Addr().String(), idle: newIdleConnections()}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headTimeout,
		ConnState:         func(conn net.Conn, state http.ConnState) { s.idle.observe(0, conn, state) },
		ConnContext:       withCallerConn,
	}
	go func() { _ = server.Serve(callerListener{Listener: listener, headerTimeout: headTimeout}) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *idleServer) dial() net.Conn {
	conn, err := net.Dial("tcp4", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// awaitResting waits until the server has so many connections without a request.
func (s *idleServer) awaitResting(count int) {
	require.Eventually(s.t, func() bool {
		s.idle.mutex.Lock()
		defer s.idle.mutex.Unlock()
		return len(s.idle.resting) == count
	}, testWait, time.Millisecond)
}

// exchange sends a request and returns the error of reading its answer.
func exchange(conn net.Conn) error {
	if _, err := io.WriteString(conn, testHead); err != nil {
		return err
	}
	return readAnswer(conn, bufio.NewReader(conn))
}

func readAnswer(conn net.Conn, reader *bufio.Reader) error {
	_ = conn.SetReadDeadline(time.Now().Add(testWait))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// isClosed reports whether the other side has closed a connection on which nothing is expected.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(testQuiet))
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against a close of an idle connection that crosses the request of a caller that keeps to
// the limit.
func TestIdleConnectionIsNotClosedAtTheLimit(t *testing.T) {
	server := newIdleServer(t, testWait, ok)
	conn := server.dial()
	require.NoError(t, exchange(conn))
	server.awaitResting(1)
	server.idle.sweep(testIdleLimit+5*time.Second, testIdleLimit, false)
	require.NoError(t, exchange(conn), "a little after the limit")
	server.awaitResting(1)
	server.idle.sweep(idleCloseFactor*testIdleLimit, testIdleLimit, false)
	assert.False(t, isClosed(conn))
	server.idle.sweep(idleCloseFactor*testIdleLimit+1, testIdleLimit, false)
	assert.True(t, isClosed(conn), "a connection doesn't rest forever")
}

// Guards against connections that outlast a lower limit of a new configuration, and against a small
// limit without time for a request to travel.
func TestIdleConnectionIsClosedByALowerLimit(t *testing.T) {
	server := newIdleServer(t, testWait, ok)
	conn := server.dial()
	require.NoError(t, exchange(conn))
	server.awaitResting(1)
	server.idle.sweep(testIdleLimit, testIdleLimit, false)
	server.idle.sweep(testIdleLimit, 10*time.Millisecond+testIdleLimit-idleCloseMargin, false)
	assert.False(t, isClosed(conn))
	server.idle.sweep(testIdleLimit, time.Millisecond, false)
	assert.True(t, isClosed(conn))
}

// Guards against idle connections that use up descriptors which requests need.
func TestIdleConnectionIsClosedAtTheLimitWhenResourcesAreScarce(t *testing.T) {
	server := newIdleServer(t, testWait, ok)
	conn := server.dial()
	require.NoError(t, exchange(conn))
	server.awaitResting(1)
	server.idle.sweep(testIdleLimit, testIdleLimit, true)
	assert.False(t, isClosed(conn))
	server.idle.sweep(testIdleLimit+1, testIdleLimit, true)
	assert.True(t, isClosed(conn))

	limits := nodecapacity.Limits{FileDescriptors: nodecapacity.ReservedDescriptors + 100, MemoryMB: 100}
	monitor := &pressureMonitor{}
	for _, used := range []resourceUsage{{descriptors: 80}, {memory: 80 << 20}} {
		monitor.observe(0, resourceUsage{}, limits)
		assert.False(t, monitor.scarce.Load())
		monitor.observe(0, used, limits)
		assert.True(t, monitor.scarce.Load(), used)
	}
	monitor.observe(0, resourceUsage{}, limits)
	monitor.observe(time.Second, resourceUsage{processor: time.Minute}, nodecapacity.Limits{ProcessorShare: 0.1})
	assert.False(t, monitor.scarce.Load(), "closing connections frees no processor time")
}

// Guards against the close of an idle connection whose next request has arrived but wasn't read.
func TestIdleConnectionIsNotClosedWithUnreadRequest(t *testing.T) {
	caller, accepted := newConnectedPair(t)
	served := &callerConn{callerStream: accepted.(callerStream)}
	idle := newIdleConnections()
	idle.observe(0, served, http.StateIdle)
	_, err := io.WriteString(caller, testHead)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return isReceiving(served) }, testWait, time.Millisecond)
	idle.sweep(time.Hour, testIdleLimit, false)
	require.False(t, isClosed(caller))
	received := make([]byte, len(testHead))
	_, err = io.ReadFull(served, received)
	require.NoError(t, err)
	idle.sweep(time.Hour, testIdleLimit, false)
	assert.False(t, isClosed(caller), "the request was read, but its head isn't handled yet")
}

// Guards against the close of an idle connection on which a part of a request's head has arrived.
func TestIdleConnectionIsNotClosedWithinARequestHead(t *testing.T) {
	server := newIdleServer(t, testWait, ok)
	conn := server.dial()
	require.NoError(t, exchange(conn))
	server.awaitResting(1)
	_, err := io.WriteString(conn, testHead[:20])
	require.NoError(t, err)
	time.Sleep(testQuiet)
	server.idle.sweep(time.Hour, testIdleLimit, false)
	_, err = io.WriteString(conn, testHead[20:])
	require.NoError(t, err)
	assert.NoError(t, readAnswer(conn, bufio.NewReader(conn)))
}

// Guards against the close of a connection as idle while it carries a request that came together with
// the one before.
func TestPipelinedRequestIsNotClosedAsIdle(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 2)
	server := newIdleServer(t, testWait, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	conn := server.dial()
	_, err := io.WriteString(conn, testHead+testHead)
	require.NoError(t, err)
	<-arrived
	release <- struct{}{}
	<-arrived
	server.idle.sweep(time.Hour, testIdleLimit, false)
	release <- struct{}{}
	reader := bufio.NewReader(conn)
	require.NoError(t, readAnswer(conn, reader))
	require.NoError(t, readAnswer(conn, reader))
}

// Guards against the timeout for a request's head that closes a connection which a caller has opened
// early.
func TestConnectionOpenedEarlyIsServed(t *testing.T) {
	const headTimeout = 50 * time.Millisecond
	server := newIdleServer(t, headTimeout, ok)
	conn := server.dial()
	time.Sleep(3 * headTimeout)
	server.idle.sweep(testIdleLimit, testIdleLimit, false)
	require.NoError(t, exchange(conn))
	server.awaitResting(1)

	unused := server.dial()
	server.awaitResting(2)
	server.idle.sweep(unusedTimeout, 0, false)
	assert.False(t, isClosed(unused))
	server.idle.sweep(unusedTimeout+1, 0, false)
	assert.True(t, isClosed(unused))
	assert.False(t, isClosed(conn), "no limit applies to a connection that was used")
}

// Guards against requests whose head never ends and whose connections stay open.
func TestSlowRequestHeadIsClosed(t *testing.T) {
	const headTimeout = 50 * time.Millisecond
	server := newIdleServer(t, headTimeout, ok)
	used := server.dial()
	require.NoError(t, exchange(used))
	for name, test := range map[string]struct {
		conn net.Conn
		sent string
	}{
		"first request": {server.dial(), testHead[:20]}, "next request": {used, testHead[:20]}, "one byte": {server.dial(), testHead[:1]},
	} {
		_, err := io.WriteString(test.conn, test.sent)
		require.NoError(t, err, name)
		_ = test.conn.SetReadDeadline(time.Now().Add(testWait))
		_, err = io.Copy(io.Discard, test.conn)
		assert.NoError(t, err, name)
	}
}

// Guards against closes of idle connections that leave neither a line nor a count, so that a request
// which meets one can't be told from one that never came.
func TestCloseOfIdleConnectionIsReported(t *testing.T) {
	server := newIdleServer(t, testWait, ok)
	conn := server.dial()
	require.NoError(t, exchange(conn))
	server.awaitResting(1)
	var log bytes.Buffer
	g := newTestGateway(t)
	g.events = newEventLog(zerolog.New(&log))
	g.recordIdleCloses(server.idle.closesAtStop(time.Second), closeCauseStopping)
	assert.Empty(t, server.idle.sweep(testIdleLimit, testIdleLimit, false))
	g.recordIdleCloses(server.idle.sweep(time.Minute, testIdleLimit, false), closeCauseIdle)
	line := `{"level":"info","caller_address":"` + conn.LocalAddr().String() + `","rested":%s,"unused":false,"cause":"%s","message":"idle_connection_closed"}` + "\n"
	assert.Equal(t, fmt.Sprintf(line, "1000", "stopping")+fmt.Sprintf(line, "60000", "idle"), log.String())
	assert.InDelta(t, 1, testutil.ToFloat64(g.metrics.idleCloses.WithLabelValues(closeCauseIdle)), 0)
	assert.InDelta(t, 1, testutil.ToFloat64(g.metrics.idleCloses.WithLabelValues(closeCauseStopping)), 0)
}
