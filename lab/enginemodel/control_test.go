package enginemodel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestDispatchChecksInOrder guards against another order of checks: it removes one reason for
// rejection after another.
func TestDispatchChecksInOrder(t *testing.T) {
	config := testConfig()
	config.MaxRunning, config.MaxWaiting = 1, 1
	e := New(config)
	require.NoError(t, e.Dispatch(0, request(e, "running", repeatedPrompt("a", 40), 5)))
	require.NoError(t, e.Dispatch(0, request(e, "waiting", repeatedPrompt("b", 40), 5)))
	_, err := e.Cancel(0, "barred", 1)
	require.NoError(t, err)
	require.NoError(t, e.ApplyOrder(0, engine.Order{Incarnation: 1, Fence: 1, Kind: engine.OrderRetire}))

	body := request(e, "barred", "", 0)
	body.Incarnation = 2
	body.ModelVersion.Version = "v9"
	requireCode(t, engine.ErrorWrongIncarnation, e.Dispatch(0, body))
	body.Incarnation = 1
	requireCode(t, engine.ErrorBarred, e.Dispatch(0, body))
	body.StreamID = "running"
	requireCode(t, engine.ErrorDuplicate, e.Dispatch(0, body))
	body.StreamID = "fresh"
	requireCode(t, engine.ErrorDraining, e.Dispatch(0, body))
	require.NoError(t, e.ApplyOrder(0, engine.Order{Incarnation: 1, Fence: 1, Kind: engine.OrderResume}))
	requireCode(t, engine.ErrorVersionNotLoaded, e.Dispatch(0, body))
	body.ModelVersion = testWeights
	requireCode(t, engine.ErrorBadRequest, e.Dispatch(0, body))
	body.Prompt, body.MaxTokens = repeatedPrompt("c", 4), 1
	requireCode(t, engine.ErrorOverloaded, e.Dispatch(0, body))
	runToIdle(e)
	require.NoError(t, e.Dispatch(e.now, body))
	assert.Len(t, outputTokens(t, e, "waiting"), 5, "a leaving engine finishes accepted streams")
}

// TestCancelReportsStateAndBarsStream guards against wrong cancel results, and against a late
// dispatch of a cancelled stream.
func TestCancelReportsStateAndBarsStream(t *testing.T) {
	config := testConfig()
	config.MaxRunning = 1
	e := New(config)
	require.NoError(t, e.Dispatch(0, request(e, "done", repeatedPrompt("a", 8), 2)))
	runToIdle(e)
	require.NoError(t, e.Dispatch(e.now, request(e, "running", repeatedPrompt("b", 8), 50)))
	require.NoError(t, e.Dispatch(e.now, request(e, "waiting", repeatedPrompt("c", 8), 50)))
	e.Advance(e.now + 40*time.Millisecond)
	for range 2 {
		for id, state := range map[fleet.StreamID]engine.CancelState{
			"done": engine.CancelFinished, "running": engine.CancelCancelled,
			"waiting": engine.CancelNeverRan, "unknown": engine.CancelNeverRan,
		} {
			outcome, err := e.Cancel(e.now, id, 1)
			require.NoError(t, err)
			assert.Equal(t, state, outcome.State, id)
		}
	}
	outcome, err := e.Cancel(e.now, "running", 1)
	require.NoError(t, err)
	assert.Equal(t, 3, outcome.Tokens)
	frames, ended, err := e.Frames("running", 3)
	require.NoError(t, err)
	assert.True(t, ended)
	assert.Equal(t, engine.ErrorCancelled, frames[0].Error)
	_, err = e.Cancel(e.now, "running", 2)
	requireCode(t, engine.ErrorWrongIncarnation, err)

	// The identifiers stay barred after the frames have been discarded.
	e.Advance(e.now + time.Hour)
	_, _, err = e.Frames("done", 0)
	requireCode(t, engine.ErrorUnknownStream, err)
	requireCode(t, engine.ErrorDuplicate, e.Dispatch(e.now, request(e, "done", repeatedPrompt("a", 8), 2)))
	for _, id := range []fleet.StreamID{"running", "waiting", "unknown"} {
		requireCode(t, engine.ErrorBarred, e.Dispatch(e.now, request(e, id, repeatedPrompt("a", 8), 2)))
	}
	outcome, err = e.Cancel(e.now, "done", 1)
	require.NoError(t, err)
	assert.Equal(t, engine.CancelResponse{State: engine.CancelFinished, Tokens: 2}, outcome)
}

// TestRetainedStreamsAreBounded guards against frames that are kept beyond MaxRetained streams.
func TestRetainedStreamsAreBounded(t *testing.T) {
	config := testConfig()
	config.MaxRetained = 2
	e := New(config)
	for _, id := range []fleet.StreamID{"a", "b", "c"} {
		require.NoError(t, e.Dispatch(e.now, request(e, id, repeatedPrompt("a", 8), 1)))
		runToIdle(e)
	}
	_, _, err := e.Frames("a", 0)
	requireCode(t, engine.ErrorUnknownStream, err)
	assert.Len(t, outputTokens(t, e, "c"), 1)
}

// TestOrdersAreFenced guards against stale or rejected orders that change the engine.
func TestOrdersAreFenced(t *testing.T) {
	e := New(testConfig())
	newer := engine.ModelVersion{Model: "sahayak", Version: "v2"}
	order := engine.Order{Incarnation: 1, Fence: 7, Kind: engine.OrderLoad, ModelVersion: newer}
	require.NoError(t, e.ApplyOrder(0, order))
	require.NoError(t, e.ApplyOrder(100*time.Millisecond, order), "orders are idempotent")
	assert.Equal(t, []engine.ModelVersion{newer}, e.Status(599*time.Millisecond).Loading)
	assert.Equal(t, []engine.ModelVersion{testWeights, newer}, e.Status(600*time.Millisecond).Loaded)

	stale := engine.Order{Incarnation: 1, Fence: 6, Kind: engine.OrderUnload, ModelVersion: testWeights}
	requireCode(t, engine.ErrorStaleFence, e.ApplyOrder(e.now, stale))
	stale.Fence, stale.Incarnation = 8, 2
	requireCode(t, engine.ErrorWrongIncarnation, e.ApplyOrder(e.now, stale))
	assert.Equal(t, fleet.FencingToken(7), e.Status(e.now).Fence, "a rejected order does not change the fence")
	requireCode(t, engine.ErrorBadRequest, e.ApplyOrder(e.now, engine.Order{Incarnation: 1, Fence: 9, Kind: "explode"}))

	stale.Incarnation = 1
	require.NoError(t, e.ApplyOrder(e.now, stale))
	assert.Equal(t, []engine.ModelVersion{newer}, e.Status(e.now).Loaded)
	require.NoError(t, e.ApplyOrder(e.now, engine.Order{Incarnation: 1, Fence: 8, Kind: engine.OrderRole, Role: engine.RoleDecode}))
	assert.Equal(t, engine.RoleDecode, e.Status(e.now).Role)
}

// TestRestartClearsState guards against state that survives a restart.
func TestRestartClearsState(t *testing.T) {
	e := New(testConfig())
	text := repeatedPrompt("a", 40)
	late := request(e, "late", text, 4)
	require.NoError(t, e.Dispatch(0, request(e, "a", text, 4)))
	require.NoError(t, e.ApplyOrder(0, engine.Order{Incarnation: 1, Fence: 5, Kind: engine.OrderRetire}))
	e.Advance(20 * time.Millisecond)
	require.NotZero(t, e.EventSequence())
	e.Restart(30 * time.Millisecond)

	requireCode(t, engine.ErrorWrongIncarnation, e.Dispatch(e.now, late))
	_, err := e.Cancel(e.now, "a", 1)
	requireCode(t, engine.ErrorWrongIncarnation, err)
	_, _, err = e.Frames("a", 0)
	requireCode(t, engine.ErrorUnknownStream, err)
	assert.Equal(t, engine.CacheSnapshot{Incarnation: 2, Hashes: []fleet.BlockHash{}}, e.CacheSnapshot(e.now))
	status := e.Status(e.now)
	assert.Empty(t, status.Loaded)
	assert.False(t, status.Leaving)
	_, found := e.NextWakeup()
	assert.False(t, found)

	require.NoError(t, e.ApplyOrder(e.now, engine.Order{Incarnation: 2, Fence: 1, Kind: engine.OrderLoad, ModelVersion: testWeights}))
	runToIdle(e)
	require.NoError(t, e.Dispatch(e.now, request(e, "late", text, 4)), "identifiers can be reused in the next incarnation")
	runToIdle(e)
	assert.Equal(t, uint64(1), e.TakeCacheEvents(e.now)[0].Sequence)
}
