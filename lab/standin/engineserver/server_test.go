package engineserver_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
)

var testWeights = engine.ModelVersion{Model: "lm-fab", Version: "v1"}

var testPrompt = strings.Repeat("fab rule ", 40)

// start runs a fast server and returns it with a client.
func start(t *testing.T, change func(*engineserver.Config)) (*engineserver.Server, *engine.Client) {
	config := engineserver.Config{
		Model: enginemodel.Config{
			ID: "engine-1", Incarnation: 1, Loaded: []engine.ModelVersion{testWeights}, KeepWeights: true, BlockTokens: 4,
			Costs: enginemodel.Costs{StepBase: time.Millisecond, LoadTime: 5 * time.Millisecond},
		},
		Logger: zerolog.Nop(),
	}
	if change != nil {
		change(&config)
	}
	server := engineserver.New(config)
	require.NoError(t, server.Start("127.0.0.1:0"))
	client := engine.NewClient(server.Address(), engine.Options{})
	t.Cleanup(func() {
		server.Kill()
		client.CloseIdle()
	})
	return server, client
}

func newDispatch(id fleet.StreamID, maxTokens int) engine.DispatchRequest {
	return engine.DispatchRequest{
		StreamID: id, Incarnation: 1, Tenant: "shop", ModelVersion: testWeights, Prompt: testPrompt, MaxTokens: maxTokens,
	}
}

// readTokens reads until the stream ends or fails.
func readTokens(ctx context.Context, stream *engine.Stream) (tokens []string, last engine.Frame, err error) {
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return tokens, last, err
		}
		last = frame
		if frame.Kind == engine.FrameToken {
			tokens = append(tokens, frame.Text)
		}
	}
}

func requireCode(t *testing.T, code engine.ErrorCode, err error) {
	t.Helper()
	var failure *engine.Error
	require.True(t, errors.As(err, &failure), "got error %v", err)
	require.Equal(t, code, failure.Code)
}

func requireComplete(t *testing.T, stream *engine.Stream, count int) engine.Frame {
	t.Helper()
	tokens, last, err := readTokens(t.Context(), stream)
	require.Equal(t, io.EOF, err)
	require.Len(t, tokens, count)
	require.NoError(t, enginemodel.VerifyOutput(testPrompt, tokens))
	return last
}

// TestStreamOverHTTP guards against faults in dispatch, resume and cancel, also for identifiers
// that need escaping.
func TestStreamOverHTTP(t *testing.T) {
	_, client := start(t, nil)
	stream, err := client.Dispatch(t.Context(), newDispatch("a/b 1%", 12))
	require.NoError(t, err)
	last := requireComplete(t, stream, 12)
	assert.Equal(t, 12, last.Count)

	second, err := client.Dispatch(t.Context(), newDispatch("r.2", 3))
	require.NoError(t, err)
	assert.Positive(t, requireComplete(t, second, 3).CachedTokens)

	resumed, err := client.Resume(t.Context(), "a/b 1%", 5)
	require.NoError(t, err)
	tokens, _, err := readTokens(t.Context(), resumed)
	assert.Equal(t, io.EOF, err)
	assert.Len(t, tokens, 7)

	outcome, err := client.Cancel(t.Context(), "a/b 1%", 1)
	require.NoError(t, err)
	assert.Equal(t, engine.CancelResponse{State: engine.CancelFinished, Tokens: 12}, outcome)
	_, err = client.Dispatch(t.Context(), newDispatch("a/b 1%", 12))
	requireCode(t, engine.ErrorDuplicate, err)
	_, err = client.Resume(t.Context(), "unknown", 0)
	requireCode(t, engine.ErrorUnknownStream, err)
}

// TestCacheEventsSnapshotsOrdersAndBundles guards against faults in the endpoints beside streams.
func TestCacheEventsSnapshotsOrdersAndBundles(t *testing.T) {
	_, client := start(t, nil)
	stream, err := client.Dispatch(t.Context(), newDispatch("r.1", 1))
	require.NoError(t, err)
	requireComplete(t, stream, 1)
	scope := fleet.CacheScope{Tenant: "shop", ModelVersion: fleet.ModelVersion(testWeights)}
	hashes := prompt.HashBlocks(scope, testPrompt, 4)

	events, err := client.PollCacheEvents(t.Context(), 0, 10*time.Second)
	require.NoError(t, err)
	require.NotEmpty(t, events.Events)
	assert.EqualValues(t, 1, events.Incarnation)
	snapshot, err := client.CacheSnapshot(t.Context())
	require.NoError(t, err)
	assert.Subset(t, snapshot.Hashes, hashes)
	empty, err := client.PollCacheEvents(t.Context(), snapshot.Sequence, 20*time.Millisecond)
	require.NoError(t, err)
	assert.Empty(t, empty.Events)
	ahead, err := client.PollCacheEvents(t.Context(), snapshot.Sequence+50, time.Minute)
	require.NoError(t, err, "a position beyond the last event is answered at once")
	assert.Empty(t, ahead.Events)

	bundle, err := client.Export(t.Context(), engine.KVExportRequest{Tenant: "shop", ModelVersion: testWeights, Hashes: hashes})
	require.NoError(t, err)
	require.Equal(t, hashes, bundle.Hashes)
	_, other := start(t, nil)
	require.NoError(t, other.Import(t.Context(), bundle))
	copied, err := other.CacheSnapshot(t.Context())
	require.NoError(t, err)
	assert.ElementsMatch(t, hashes, copied.Hashes)
	bundle.Checksum++
	requireCode(t, engine.ErrorChecksum, other.Import(t.Context(), bundle))

	require.NoError(t, client.SendOrder(t.Context(), engine.Order{Fence: 2, Incarnation: 1, Kind: engine.OrderRetire}))
	requireCode(t, engine.ErrorStaleFence, client.SendOrder(t.Context(), engine.Order{Fence: 1, Incarnation: 1, Kind: engine.OrderResume}))
	_, err = client.Dispatch(t.Context(), newDispatch("r.2", 1))
	requireCode(t, engine.ErrorDraining, err)
	status, err := client.Status(t.Context())
	require.NoError(t, err)
	assert.True(t, status.Leaving)
}

// truncatingProxy forwards each connection until the engine has sent limit bytes, then closes it.
func truncatingProxy(t *testing.T, target fleet.Address, limit int64) fleet.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer downstream.Close()
				upstream, err := net.Dial("tcp", string(target))
				if err != nil {
					return
				}
				defer upstream.Close()
				go func() { _, _ = io.Copy(upstream, downstream) }()
				_, _ = io.CopyN(downstream, upstream, limit)
			}()
		}
	}()
	return fleet.Address(listener.Addr().String())
}

// TestResumeAfterCutsAtAnyByte guards against lost or repeated tokens when connections break at
// arbitrary bytes.
func TestResumeAfterCutsAtAnyByte(t *testing.T) {
	server, _ := start(t, nil)
	for limit := int64(300); limit < 700; limit += 7 {
		client := engine.NewClient(truncatingProxy(t, server.Address(), limit), engine.Options{})
		id := fleet.StreamID("r." + time.Duration(limit).String())
		var tokens []string
		stream, err := client.Dispatch(t.Context(), newDispatch(id, 6))
		for {
			require.NoError(t, err, "limit %d", limit)
			more, _, broken := readTokens(t.Context(), stream)
			tokens = append(tokens, more...)
			if broken == io.EOF {
				break
			}
			requireCode(t, engine.ErrorConnectionLost, broken)
			require.Equal(t, len(tokens), stream.Offset())
			if len(more) == 0 {
				client = engine.NewClient(server.Address(), engine.Options{})
			}
			stream, err = client.Resume(t.Context(), id, stream.Offset())
		}
		require.Len(t, tokens, 6)
		require.NoError(t, enginemodel.VerifyOutput(testPrompt, tokens))
	}
}

// TestRestartCutsStreamsAndRejectsLateDispatches guards against streams and dispatches that survive
// a restart.
func TestRestartCutsStreamsAndRejectsLateDispatches(t *testing.T) {
	server, client := start(t, nil)
	stream, err := client.Dispatch(t.Context(), newDispatch("r.1", 4000))
	require.NoError(t, err)
	require.NoError(t, server.Restart())
	_, _, err = readTokens(t.Context(), stream)
	requireCode(t, engine.ErrorConnectionLost, err)
	_, err = client.Dispatch(t.Context(), newDispatch("r.1", 4))
	requireCode(t, engine.ErrorWrongIncarnation, err)
	_, err = client.Cancel(t.Context(), "r.1", 1)
	requireCode(t, engine.ErrorWrongIncarnation, err)
	cache, err := client.CacheSnapshot(t.Context())
	require.NoError(t, err)
	assert.Empty(t, cache.Hashes)
	assert.EqualValues(t, 2, cache.Incarnation)

	server.Kill()
	_, err = client.Dispatch(t.Context(), newDispatch("r.2", 4))
	requireCode(t, engine.ErrorConnect, err)
	assert.Equal(t, []fleet.StreamID{"r.1"}, server.Executions().Streams, "only one dispatch is accepted")
}

// TestStreamWithoutReaderIsCancelledAfterGracePeriod guards against abandoned streams that keep
// running.
func TestStreamWithoutReaderIsCancelledAfterGracePeriod(t *testing.T) {
	server, client := start(t, func(config *engineserver.Config) { config.Grace = 30 * time.Millisecond })
	stream, err := client.Dispatch(t.Context(), newDispatch("r.1", 4000))
	require.NoError(t, err)
	_, err = stream.Next(t.Context())
	require.NoError(t, err)
	stream.Close()
	require.Eventually(t, func() bool { return server.Status().Load.RunningStreams == 0 }, 10*time.Second, 5*time.Millisecond)
	outcome, err := client.Cancel(t.Context(), "r.1", 1)
	require.NoError(t, err)
	assert.Equal(t, engine.CancelCancelled, outcome.State)
}

// TestSlowReaderDoesNotBlockOthers guards against a stream that nobody reads holding up another
// one.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	server, client := start(t, nil)
	slow, err := client.Dispatch(t.Context(), newDispatch("slow", 4000))
	require.NoError(t, err)
	defer slow.Close()
	stream, err := client.Dispatch(t.Context(), newDispatch("quick", 20))
	require.NoError(t, err)
	requireComplete(t, stream, 20)
	assert.Equal(t, 1, server.Status().Load.RunningStreams)
	outcome, err := client.Cancel(t.Context(), "slow", 1)
	require.NoError(t, err)
	assert.Equal(t, engine.CancelCancelled, outcome.State)
	_, last, err := readTokens(t.Context(), slow)
	assert.Equal(t, io.EOF, err)
	assert.Equal(t, engine.ErrorCancelled, last.Error)
}

func setFaults(t *testing.T, server *engineserver.Server, body string) int {
	response, err := http.Post("http://"+string(server.Address())+engineserver.PathFaults, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// TestFaults guards against faults that do nothing, and lost answers that also lose the effect.
func TestFaults(t *testing.T) {
	server, client := start(t, nil)
	require.Equal(t, http.StatusBadRequest, setFaults(t, server, `{"lose_answer":1}`))

	require.Equal(t, http.StatusOK, setFaults(t, server, `{"lose_answers":1}`))
	_, err := client.Dispatch(t.Context(), newDispatch("lost", 3))
	requireCode(t, engine.ErrorConnectionLost, err)
	requireCode(t, engine.ErrorConnectionLost,
		client.SendOrder(t.Context(), engine.Order{Fence: 4, Incarnation: 1, Kind: engine.OrderResume}))
	setFaults(t, server, `{"lose_answers":0}`)
	assert.EqualValues(t, 4, server.Status().Fence, "the order took effect")
	stream, err := client.Resume(t.Context(), "lost", 0)
	require.NoError(t, err, "the dispatch took effect")
	requireComplete(t, stream, 3)

	cut, err := client.Dispatch(t.Context(), newDispatch("cut", 4000))
	require.NoError(t, err)
	setFaults(t, server, `{"down":true}`)
	_, _, err = readTokens(t.Context(), cut)
	requireCode(t, engine.ErrorConnectionLost, err)
	_, err = client.Dispatch(t.Context(), newDispatch("down", 3))
	requireCode(t, engine.ErrorConnectionLost, err)
	setFaults(t, server, `{"down":false}`)
	outcome, err := client.Cancel(t.Context(), "down", 1)
	require.NoError(t, err)
	assert.Equal(t, engine.CancelNeverRan, outcome.State)

	setFaults(t, server, `{"freeze":true}`)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err = client.Status(ctx)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	setFaults(t, server, `{"freeze":false,"answer_delay_ms":20}`)
	before := time.Now()
	_, err = client.Status(t.Context())
	require.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(before), 20*time.Millisecond)
}
