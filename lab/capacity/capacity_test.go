package capacity

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallSizes returns sizes for a run of a few seconds.
func smallSizes() Sizes {
	return Sizes{
		IndexBlocks:    []int{5_000, 10_000, 20_000},
		PromptBlocks:   []int{4, 8, 16},
		Candidates:     []int{2, 4, 8},
		Engines:        []int{10, 20, 40},
		Members:        []int{8, 16, 32},
		Tenants:        []int{4, 8, 16},
		Models:         []int{2, 4, 8},
		Waiting:        []int{50, 100, 200},
		Streams:        []int{4, 8, 16},
		Tokens:         []int{8, 16, 32},
		FailureMembers: 39,
		FleetEngines:   200,
		SteadyTime:     5 * time.Second,
		PartitionTime:  10 * time.Second,
		ProcessorTime:  time.Millisecond,
	}
}

// TestFitRecoversCoefficients guards against wrong coefficients for points that follow the growth
// function exactly.
func TestFitRecoversCoefficients(t *testing.T) {
	for _, growth := range []Growth{GrowthLinear, GrowthLogarithmic, GrowthLinearithmic} {
		slope, err := sweep(quantity{
			name: "exact", growth: growth, sizes: []int{2, 8, 32, 128},
			measure: func(size int) (float64, error) { return 5 + 3*growth.apply(float64(size)), nil },
		})
		require.NoError(t, err)
		assert.InDelta(t, 5, slope.Intercept, 1e-6, growth)
		assert.InDelta(t, 3, slope.PerUnit, 1e-6, growth)
		assert.InDelta(t, 0, slope.Residual, 1e-6, growth)
		assert.InDelta(t, 5+3*growth.apply(1000), slope.At(1000), 1e-4, growth)
	}
}

// TestResidualRevealsWrongGrowth guards against a small residual for points that follow another
// growth function.
func TestResidualRevealsWrongGrowth(t *testing.T) {
	slope, err := sweep(quantity{
		name: "square", growth: GrowthLinear, sizes: []int{1, 10, 100},
		measure: func(size int) (float64, error) { return float64(size * size), nil },
	})
	require.NoError(t, err)
	assert.Greater(t, slope.Residual, 0.05)
}

// TestSweepRejectsTwoSizes guards against fits to fewer than minimumPoints sizes.
func TestSweepRejectsTwoSizes(t *testing.T) {
	_, err := sweep(quantity{
		name: "short", growth: GrowthLinear, sizes: []int{1, 2},
		measure: func(int) (float64, error) { return 1, nil },
	})
	assert.ErrorContains(t, err, "want 3")
}

// TestRunMeasuresAllParts guards against parts that are not measured, failures after which routers
// do not converge, and results missing from a report.
func TestRunMeasuresAllParts(t *testing.T) {
	var measured []string
	report, err := Run(Options{Sizes: smallSizes(), Seed: 1, Progress: func(part string) { measured = append(measured, part) }})
	require.NoError(t, err)
	assert.Len(t, measured, len(measurements()))
	for _, slope := range report.Slopes {
		assert.GreaterOrEqual(t, len(slope.Points), minimumPoints, slope.Name)
		assert.NotEmpty(t, slope.Unit, slope.Name)
	}
	for _, figure := range report.Figures {
		assert.NotContains(t, figure.Name, "NOT", figure.Name)
	}

	var encoded, text bytes.Buffer
	require.NoError(t, report.WriteJSON(&encoded))
	var decoded Report
	require.NoError(t, json.Unmarshal(encoded.Bytes(), &decoded))
	assert.Equal(t, report, decoded)
	require.NoError(t, report.WriteMarkdown(&text))
	assert.Equal(t, len(report.Slopes)+len(report.Figures), strings.Count(text.String(), "\n| ")-2)
}

// TestMembershipCostIsDeterministic guards against message counts and dissemination times that
// differ between runs with the same seed.
func TestMembershipCostIsDeterministic(t *testing.T) {
	o := Options{Sizes: smallSizes(), Seed: 7}
	first, second := measureSteadyCost(o, 30), measureSteadyCost(o, 30)
	assert.Equal(t, first.exchanges, second.exchanges)
	assert.Equal(t, first.bytes, second.bytes)
	assert.Positive(t, first.bytes)

	lossyChange := func() changeCost {
		n := newNetwork(7)
		n.startConverged(30)
		cost, err := measureChangeCost(n, 300, heavyLoss)
		require.NoError(t, err)
		return cost
	}
	changeA, changeB := lossyChange(), lossyChange()
	assert.Equal(t, changeA, changeB)
	assert.Less(t, changeA.secondsToAll, 4.0)
}

// TestRoutersConvergeAfterCrash guards against crashed routers that stay in the views of others.
func TestRoutersConvergeAfterCrash(t *testing.T) {
	n := newNetwork(3)
	n.startConverged(40)
	require.True(t, n.converged())
	crashNodes(func(number int, _ *networkNode) bool { return number < 5 })(n)
	require.False(t, n.converged())
	_, agreed := n.advanceUntil(convergenceLimit, n.converged)
	assert.True(t, agreed)
}

// TestRoutersConvergeAfterHerdRestart guards against routers that do not discover each other when
// all restart at once.
func TestRoutersConvergeAfterHerdRestart(t *testing.T) {
	n := newNetwork(4)
	n.startCold(40)
	_, agreed := n.advanceUntil(convergenceLimit, n.converged)
	assert.True(t, agreed)
}

// TestMachineListCostDoesNotGrowWithFleet guards against a read rate above the bound per region, and
// against changes whose size grows with the list.
func TestMachineListCostDoesNotGrowWithFleet(t *testing.T) {
	const perRegion = 3
	counted := countMachineReads(Options{Seed: 6}, 150)
	intervals := countedTime.Seconds() / 2 / machineInterval.Seconds()
	t.Logf("steady %.1f reads/s, busiest second %.0f", counted.steadyRate(), counted.peak())
	assert.LessOrEqual(t, counted.steadyRate()*countedTime.Seconds()/2, 1.5*intervals*perRegion*regions)
	few, err := machineListCost(Options{Sizes: Sizes{ProcessorTime: time.Millisecond}}, 100, true)
	require.NoError(t, err)
	many, err := machineListCost(Options{Sizes: Sizes{ProcessorTime: time.Millisecond}}, 1000, true)
	require.NoError(t, err)
	assert.InEpsilon(t, few.bytes, many.bytes, 0.1, "bytes of one change don't depend on the length of the list")
}

// TestConfigurationPollRateDoesNotGrowWithFleet guards against routers that each poll the
// configuration at their own rate instead of sharing one budget.
func TestConfigurationPollRateDoesNotGrowWithFleet(t *testing.T) {
	o := Options{Seed: 5}
	few := countConfigurationPolls(o, 100, listedBootstrap).steadyRate()
	many := countConfigurationPolls(o, 680, listedBootstrap).steadyRate()
	assert.InEpsilon(t, few, many, 0.2)
}
