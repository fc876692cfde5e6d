package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// fastCosts make the time in the engine model negligible.
var fastCosts = enginemodel.Costs{
	StepBase:        50 * time.Microsecond,
	DecodePerToken:  time.Microsecond,
	PrefillPerToken: 10 * time.Nanosecond,
	StepTokens:      65536,
	ImportPerBlock:  time.Microsecond,
	LoadTime:        time.Millisecond,
}

func startFleet(tb testing.TB) *Fleet {
	tb.Helper()
	source, err := os.ReadFile("../../examples/config.yaml")
	require.NoError(tb, err)
	document, problems := config.Parse(source)
	require.NoError(tb, problems.Err())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	running, err := Start(ctx, Options{
		Document: *document, Routers: 2, Engines: 3,
		AgentAddress: loopback, Costs: fastCosts, Logger: zerolog.Nop(),
	})
	require.NoError(tb, err)
	tb.Cleanup(func() { require.NoError(tb, running.Stop()) })
	return running
}

// directCall dispatches a request to an engine without agent and router.
func directCall(tb testing.TB, running *Fleet, client *engine.Client, number int, text string) {
	tb.Helper()
	status := running.EngineStatus(0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream, err := client.Dispatch(ctx, engine.DispatchRequest{
		StreamID:     fleet.StreamID(fmt.Sprintf("direct-%d.1", number)),
		Incarnation:  status.Incarnation,
		Tenant:       "citizen-app",
		ModelVersion: status.Loaded[0],
		Prompt:       text,
		MaxTokens:    1,
	})
	require.NoError(tb, err)
	defer stream.Close()
	for {
		_, err := stream.Next(ctx)
		if err == io.EOF {
			return
		}
		require.NoError(tb, err)
	}
}

// routedCall sends the same request through agent and router.
func routedCall(tb testing.TB, running *Fleet, model fleet.ModelName, text string) {
	tb.Helper()
	body, err := json.Marshal(map[string]any{"model": model, "prompt": text, "max_tokens": 1, "stream": true})
	require.NoError(tb, err)
	request, err := http.NewRequest(http.MethodPost,
		"http://"+string(running.AgentAddress())+"/v1/completions", bytes.NewReader(body))
	require.NoError(tb, err)
	request.Header.Set("Authorization", "Bearer example-key-counter")
	response, err := http.DefaultClient.Do(request)
	require.NoError(tb, err)
	answer, err := io.ReadAll(response.Body)
	require.NoError(tb, err)
	require.NoError(tb, response.Body.Close())
	require.Equal(tb, http.StatusOK, response.StatusCode, string(answer))
	require.Contains(tb, string(answer), "[DONE]")
}

// TestFleetServesRequestAndStops guards against an embedded fleet that does not serve a request or
// does not stop.
func TestFleetServesRequestAndStops(t *testing.T) {
	running := startFleet(t)
	routedCall(t, running, running.options.Document.Models[0].Name, strings.Repeat("word ", 400))
}

// BenchmarkAddedLatency compares calls through agent and router with direct calls to an engine, in
// alternation, with a prompt of 8,192 tokens and one output token.
func BenchmarkAddedLatency(b *testing.B) {
	const promptBytes = 32768
	running := startFleet(b)
	model := running.options.Document.Models[0].Name
	client := engine.NewClient(running.EngineAddress(0), engine.Options{})
	text := strings.Repeat("meter reading ", promptBytes/14)
	direct, routed := newHistogram(), newHistogram()
	b.ResetTimer()
	for number := 0; b.Loop(); number++ {
		start := time.Now()
		directCall(b, running, client, number, text)
		between := time.Now()
		routedCall(b, running, model, text)
		record(b, direct, between.Sub(start))
		record(b, routed, time.Since(between))
	}
	report(b, direct, routed)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func record(b *testing.B, histogram *hdrhistogram.Histogram, elapsed time.Duration) {
	b.Helper()
	require.NoError(b, histogram.RecordValue(max(1, elapsed.Microseconds())))
}

func report(b *testing.B, direct, routed *hdrhistogram.Histogram) {
	for _, quantile := range []float64{50, 99} {
		without := float64(direct.ValueAtQuantile(quantile))
		with := float64(routed.ValueAtQuantile(quantile))
		b.ReportMetric(without, fmt.Sprintf("direct_p%.0f_us", quantile))
		b.ReportMetric(with, fmt.Sprintf("routed_p%.0f_us", quantile))
		b.ReportMetric(with/without, fmt.Sprintf("ratio_p%.0f", quantile))
	}
}
