package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// tinyFleet returns a fleet of one zone with a latency of one millisecond between agent and router.
func tinyFleet(engines int) workload.Fleet {
	return workload.Fleet{
		Name:           "tiny",
		Zones:          []fleet.ZoneName{"zone"},
		Engines:        engines,
		Routers:        1,
		ModelVersion:   fleet.ModelVersion{Model: "model", Version: "v1"},
		Pool:           "pool",
		ClientLatency:  time.Millisecond,
		FullSpeedLoads: 1,
		BlockTokens:    16,
		CacheBlocks:    256,
		Tenants:        []workload.Tenant{{Name: "tenant", Weight: 1, Share: 1}},
	}
}

// tinyTrace returns one request per second. Each prompt has a shared prefix of 160 tokens (ten
// blocks), identified by its number in prefixes, and a unique tail of 24 tokens (one and a half
// blocks).
func tinyTrace(engines int, prefixes ...uint64) workload.Trace {
	trace := workload.Trace{Fleet: tinyFleet(engines), Duration: time.Duration(len(prefixes)) * time.Second}
	for i, prefix := range prefixes {
		trace.Requests = append(trace.Requests, workload.Request{
			ID:           fleet.RequestID(rune('a' + i)),
			At:           time.Duration(i) * time.Second,
			Kind:         workload.KindQuestion,
			Tenant:       "tenant",
			Class:        workload.ClassUrgent,
			ModelVersion: trace.Fleet.ModelVersion,
			Zone:         "zone",
			Segments:     []workload.Segment{{ID: prefix, Tokens: 160}, {ID: uint64(100 + i), Tokens: 24}},
			OutputTokens: 2,
		})
	}
	return trace
}

// TestTokenAccountingOfTinyTrace guards against token counts, rates and latencies that differ from
// manually computed values.
func TestTokenAccountingOfTinyTrace(t *testing.T) {
	// Round robin over two engines computes the prefix twice. The second computation is avoidable;
	// the third and fourth requests hit the cache.
	result, err := Run(Options{Trace: tinyTrace(2, 1, 1, 1, 1), Policy: RoundRobin(), Seed: 1})
	require.NoError(t, err)
	const prompt, prefix = 184, 160
	assert.EqualValues(t, 4*prompt, result.PromptTokens)
	assert.EqualValues(t, 2*prompt+2*(prompt-prefix), result.PrefillTokens)
	// Each of the 14 distinct blocks once, and half a block of each prompt.
	assert.EqualValues(t, prefix+4*16+4*8, result.UnavoidableTokens)
	assert.InDelta(t, float64(prefix)/(4*prompt), result.WasteRate, 1e-9)
	assert.InDelta(t, float64(2*prefix)/(4*prompt), result.HitRate, 1e-9)
	assert.InDelta(t, float64(3*prefix)/(4*prompt), result.ReachableRate, 1e-9)
	assert.InDelta(t, float64(prefix)/(4*prompt), result.RecomputedRate, 1e-9)
	assert.Equal(t, map[Ending]int{EndingFinished: 4}, result.Endings)
	assert.InDelta(t, 1.0, result.Goodput, 1e-9)

	// A first token takes four network trips of 1 ms and one step of 8 ms plus 40 µs per computed token.
	urgent := result.FirstTokenByClass[workload.ClassUrgent]
	assert.InDelta(t, 4+8+0.04*prompt, urgent.Max, 0.02)
	assert.InDelta(t, 4+8+0.04*(prompt-prefix), urgent.P50, 0.02)
	wait := result.QueueWaitByClass[workload.ClassUrgent]
	assert.InDelta(t, 4, wait.Max, 0.02, "requests wait only for the network")
}

// TestClairvoyantHitRateIsUpperBound guards against a clairvoyant policy that computes a prefix
// twice or has a lower hit rate than another policy.
func TestClairvoyantHitRateIsUpperBound(t *testing.T) {
	prefixes := []uint64{1, 2, 1, 2, 1, 3, 2, 3, 1, 2, 3, 1}
	hits := make(map[string]float64)
	for _, policy := range Policies() {
		result, err := Run(Options{Trace: tinyTrace(3, prefixes...), Policy: policy, Seed: 1})
		require.NoError(t, err)
		hits[policy.Name] = result.HitRate
	}
	limit := hits[PolicyClairvoyant]
	assert.InDelta(t, 9*160/(12*184.0), limit, 1e-9, "each prefix is computed once")
	for name, hit := range hits {
		assert.LessOrEqual(t, hit, limit, name)
	}
	assert.Less(t, hits[PolicyRoundRobin], limit)
}

// TestCallerRetriesOnceAfterRefusal guards against a clairvoyant router that does not wait for a
// crashed engine, and a request to a baseline router without exactly one ending.
func TestCallerRetriesOnceAfterRefusal(t *testing.T) {
	trace := tinyTrace(1, 1)
	crash := &Crash{Engine: 0, At: 0, Down: 500 * time.Millisecond}
	result, err := Run(Options{Trace: trace, Policy: Clairvoyant(), Seed: 1, Crash: crash})
	require.NoError(t, err)
	assert.Equal(t, map[Ending]int{EndingFinished: 1}, result.Endings, "the clairvoyant router waits for the engine")
	result, err = Run(Options{Trace: trace, Policy: RoundRobin(), Seed: 1, Crash: crash})
	require.NoError(t, err)
	assert.Positive(t, result.Refusals+result.Retries, "the baseline router uses the crashed engine")
	assert.Equal(t, 1, result.Endings[EndingFinished]+result.Endings[EndingRefused])
}
