package engineserver

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// TestReaderStopsAtRestart guards against a reader that continues with a stream of the same
// identifier in the next incarnation.
func TestReaderStopsAtRestart(t *testing.T) {
	weights := engine.ModelVersion{Model: "lm-fab", Version: "v1"}
	model := enginemodel.Config{Incarnation: 1, Loaded: []engine.ModelVersion{weights}, KeepWeights: true}
	server := New(Config{Model: model, Logger: zerolog.Nop()})
	request := engine.DispatchRequest{StreamID: "r.1", Incarnation: 1, ModelVersion: weights, Prompt: "abcd", MaxTokens: 4}
	require.NoError(t, server.model.Dispatch(0, request))
	old := &reader{handlers: &handlers{server: server}, stream: "r.1", incarnation: 1}
	_, err := old.acceptedFrame()
	require.NoError(t, err)

	server.nextIncarnation()
	request.Incarnation = 2
	require.NoError(t, server.model.Dispatch(0, request))
	_, err = old.acceptedFrame()
	require.ErrorIs(t, err, errUnavailable)
	_, _, _, err = old.pendingFrames()
	require.ErrorIs(t, err, errUnavailable)
}
