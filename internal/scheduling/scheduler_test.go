package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func testRequest() Request {
	return Request{
		ModelVersion: fleet.ModelVersion{Model: "m", Version: "v1"},
		Pool:         "pool",
		AgentZone:    "a",
		PromptTokens: 1024,
		BlockTokens:  16,
	}
}

// testEndpoint returns an idle engine that computes a token in 100 µs.
func testEndpoint(number int) Endpoint {
	return Endpoint{
		Run:             fleet.EngineRun{Engine: fleet.EngineID(fmt.Sprintf("engine-%02d", number)), Incarnation: 1},
		Zone:            "a",
		Pool:            "pool",
		Ready:           true,
		Serves:          func(version fleet.ModelVersion) bool { return version.Version == "v1" },
		MaxStreams:      8,
		PrefillPerToken: 100 * time.Microsecond,
		Step:            time.Millisecond,
		StepTokens:      512,
	}
}

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func scheduleOne(t *testing.T, options Options, request Request, endpoints ...Endpoint) Decision {
	t.Helper()
	decision, found := New(options).Schedule(request, endpoints, testRandom())
	require.True(t, found)
	return decision
}

// TestQueueIsWeighedAgainstCachedPrefix guards against a warm engine being chosen although
// recomputing elsewhere is cheaper, or the reverse, with and without a recomputation price.
func TestQueueIsWeighedAgainstCachedPrefix(t *testing.T) {
	warm, cold := testEndpoint(0), testEndpoint(1)
	warm.CachedBlocks = 60
	const saved = 960
	priced := Options{RecomputeWeight: 50 * time.Microsecond}
	for _, test := range []struct {
		options Options
		queue   int
		chosen  int
	}{
		{Options{}, saved - 1, 0},
		{Options{}, saved + 1, 1},
		{priced, saved + saved/2 - 20, 0},
		{priced, saved + saved/2 + 20, 1},
	} {
		warm.PrefillTokens = test.queue
		decision := scheduleOne(t, test.options, testRequest(), warm, cold)
		assert.Equal(t, test.chosen, decision.Index, "queue %d", test.queue)
	}
}

// TestBurstComputesColdPrefixOnce guards against a burst of requests computing the same prefix on
// several engines.
func TestBurstComputesColdPrefixOnce(t *testing.T) {
	endpoints := make([]Endpoint, 12)
	for number := range endpoints {
		endpoints[number] = testEndpoint(number)
	}
	computed := 0
	for range 6 {
		decision := scheduleOne(t, DefaultOptions(), testRequest(), endpoints...)
		if decision.CachedTokens == 0 {
			computed++
		}
		chosen := &endpoints[decision.Index]
		chosen.InFlight++
		chosen.PrefillTokens += 1024 - decision.CachedTokens
		chosen.PendingBlocks = 64
		chosen.PendingRemaining = decision.FirstToken
	}
	assert.Equal(t, 1, computed)
}

func TestNearTiesGoToFewestInFlightThenSpread(t *testing.T) {
	busy, left, right := testEndpoint(0), testEndpoint(1), testEndpoint(2)
	busy.InFlight = 3
	busy.CachedBlocks = 1
	scheduler, random := New(Options{TieFraction: 0.05}), testRandom()
	counts := [3]int{}
	for range 200 {
		decision, found := scheduler.Schedule(testRequest(), []Endpoint{busy, left, right}, random)
		require.True(t, found)
		counts[decision.Index]++
	}
	assert.Zero(t, counts[0], "a saving within the tie fraction must not outweigh load")
	assert.InDelta(t, 100, counts[1], 30)
}

func TestDeadlineTakesPrecedenceOverCost(t *testing.T) {
	warm, cold := testEndpoint(0), testEndpoint(1)
	warm.CachedBlocks, warm.PrefillTokens = 60, 1100
	request := testRequest()
	options := Options{RecomputeWeight: 100 * time.Microsecond}
	assert.Equal(t, 0, scheduleOne(t, options, request, warm, cold).Index)
	request.Deadline = 110 * time.Millisecond
	decision := scheduleOne(t, options, request, warm, cold)
	assert.Equal(t, 1, decision.Index, "the more expensive engine meets the deadline")
	assert.False(t, decision.Late)
	request.Deadline = 50 * time.Millisecond
	decision = scheduleOne(t, options, request, warm, cold)
	assert.True(t, decision.Late)
	assert.Equal(t, 1, decision.Index)
	assert.Equal(t, 104400*time.Microsecond, decision.FirstToken)
}

func TestExplainListsEveryEndpoint(t *testing.T) {
	endpoints := []Endpoint{testEndpoint(0), testEndpoint(1), testEndpoint(2)}
	endpoints[0].Draining = true
	endpoints[2].CachedBlocks = 32
	request := testRequest()
	request.Explain = true
	decision := scheduleOne(t, Options{}, request, endpoints...)
	require.Len(t, decision.Candidates, 3)
	assert.Equal(t, FilterDraining, decision.Candidates[0].RemovedBy)
	assert.True(t, decision.Candidates[2].Chosen)
	assert.Equal(t, 512, decision.Candidates[2].Scores.CachedTokens)
	assert.Equal(t, decision.FirstToken, decision.Candidates[2].Scores.FirstToken())

	decision, found := New(Options{}).Schedule(request, endpoints[:1], testRandom())
	assert.False(t, found)
	assert.Equal(t, FilterDraining, decision.Candidates[0].RemovedBy)
}

func TestScheduleAllocatesNothing(t *testing.T) {
	endpoints := make([]Endpoint, stackCandidates)
	for number := range endpoints {
		endpoints[number] = testEndpoint(number)
	}
	scheduler, random, request := New(DefaultOptions()), testRandom(), testRequest()
	assert.Zero(t, testing.AllocsPerRun(10, func() { scheduler.Schedule(request, endpoints, random) }))
}
