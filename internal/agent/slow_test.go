package agent_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/openai"
)

// blockingWriter is a response writer whose writes block until release is closed and then fail if
// failure is set.
type blockingWriter struct {
	header  http.Header
	blocked chan struct{}
	release chan struct{}
	failure error

	once sync.Once
	body bytes.Buffer
}

func newBlockingWriter(failure error) *blockingWriter {
	return &blockingWriter{
		header: http.Header{}, blocked: make(chan struct{}), release: make(chan struct{}), failure: failure,
	}
}

func (w *blockingWriter) Header() http.Header { return w.header }

func (w *blockingWriter) WriteHeader(int) {}

func (w *blockingWriter) Flush() {}

func (w *blockingWriter) Write(data []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.release
	if w.failure != nil {
		return 0, w.failure
	}
	return w.body.Write(data)
}

func newStreamRequest(maxTokens int) *http.Request {
	body := strings.NewReader(completionBody(maxTokens, true))
	request := httptest.NewRequest(http.MethodPost, openai.PathCompletions, body)
	request.Header.Set("Authorization", "Bearer "+testKey)
	return request
}

func TestSlowCallerDoesNotBlockOtherRequests(t *testing.T) {
	a := startAgent(t, nil, startRouter(t, startEngine(t, "a", time.Millisecond)))
	slow := newBlockingWriter(nil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		a.Handler().ServeHTTP(slow, newStreamRequest(100))
	}()
	<-slow.blocked
	for range 3 {
		status, _ := decode(t, post(t, a, openai.PathCompletions, completionBody(20, false)))
		require.Equal(t, http.StatusOK, status)
	}
	close(slow.release)
	<-served
	assert.Equal(t, 101, strings.Count(slow.body.String(), `"text":"`)) // including an empty last chunk
	assert.True(t, strings.HasSuffix(slow.body.String(), "data: [DONE]\n\n"))
}

func TestWriteTimeoutCancelsEngineStream(t *testing.T) {
	server := startEngine(t, "a", 5*time.Millisecond)
	a := startAgent(t, nil, startRouter(t, server))
	timedOut := newBlockingWriter(os.ErrDeadlineExceeded)
	close(timedOut.release)
	a.Handler().ServeHTTP(timedOut, newStreamRequest(400))
	require.Eventually(t, func() bool { return server.Status().Load.RunningStreams == 0 }, waitTimeout, pollInterval)
	assert.Less(t, server.Counters().OutputTokens, int64(400))
}
