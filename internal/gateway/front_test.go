package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/routes"
)

// newLoggedGateway returns a gateway whose lines about requests go to a buffer.
func newLoggedGateway(t *testing.T) (*Gateway, *bytes.Buffer) {
	g := newTestGateway(t)
	log := &bytes.Buffer{}
	g.events = newEventLog(zerolog.New(log))
	return g, log
}

func newEndedRequest(id string, change func(*callerRequest)) *callerRequest {
	current := &callerRequest{writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodGet, "/a", nil)}
	current.metadata.RequestID = id
	change(current)
	return current
}

// finishAborted ends a request as serveFront does when its connection is to be closed.
func finishAborted(g *Gateway, current *callerRequest) {
	defer g.finish(current)
	panic(http.ErrAbortHandler)
}

// Guards against requests that end without a complete answer and leave no line because many others
// end at the same time.
func TestRequestWithoutCompleteAnswerIsAlwaysLogged(t *testing.T) {
	g, log := newLoggedGateway(t)
	complete := func(current *callerRequest) { current.status = http.StatusOK }
	const others = 2 * eventsBurst
	for range others {
		g.finish(newEndedRequest("other", complete))
	}
	require.Less(t, strings.Count(log.String(), `"request_id":"other"`), others, "the event's limit is reached")
	g.finish(newEndedRequest("no-answer", func(*callerRequest) {}))
	require.Panics(t, func() { finishAborted(g, newEndedRequest("aborted", func(*callerRequest) {})) })
	require.Panics(t, func() {
		finishAborted(g, newEndedRequest("broken-off", func(current *callerRequest) { current.headSent, current.status = true, http.StatusOK }))
	})
	g.finish(newEndedRequest("caller-gone", func(current *callerRequest) {
		ctx, cancel := context.WithCancel(current.request.Context())
		cancel()
		current.request, current.status, current.reason = current.request.WithContext(ctx), http.StatusOK, errCallerGone.Error()
	}))
	for _, id := range []string{"no-answer", "aborted", "broken-off", "caller-gone"} {
		assert.Equal(t, 1, strings.Count(log.String(), `"request_id":"`+id+`"`), id)
	}
}

// Guards against a log that floods its reader, or hides that it does, while many requests fail.
func TestLinesAboutFailuresAreBounded(t *testing.T) {
	g, log := newLoggedGateway(t)
	const failures = 2 * (eventsBurst + failuresBurst)
	for range failures {
		g.finish(newEndedRequest("failed", func(*callerRequest) {}))
	}
	logged := strings.Count(log.String(), "\n")
	assert.GreaterOrEqual(t, logged, eventsBurst+failuresBurst)
	assert.Less(t, logged, failures)
	assert.Equal(t, failures-logged, g.events.dropped["request_ended"])
}

// Guards against requests whose callers were found gone that are logged as answered, or without the
// point at which that was.
func TestCallerGoneIsLoggedWithItsPoint(t *testing.T) {
	for point, change := range map[string]func(*callerRequest){
		"before placement":           func(*callerRequest) {},
		"while waiting for the head": func(current *callerRequest) { current.firstSentAt = 1 },
		"while relaying": func(current *callerRequest) {
			current.firstSentAt, current.headSent, current.status = 1, true, http.StatusOK
		},
	} {
		g, log := newLoggedGateway(t)
		caller, served := newConnectedPair(t)
		current := newEndedRequest("left", change)
		current.request = current.request.WithContext(withCallerConn(current.request.Context(), served))
		current.route = &routes.Route{}
		current.service = &routes.Service{}
		require.NoError(t, caller.Close())
		require.Eventually(t, current.isCallerGone, testWait, time.Millisecond)
		require.Panics(t, func() {
			defer g.finish(current)
			g.forward(current)
		}, point)
		assert.Contains(t, log.String(), `"result":"caller_gone"`, point)
		assert.Contains(t, log.String(), `"reason":"caller gone `+point+`"`)
	}
}

// TestCutByStopIsLoggedAsCallerGone guards against requests cut at the end of a planned stop that are logged as if
// their callers had left.
func TestCutByStopIsLoggedAsCallerGone(t *testing.T) {
	g, log := newLoggedGateway(t)
	g.serversClosed.Store(true)
	current := newEndedRequest("cut", func(current *callerRequest) { current.headSent, current.status = true, http.StatusOK })
	g.recordCallerGone(current)
	require.Panics(t, func() {
		defer g.finish(current)
		panic(http.ErrAbortHandler)
	})
	assert.Contains(t, log.String(), `"result":"stream_interrupted"`)
	assert.Contains(t, log.String(), `"reason":"cut by the stop while relaying"`)
}
