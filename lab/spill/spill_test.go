package spill

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallOptions is a fleet with room to spare, measured from two seconds after
// the failures on.
func smallOptions(failures ...RouterChange) Options {
	return Options{
		Policy: NestedKeys, Replicas: 1, Seed: 3,
		Routers: 8, Zones: 2, Pools: 2, EnginesPerPool: 16, Agents: 2,
		Rate: 120, Duration: 9 * time.Second, Warmup: 6 * time.Second, HotShare: 0.4,
		Documents: 12, CacheBlocks: 8192, RouterChanges: failures,
	}
}

// TestFailuresOfRoutersLoseNoRequestAndLittleCache lets routers die and join
// under load. Between a change and its news, engines have no owner or two.
func TestFailuresOfRoutersLoseNoRequestAndLittleCache(t *testing.T) {
	const at = 3 * time.Second
	calm, err := Run(smallOptions())
	require.NoError(t, err)
	require.Greater(t, calm.HitRate(), 0.8)
	cases := map[string][]RouterChange{
		"owner dies":     {{At: at, Router: 3, Count: 1}},
		"router joins":   {{At: at, Router: 5, Count: 1, Join: true}},
		"zone dies":      {{At: at, Router: 0, Count: 4, Step: 2}},
		"dies and joins": {{At: at, Router: 3, Count: 1}, {At: at + time.Second, Router: 3, Count: 1, Join: true}},
	}
	for name, failures := range cases {
		t.Run(name, func(t *testing.T) {
			measured, err := Run(smallOptions(failures...))
			require.NoError(t, err)
			assert.Zero(t, measured.TotalFailed)
			assert.Zero(t, measured.Refused)
			assert.Positive(t, measured.Finished)
			assert.Greater(t, measured.HitRate(), 0.9*calm.HitRate(), "new owners have read the caches")
			assert.Greater(t, measured.Snapshots, calm.Snapshots, "engines changed owner")
		})
	}
}

// TestTwoOwnersKeepTheBoundOnStreams lets routers join while every engine of
// the hot prefix's routers is full: the engines that move have an old and a new
// owner for up to a second, and the new one finds the old one's streams there.
func TestTwoOwnersKeepTheBoundOnStreams(t *testing.T) {
	options := smallOptions(RouterChange{At: 3 * time.Second, Router: 1, Count: 3, Step: 2, Join: true})
	options.Rate, options.HotShare = 900, 0.7
	measured, err := Run(options)
	require.NoError(t, err)
	require.GreaterOrEqual(t, measured.PeakStreams, maxStreams, "engines must be full")
	assert.LessOrEqual(t, measured.PeakStreams, maxStreams*3/2)
	assert.Zero(t, measured.TotalFailed)
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	first, err := Run(smallOptions())
	require.NoError(t, err)
	second, err := Run(smallOptions())
	require.NoError(t, err)
	assert.Equal(t, first, second)
}

// TestHotPrefixUsesMoreThanOneRouter gives one prefix more requests than the
// engines of one router take: what was refused or waited must be spilled.
func TestHotPrefixUsesMoreThanOneRouter(t *testing.T) {
	run := func(policy Policy) *Result {
		options := smallOptions()
		options.Policy, options.Rate, options.HotShare = policy, 640, 0.7
		measured, err := Run(options)
		require.NoError(t, err)
		return measured
	}
	narrow, wide := run(PoolsOnly), run(NestedKeys)
	require.Positive(t, narrow.Refused, "the load must be more than one router's engines take")
	assert.Less(t, wide.Refused*20, narrow.Refused)
	assert.Less(t, wide.TimeToFirstToken(0.99), narrow.TimeToFirstToken(0.99)/4)
	assert.Greater(t, wide.HitRate(), narrow.HitRate()-0.02)
	assert.Less(t, wide.HandBacksPerRequest(), 0.1)
}

// BenchmarkPolicies compares the policies at a middling and a high rate; see
// docs/design/0005. Run it with -benchtime 1x.
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
