package spill

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallOptions returns a fleet with spare capacity, measured from three seconds after the first
// router change on.
func smallOptions(changes ...RouterChange) Options {
	return Options{
		Policy: NestedKeys, Replicas: 1, Seed: 3,
		Routers: 8, Zones: 2, Pools: 2, EnginesPerPool: 16, Agents: 2,
		Rate: 120, Duration: 9 * time.Second, Warmup: 6 * time.Second, HotShare: 0.4,
		Documents: 12, CacheBlocks: 8192, RouterChanges: changes,
	}
}

// TestRouterChangesLoseNoRequestAndLittleCache guards against failed requests and cache misses
// while engines change owner after routers crash or join.
func TestRouterChangesLoseNoRequestAndLittleCache(t *testing.T) {
	const at = 3 * time.Second
	baseline, err := Run(smallOptions())
	require.NoError(t, err)
	require.Greater(t, baseline.HitRate(), 0.8)
	cases := map[string][]RouterChange{
		"owner crashes":  {{At: at, Router: 3, Count: 1}},
		"router joins":   {{At: at, Router: 5, Count: 1, Join: true}},
		"zone crashes":   {{At: at, Router: 0, Count: 4, Step: 2}},
		"crash and join": {{At: at, Router: 3, Count: 1}, {At: at + time.Second, Router: 3, Count: 1, Join: true}},
	}
	for name, changes := range cases {
		t.Run(name, func(t *testing.T) {
			measured, err := Run(smallOptions(changes...))
			require.NoError(t, err)
			assert.Zero(t, measured.TotalFailed)
			assert.Zero(t, measured.Refused)
			assert.Positive(t, measured.Finished)
			assert.Greater(t, measured.HitRate(), 0.9*baseline.HitRate(), "new owners must read the caches")
			assert.Greater(t, measured.Snapshots, baseline.Snapshots, "engines must change owner")
		})
	}
}

// TestTwoOwnersRespectStreamLimit guards against overloaded engines while two routers own the
// same full engine.
func TestTwoOwnersRespectStreamLimit(t *testing.T) {
	options := smallOptions(RouterChange{At: 3 * time.Second, Router: 1, Count: 3, Step: 2, Join: true})
	options.Rate, options.HotShare = 900, 0.7
	measured, err := Run(options)
	require.NoError(t, err)
	require.GreaterOrEqual(t, measured.PeakStreams, maxStreams, "engines must be full")
	assert.LessOrEqual(t, measured.PeakStreams, maxStreams*3/2)
	assert.Zero(t, measured.TotalFailed)
}

// TestEqualSeedsGiveEqualResults guards against nondeterminism.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	first, err := Run(smallOptions())
	require.NoError(t, err)
	second, err := Run(smallOptions())
	require.NoError(t, err)
	assert.Equal(t, first, second)
}

// TestHotPrefixIsSpilledToMoreRouters guards against refusing or delaying the requests of a hot
// prefix that exceeds one router's capacity instead of spilling them.
func TestHotPrefixIsSpilledToMoreRouters(t *testing.T) {
	run := func(policy Policy) *Result {
		options := smallOptions()
		options.Policy, options.Rate, options.HotShare = policy, 640, 0.7
		measured, err := Run(options)
		require.NoError(t, err)
		return measured
	}
	poolsOnly, nestedKeys := run(PoolsOnly), run(NestedKeys)
	require.Positive(t, poolsOnly.Refused, "the load must exceed the capacity of one router's engines")
	assert.Less(t, nestedKeys.Refused*20, poolsOnly.Refused)
	assert.Less(t, nestedKeys.TimeToFirstToken(0.99), poolsOnly.TimeToFirstToken(0.99)/4)
	assert.Greater(t, nestedKeys.HitRate(), poolsOnly.HitRate()-0.02)
	assert.Less(t, nestedKeys.HandBacksPerRequest(), 0.1)
}

// BenchmarkPolicies compares the policies at a medium and a high rate, see docs/design/0005. Run it
// with -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	for _, rate := range []float64{2400, 4000} {
		for _, replicas := range []int{1, 2} {
			for _, policy := range []Policy{FixedDepth, PoolsOnly, SpillOnly, DeepKey, NestedKeys} {
				b.Run(fmt.Sprintf("rate-%.0f/replicas-%d/%s", rate, replicas, policy.Name), func(b *testing.B) {
					for b.Loop() {
						options := DefaultOptions()
						options.Policy, options.Replicas, options.Rate = policy, replicas, rate
						measured, err := Run(options)
						require.NoError(b, err)
						b.Log(measured)
						b.ReportMetric(measured.HitRate(), "hit-rate")
						b.ReportMetric(measured.HandBacksPerRequest(), "hand-backs/request")
						b.ReportMetric(float64(measured.TimeToFirstToken(0.99).Milliseconds()), "p99-first-token-ms")
					}
				})
			}
		}
	}
}
