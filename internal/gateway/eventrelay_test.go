package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/bodymemory"
	"github.com/tillerfall/tillerfall/internal/upstream"
)

// relayTest is a relay whose worker is the test.
type relayTest struct {
	t        *testing.T
	relay    *eventRelay
	response *upstream.Response
	worker   net.Conn
	events   chan string
	ended    chan error
}

func newRelayTest(t *testing.T) *relayTest {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	pool := upstream.NewPool(upstream.Options{Dial: func(context.Context, upstream.Destination) (net.Conn, error) { return near, nil }})
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
	}()
	response, err := pool.Do(context.Background(), upstream.Destination{Engine: "e"}, &upstream.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	require.NoError(t, err)
	r := &relayTest{t: t, response: response, relay: &eventRelay{response: response, buffer: eventBuffer{memory: bodymemory.New(0)}, closeConnection: func() { _ = near.Close() }}, worker: far, events: make(chan string, 10), ended: make(chan error, 1)}
	go func() {
		r.ended <- r.relay.run(func(events []byte, _ bool) error {
			r.events <- string(events)
			return nil
		})
	}()
	return r
}

func (r *relayTest) write(text string) {
	_, err := io.WriteString(r.worker, text)
	require.NoError(r.t, err)
}

// TestHeldStreamRelaysEvents guards against events that reach the caller while another engine is asked to
// continue after the event before them, and against events that are lost by the hold.
func TestHeldStreamRelaysEvents(t *testing.T) {
	r := newRelayTest(t)
	r.write("id: 1\ndata: a\n\n")
	require.Equal(t, "id: 1\ndata: a\n\n", <-r.events)
	require.True(t, r.relay.hold())
	assert.False(t, r.relay.waiting.Load())
	r.write("id: 2\ndata: b\n\n")
	require.Eventually(t, r.relay.waiting.Load, time.Second, time.Millisecond)
	assert.Empty(t, r.events)
	assert.Equal(t, "1", r.relay.lastID)
	r.relay.release()
	assert.Equal(t, "id: 2\ndata: b\n\n", <-r.events)
}

// TestReplacedStreamRelaysEvents guards against events of the first engine after another one has taken over.
func TestReplacedStreamRelaysEvents(t *testing.T) {
	r := newRelayTest(t)
	require.True(t, r.relay.hold())
	r.write("id: 1\ndata: a\n\n")
	r.relay.replace()
	require.ErrorIs(t, <-r.ended, errReplaced)
	assert.Empty(t, r.events)
}

// TestHeardStreamIsHeld guards against a stream that goes elsewhere while events of it wait.
func TestHeardStreamIsHeld(t *testing.T) {
	r := newRelayTest(t)
	require.True(t, r.relay.hold())
	r.write("id: 1\ndata: a\n\n")
	require.Eventually(t, r.relay.waiting.Load, time.Second, time.Millisecond)
	assert.False(t, r.relay.hold())
	r.relay.release()
	<-r.events
	require.Eventually(t, func() bool { return !r.relay.waiting.Load() }, time.Second, time.Millisecond)
	assert.True(t, r.relay.hold())
	r.relay.release()
}

// TestBrokenStreamCountsAsHeard guards against a stream that isn't continued elsewhere since its connection broke
// while it was held.
func TestBrokenStreamCountsAsHeard(t *testing.T) {
	r := newRelayTest(t)
	require.True(t, r.relay.hold())
	require.NoError(t, r.worker.Close())
	time.Sleep(20 * time.Millisecond)
	assert.False(t, r.relay.waiting.Load())
	r.relay.release()
	require.ErrorIs(t, <-r.ended, io.ErrUnexpectedEOF)
}

// TestEndedStreamIsHeld guards against a whole stream that is sent to another engine once more, since its end came
// between its last event and the move.
func TestEndedStreamIsHeld(t *testing.T) {
	r := newRelayTest(t)
	r.write("id: 1\ndata: a\n\n")
	<-r.events
	r.write(strings.Repeat(" ", 1000-len("id: 1\ndata: a\n\n")))
	require.NoError(t, <-r.ended)
	assert.False(t, r.relay.hold())
}

// TestBrokenStreamIsHeld guards against a stream whose connection broke that moves as if its engine were silent.
func TestBrokenStreamIsHeld(t *testing.T) {
	r := newRelayTest(t)
	require.NoError(t, r.worker.Close())
	require.Error(t, <-r.ended)
	assert.False(t, r.relay.hold())
}

// TestEndOfHeldStreamIsUnknown guards against a run that is continued elsewhere although the whole rest of its stream
// has arrived, more than one read brings.
func TestEndOfHeldStreamIsUnknown(t *testing.T) {
	r := newRelayTest(t)
	r.write("id: 1\ndata: a\n\n")
	<-r.events
	require.True(t, r.relay.hold())
	arrivals := make(chan struct{}, 100)
	r.relay.notifyArrival(func() { arrivals <- struct{}{} })
	rest := "id: 2\ndata: b\n\n" + strings.Repeat(" ", 1000-2*len("id: 1\ndata: a\n\n"))
	for _, part := range []string{rest[:10], rest[10:20], rest[20:]} {
		r.write(part)
	}
	require.Eventually(t, r.relay.endArrived.Load, time.Second, time.Millisecond)
	assert.GreaterOrEqual(t, len(arrivals), 3)
	assert.Empty(t, r.events)
	r.relay.release()
	assert.Equal(t, "id: 2\ndata: b\n\n", <-r.events)
	assert.NoError(t, <-r.ended)
}

// TestPartialEventEndsHeldStream guards against a stream cut within an event that counts as whole while it's held.
func TestPartialEventEndsHeldStream(t *testing.T) {
	r := newRelayTest(t)
	require.True(t, r.relay.hold())
	r.write("id: 1\ndata: a\n\nid: 2" + strings.Repeat("x", 1000-len("id: 1\ndata: a\n\nid: 2")))
	require.Eventually(t, r.relay.waiting.Load, time.Second, time.Millisecond)
	r.relay.release()
	<-r.events
	require.ErrorIs(t, <-r.ended, errPartialEvent)
	assert.False(t, r.relay.endArrived.Load())
}
