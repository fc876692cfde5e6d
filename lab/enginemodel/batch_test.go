package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestStepTimesFollowTheCostModel guards against steps that last longer or shorter than the cost
// model says.
func TestStepTimesFollowTheCostModel(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Dispatch(0, request(e, "a", repeatedPrompt("a", 50), 3)))
	due, found := e.NextWakeup()
	require.True(t, found)
	assert.Equal(t, 15*time.Millisecond, due, "base and 50 prompt tokens")
	e.Advance(due)
	frames, ended, err := e.Frames("a", 0)
	require.NoError(t, err)
	require.False(t, ended)
	require.Len(t, frames, 1, "the prompt's last step yields the first token")
	due, _ = e.NextWakeup()
	assert.Equal(t, 26*time.Millisecond, due, "base and one output token")
	assert.Equal(t, 37*time.Millisecond, runToIdle(e))
	assert.NoError(t, VerifyOutput(repeatedPrompt("a", 50), outputTokens(t, e, "a")))
}

// TestDecodingPrecedesChunkedPrefill guards against a long prompt that delays the output of running
// streams.
func TestDecodingPrecedesChunkedPrefill(t *testing.T) {
	e := New(testConfig())
	require.NoError(t, e.Dispatch(0, request(e, "short", repeatedPrompt("s", 8), 4)))
	e.Advance(11 * time.Millisecond)
	require.NoError(t, e.Dispatch(11*time.Millisecond, request(e, "long", repeatedPrompt("l", 250), 1)))
	runToIdle(e)
	// The running stream takes one token of the budget of each step.
	counters := e.Counters()
	assert.EqualValues(t, 258, counters.PrefillTokens)
	assert.EqualValues(t, 5, counters.OutputTokens)
	assert.EqualValues(t, 5, counters.Steps)
}

// TestPriorityOrdersQueueWithoutPreemption guards against urgent streams that preempt running ones
// or wait behind less urgent ones.
func TestPriorityOrdersQueueWithoutPreemption(t *testing.T) {
	config := testConfig()
	config.MaxRunning = 1
	e := New(config)
	dispatch := func(id fleet.StreamID, priority int) {
		body := request(e, id, repeatedPrompt(string(id[0]), 20), 2)
		body.Priority = priority
		require.NoError(t, e.Dispatch(0, body))
	}
	dispatch("running", 9)
	dispatch("batch", 5)
	dispatch("counter", 0)
	dispatch("desk", 0)
	var order []fleet.StreamID
	for {
		due, found := e.NextWakeup()
		if !found {
			break
		}
		e.Advance(due)
		for _, s := range e.retained[len(order):] {
			order = append(order, s.id)
		}
	}
	assert.Equal(t, []fleet.StreamID{"running", "counter", "desk", "batch"}, order)
}

// TestExpectedPrefixCountsScheduledBlocksOnce guards against blocks that are expected twice, or
// still expected after a cancellation.
func TestExpectedPrefixCountsScheduledBlocksOnce(t *testing.T) {
	e := New(testConfig())
	text := repeatedPrompt("x", 200)
	hashes := blockHashes("ward", testWeights, text)
	require.NoError(t, e.Dispatch(0, request(e, "a", text, 1)))
	require.NoError(t, e.Dispatch(0, request(e, "b", text+repeatedPrompt("y", 20), 1)))
	assert.Zero(t, e.CachedPrefix(hashes))
	assert.Equal(t, 50, e.ExpectedPrefix(hashes))
	assert.Equal(t, 220, e.QueuedPrefillTokens())
	e.Advance(20 * time.Millisecond)
	assert.Equal(t, 25, e.CachedPrefix(hashes))
	assert.Equal(t, 50, e.ExpectedPrefix(hashes))
	_, err := e.Cancel(e.now, "a", 1)
	require.NoError(t, err)
	assert.Equal(t, 25, e.ExpectedPrefix(hashes), "cancelled work is not expected")
}

// TestContinuationResumesAfterGivenTokens guards against repeated or skipped tokens when another
// engine continues an output.
func TestContinuationResumesAfterGivenTokens(t *testing.T) {
	text := repeatedPrompt("c", 40)
	first := New(testConfig())
	require.NoError(t, first.Dispatch(0, request(first, "r.1", text, 10)))
	runToIdle(first)
	sent := outputTokens(t, first, "r.1")[:4]

	config := testConfig()
	config.ID = "engine-2"
	second := New(config)
	body := request(second, "r.2", text, 10)
	body.Continuation = sent
	require.NoError(t, second.Dispatch(0, body))
	runToIdle(second)
	whole := outputTokens(t, second, "r.2")
	require.Len(t, whole, 10)
	assert.Equal(t, sent, whole[:4])
	require.NoError(t, VerifyOutput(text, whole))
	assert.EqualValues(t, 6, second.Counters().OutputTokens)

	frames, _, err := second.Frames("r.2", 7)
	require.NoError(t, err)
	assert.Equal(t, 7, frames[0].Index)

	body.StreamID = "r.3"
	body.Continuation = whole
	require.NoError(t, second.Dispatch(second.now, body))
	assert.Equal(t, whole, outputTokens(t, second, "r.3"), "a complete continuation ends at once")
}

// TestVerifyOutputRejectsBrokenOutput guards against a verifier that misses spliced, missing or
// repeated tokens.
func TestVerifyOutputRejectsBrokenOutput(t *testing.T) {
	text := repeatedPrompt("v", 12)
	output := func(id fleet.EngineID, text string) []string {
		config := testConfig()
		config.ID = id
		e := New(config)
		require.NoError(t, e.Dispatch(0, request(e, "s", text, 8)))
		runToIdle(e)
		return outputTokens(t, e, "s")
	}
	one, two := output("engine-1", text), output("engine-7", text)
	require.NotEqual(t, one, two)
	require.NoError(t, VerifyOutput(text, one))
	assert.Error(t, VerifyOutput(text, append(one[:4:4], two[4:]...)), "spliced")
	assert.Error(t, VerifyOutput(text, append(one[:2:2], one[3:]...)), "gap")
	assert.Error(t, VerifyOutput(text, append(one[:2:2], one[1:]...)), "repeat")
	assert.Error(t, VerifyOutput(repeatedPrompt("w", 12), one), "another prompt")
	assert.Error(t, VerifyOutput(text, []string{"0a"}), "truncated token")
	joined := ""
	for _, token := range one {
		joined += token
	}
	assert.Equal(t, one, SplitOutput(joined))
}

// TestReportedLoadLags guards against status reports that show a load younger than LoadLag.
func TestReportedLoadLags(t *testing.T) {
	config := testConfig()
	config.LoadLag = time.Second
	e := New(config)
	e.Advance(5 * time.Second)
	require.NoError(t, e.Dispatch(5*time.Second, request(e, "a", repeatedPrompt("a", 20), 1000)))
	assert.Zero(t, e.Status(5900*time.Millisecond).Load.RunningStreams)
	load := e.Status(6200 * time.Millisecond).Load
	assert.Equal(t, 1, load.RunningStreams)
	assert.LessOrEqual(t, load.MeasuredAtMillis, int64(5200))
	assert.Equal(t, 1, e.RunningStreams())
}

// runHashedLoad sends a seeded load to one engine. It returns the counters and the sum of all event
// times.
func runHashedLoad(requests int) (Counters, time.Duration) {
	random := rand.New(rand.NewPCG(7, 7))
	e := New(Config{ID: "e", Loaded: []engine.ModelVersion{testWeights}, BlockIdleTTL: 5 * time.Second, EventLoss: 0.3})
	now, total := time.Duration(0), time.Duration(0)
	for i := range requests {
		now += time.Duration(random.IntN(int(80 * time.Millisecond)))
		prefix := uint64(random.IntN(20)) << 32
		hashes := make([]fleet.BlockHash, 0, 120)
		for block := range uint64(100) {
			hashes = append(hashes, fleet.BlockHash(prefix|block))
		}
		for block := range uint64(20) {
			hashes = append(hashes, fleet.BlockHash(1<<60|uint64(i)<<8|block))
		}
		_ = e.DispatchHashed(now, HashedRequest{
			StreamID: fleet.StreamID(fmt.Sprint(i)), Incarnation: 1, Weights: testWeights, Tenant: "ward",
			Hashes: hashes, PromptTokens: 120*16 + 3, OutputTokens: 40, Priority: i % 3,
		})
		for _, event := range e.TakeStreamEvents() {
			total += event.At
		}
		e.TakeCacheEvents(now)
	}
	return e.Counters(), total
}

// TestHashedRunsAreDeterministic guards against results that differ between runs with the same
// seed.
func TestHashedRunsAreDeterministic(t *testing.T) {
	counters, total := runHashedLoad(400)
	again, totalAgain := runHashedLoad(400)
	assert.Equal(t, counters, again)
	assert.Equal(t, total, totalAgain)
	assert.Positive(t, counters.HitTokens)
	assert.Positive(t, counters.PrefillTokens)
}

func BenchmarkHashedRequest(b *testing.B) {
	b.ReportAllocs()
	runHashedLoad(b.N)
}
