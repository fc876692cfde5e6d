package engine_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// serveRaw starts a TCP server that reads from each connection once and then calls respond. It
// returns its address and the number of accepted connections.
func serveRaw(t *testing.T, respond func(net.Conn)) (fleet.Address, *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	var connections atomic.Int32
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer connection.Close()
				buffer := make([]byte, 4096)
				if _, err := connection.Read(buffer); err == nil {
					respond(connection)
				}
			}()
		}
	}()
	return fleet.Address(listener.Addr().String()), &connections
}

func requireEngineError(t *testing.T, err error) *engine.Error {
	t.Helper()
	var failure *engine.Error
	require.True(t, errors.As(err, &failure), "error is %v", err)
	return failure
}

var testDispatch = engine.DispatchRequest{StreamID: "r.1", Incarnation: 1, Prompt: "abcd", MaxTokens: 2}

func TestConnectErrorMeansNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := fleet.Address(listener.Addr().String())
	require.NoError(t, listener.Close())
	_, err = engine.NewClient(address, engine.Options{}).Dispatch(t.Context(), testDispatch)
	failure := requireEngineError(t, err)
	assert.Equal(t, engine.ErrorConnect, failure.Code)
	assert.Equal(t, engine.OutcomeNotSent, failure.Outcome())
}

func TestDispatchWithLostResponseIsUnknownAndSentOnce(t *testing.T) {
	address, connections := serveRaw(t, func(net.Conn) {})
	client := engine.NewClient(address, engine.Options{})
	for attempt := range int32(3) {
		_, err := client.Dispatch(t.Context(), testDispatch)
		failure := requireEngineError(t, err)
		require.Equal(t, engine.ErrorConnectionLost, failure.Code)
		require.Equal(t, engine.OutcomeUnknown, failure.Outcome())
		require.Equal(t, attempt+1, connections.Load(), "each dispatch must open one connection")
	}
}

func TestContextDeadlineIsUnwrappedAndOutcomeUnknown(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address, _ := serveRaw(t, func(net.Conn) { <-done })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := engine.NewClient(address, engine.Options{}).Dispatch(ctx, testDispatch)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, engine.OutcomeUnknown, requireEngineError(t, err).Outcome())
}

func TestOutcomeOfErrorResponses(t *testing.T) {
	var current atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		code := current.Load().(engine.ErrorCode)
		if code == "" {
			http.Error(writer, "bad gateway", http.StatusBadGateway)
			return
		}
		engine.WriteError(writer, &engine.Error{Code: code, Message: "why", Incarnation: 7})
	}))
	defer server.Close()
	client := engine.NewClient(fleet.Address(strings.TrimPrefix(server.URL, "http://")), engine.Options{})
	for want, codes := range map[engine.Outcome][]engine.ErrorCode{
		engine.OutcomeRejected: {engine.ErrorWrongIncarnation, engine.ErrorVersionNotLoaded, engine.ErrorBarred,
			engine.ErrorDraining, engine.ErrorOverloaded, engine.ErrorBadRequest},
		engine.OutcomeUnknown: {engine.ErrorDuplicate, engine.ErrorInternal, "new_code", ""},
	} {
		for _, code := range codes {
			current.Store(code)
			_, err := client.Dispatch(t.Context(), testDispatch)
			failure := requireEngineError(t, err)
			assert.Equal(t, want, failure.Outcome(), code)
			if code != "" {
				assert.Equal(t, code, failure.Code)
				assert.EqualValues(t, 7, failure.Incarnation)
			}
		}
	}
}

// TestStreamTruncatedAtEveryByte guards against a truncated response that is taken for a complete
// stream or yields anything but a prefix of its frames.
func TestStreamTruncatedAtEveryByte(t *testing.T) {
	body, want := encodedStream(t)
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	response := append(head, body...)
	var length atomic.Int32
	address, _ := serveRaw(t, func(connection net.Conn) { _, _ = connection.Write(response[:length.Load()]) })
	client := engine.NewClient(address, engine.Options{})
	for cut := range len(response) + 1 {
		length.Store(int32(cut))
		stream, err := client.Dispatch(t.Context(), testDispatch)
		if err != nil {
			require.Less(t, cut, len(head))
			require.Equal(t, engine.OutcomeUnknown, requireEngineError(t, err).Outcome(), "cut at %d", cut)
			continue
		}
		frames, err := readAll(t.Context(), stream)
		require.Equal(t, want[:len(frames)], frames)
		require.Equal(t, max(0, min(len(frames)-1, 2)), stream.Offset())
		if cut == len(response) {
			require.Equal(t, io.EOF, err)
			require.Len(t, frames, len(want))
			continue
		}
		require.Equal(t, engine.ErrorConnectionLost, requireEngineError(t, err).Code, "cut at %d", cut)
		require.Less(t, len(frames), len(want))
	}
}

func readAll(ctx context.Context, stream *engine.Stream) ([]engine.Frame, error) {
	frames := []engine.Frame{}
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return frames, err
		}
		frames = append(frames, frame)
	}
}

func TestStreamRejectsUnexpectedFrames(t *testing.T) {
	accepted := engine.Frame{Kind: engine.FrameAccepted, Stream: "r.1"}
	for name, frames := range map[string][]engine.Frame{
		"another stream": {accepted, {Kind: engine.FrameToken, Stream: "r.2"}},
		"gap":            {accepted, {Kind: engine.FrameToken, Stream: "r.1", Index: 1}},
		"short count":    {accepted, {Kind: engine.FrameDone, Stream: "r.1", Count: 1}},
		"accepted twice": {accepted, accepted},
		"not accepted":   {{Kind: engine.FrameToken, Stream: "r.1"}},
	} {
		var body bytes.Buffer
		for _, frame := range frames {
			require.NoError(t, engine.WriteFrame(&body, frame))
		}
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write(body.Bytes())
		}))
		client := engine.NewClient(fleet.Address(strings.TrimPrefix(server.URL, "http://")), engine.Options{})
		stream, err := client.Dispatch(t.Context(), testDispatch)
		require.NoError(t, err)
		read, err := readAll(t.Context(), stream)
		assert.Equal(t, engine.ErrorProtocol, requireEngineError(t, err).Code, name)
		assert.Len(t, read, len(frames)-1, name)
		server.Close()
	}
}

func TestResponseBodyIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"engine":"` + strings.Repeat("x", 2000) + `"}`))
	}))
	defer server.Close()
	client := engine.NewClient(fleet.Address(strings.TrimPrefix(server.URL, "http://")), engine.Options{MaxBodyBytes: 1000})
	_, err := client.Status(t.Context())
	assert.Equal(t, engine.ErrorProtocol, requireEngineError(t, err).Code)
}
