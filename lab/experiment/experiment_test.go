package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

// result returns a result with the fields that the headline and the plots use.
func result(hit, waste, p99 float64) *emulator.Result {
	return &emulator.Result{
		HitRate:   hit,
		WasteRate: waste,
		Goodput:   1,
		FirstTokenByClass: map[fleet.ClassName]emulator.Quantiles{
			workload.ClassUrgent: {P50: p99 / 2, P95: p99 / 2, P99: p99},
		},
		HitOverTime: []emulator.HitSample{{Seconds: warmup.Seconds(), HitRate: hit}},
	}
}

func record(label string, finished time.Time) *Record {
	built := &Record{Label: label, Finished: finished, Seed: 1}
	results := map[string]*emulator.Result{
		emulator.PolicyTillerfall:  result(0.9, 0.03, 150),
		emulator.PolicyClairvoyant: result(0.95, 0.02, 100),
		emulator.PolicyLeastLoaded: result(0.5, 0.4, 1500),
	}
	for _, c := range (Selection{Fleets: []string{"ahd-west"}}).Cases() {
		if results[c.Policy] != nil {
			built.Outcomes = append(built.Outcomes, Outcome{Case: c, Result: results[c.Policy]})
		}
	}
	return built
}

// TestHeadlineComparesWithLimitAndLeastLoaded guards against wrong ratios and against headlines of
// fleets that were not run.
func TestHeadlineComparesWithLimitAndLeastLoaded(t *testing.T) {
	headlines := record("now", time.Time{}).Headlines()
	require.Len(t, headlines, 1, "the other fleet was not run")
	assert.Equal(t,
		"fleet=ahd-west hit_vs_limit=0.947 waste_vs_limit=1.500 ttft_p99_vs_limit=1.500 ttft_p99_vs_least_loaded=0.100",
		headlines[0].String())
}

// TestPublishComparesWithLatestRecord guards against missing files and a comparison with a record
// that is not the latest.
func TestPublishComparesWithLatestRecord(t *testing.T) {
	root := t.TempDir()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for days, label := range []string{"newer", "older"} {
		_, err := Publish(root, record(label, start.AddDate(0, 0, -days)))
		require.NoError(t, err)
	}
	directory, err := Publish(root, record("now", start.AddDate(0, 0, 1)))
	require.NoError(t, err)
	report, err := os.ReadFile(filepath.Join(directory, tableFile))
	require.NoError(t, err)
	assert.Contains(t, string(report), "Against the earlier results newer")
	assert.Contains(t, string(report), "fleet=ahd-west hit_vs_limit=0.947")
	for _, plot := range []string{"ttft-p99-ahd-west-urgent.svg", "goodput-ahd-west.svg", "hit-rate-shift-ahd-west.svg"} {
		assert.FileExists(t, filepath.Join(directory, plot))
	}
	loaded, err := loadRecord(filepath.Join(directory, resultsFile))
	require.NoError(t, err)
	assert.Equal(t, record("now", start.AddDate(0, 0, 1)), loaded)
}

// TestCasesCoverEveryPolicyInEveryScenario guards against runs that are missing from the plan or
// ignore the selection.
func TestCasesCoverEveryPolicyInEveryScenario(t *testing.T) {
	count := make(map[string]int)
	for _, c := range (Selection{}).Cases() {
		count[c.Policy]++
	}
	runs := len(fleets()) * (len(steadyLoads) + len(scenarios) - 1)
	for _, policy := range emulator.Policies() {
		assert.Equal(t, runs, count[policy.Name], policy.Name)
	}
	selection := Selection{Fleets: []string{"wp-colombo"}, Policies: []string{emulator.PolicyRoundRobin}, Scenarios: []string{"steady"}, Loads: []float64{0.5}}
	assert.Equal(t, []int{1, 0}, longestFirst([]Case{{Load: 0.5}, {Load: 1.3}}))
	assert.Equal(t, []Case{{Fleet: "wp-colombo", Scenario: ScenarioSteady, Load: 0.5, Policy: emulator.PolicyRoundRobin}}, selection.Cases())
}

// TestRunStopsOnCancellation guards against a cancelled or empty experiment that reports success.
func TestRunStopsOnCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Run(ctx, Settings{Seed: 1, Workers: 2, Progress: &bytes.Buffer{}})
	require.ErrorIs(t, err, context.Canceled)
	_, err = Run(t.Context(), Settings{Selection: Selection{Policies: []string{"none"}}})
	require.ErrorContains(t, err, "no case matches the selection")
}
