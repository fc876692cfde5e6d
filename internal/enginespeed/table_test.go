package enginespeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func runOf(number int) Run {
	return Run{Engine: fleet.EngineID(fmt.Sprint("e", number)), StartTime: 1000}
}

// measured returns a table with measurements of engines with the given ratios.
func measured(samples int, ratios ...float64) *Table {
	table := New()
	for number, ratio := range ratios {
		for range samples {
			table.Observe(0, runOf(number), Prefill, ratio)
		}
	}
	table.Refresh(0)
	return table
}

// TestMomentsOfNoiseAreNotSpeed guards against factors that follow moments in which engines are
// slowed down to 2.5 times.
func TestMomentsOfNoiseAreNotSpeed(t *testing.T) {
	table, random := New(), rand.New(rand.NewPCG(1, 2))
	speeds := []float64{0.6, 1, 1.6}
	for sample := range 8 {
		for number := range 57 {
			ratio := 1 / speeds[number%3]
			if random.Float64() < 0.15 {
				ratio *= 2.5
			}
			table.Observe(time.Duration(sample)*time.Second, runOf(number), Prefill, ratio)
		}
	}
	table.Refresh(8 * time.Second)
	wrong := 0
	for number := range 57 {
		if math.Abs(table.Factors(runOf(number)).Prefill*speeds[number%3]-1) > 0.2 {
			wrong++
		}
	}
	assert.LessOrEqual(t, wrong, 57/5)
	assert.True(t, table.IsUneven())
}

// TestNoiseAtEvenEnginesIsNoDifference guards against a fleet of the same speed that counts as uneven
// while few measurements, some of them noisy, are known.
func TestNoiseAtEvenEnginesIsNoDifference(t *testing.T) {
	table, random := New(), rand.New(rand.NewPCG(3, 4))
	for sample := range 20 {
		now := time.Duration(sample) * time.Second
		for number := range 57 {
			ratio := 1.0
			if random.Float64() < 0.15 {
				ratio = 2.5
			}
			table.Observe(now, runOf(number), Prefill, ratio)
		}
		table.Refresh(now)
		assert.False(t, table.IsUneven(), sample)
	}
}

// TestEvenEnginesAreNotReported guards against reports of small differences.
func TestEvenEnginesAreNotReported(t *testing.T) {
	table := measured(5, 0.95, 1, 1.08, 1.02)
	assert.False(t, table.IsUneven())
	assert.Empty(t, table.Report(0, "peer", MaxReported))
	assert.InDelta(t, 1, table.Factors(runOf(2)).Prefill, 0)
}

// TestReportIsBoundedAndHoldsOwnMeasurements guards against peers' measurements that come back as
// if they were others.
func TestReportIsBoundedAndHoldsOwnMeasurements(t *testing.T) {
	ratios := make([]float64, 100)
	for number := range ratios {
		ratios[number] = 1 + float64(number%2)
	}
	table := measured(3, ratios...)
	table.Merge(0, "peer", []Speed{{Run: runOf(1000), Ratios: [2]float64{5, 5}, Samples: 9}})
	report := table.Report(0, "other", MaxReported)
	assert.Len(t, report, MaxReported)
	for _, speed := range report {
		assert.NotEqual(t, runOf(1000).Engine, speed.Engine)
	}
	assert.Empty(t, table.Report(reportedFor+introductionPeriod, "other", MaxReported), "nothing has changed since")
	assert.NotEmpty(t, table.Report(reportedFor+introductionPeriod, "joining", MaxReported))
}

// TestOldSpeedsOfACutOffNodeFade guards against a node that reports what it measured before an
// engine slowed down.
func TestOldSpeedsOfACutOffNodeFade(t *testing.T) {
	cutOff, table := measured(5, 1, 1, 1, 0.5), measured(5, 1, 1, 1, 0.5)
	old := cutOff.Report(0, "peer", MaxReported)
	later := 2 * time.Minute
	for range 5 {
		table.Observe(later, runOf(3), Prefill, 2)
	}
	for index := range old {
		old[index].Samples = decayed(old[index].Samples, later)
	}
	assert.Zero(t, table.Merge(later, "cut-off", old))
	for number := range 3 {
		table.Observe(later, runOf(number), Prefill, 1)
	}
	table.Refresh(later)
	assert.Greater(t, table.Factors(runOf(3)).Prefill, 1.6)
	table.Refresh(later + 10*halfLife)
	assert.Zero(t, table.Len())
}

// TestSpeedsOutOfRangeAreLeftOut guards against predictions by malformed reports.
func TestSpeedsOutOfRangeAreLeftOut(t *testing.T) {
	table := measured(3, 1, 1, 1)
	invalid := []Speed{
		{Run: runOf(0), Ratios: [2]float64{1e6, 1}, Samples: 5},
		{Run: runOf(0), Ratios: [2]float64{math.NaN(), 1}, Samples: 5},
		{Run: runOf(0), Ratios: [2]float64{2, -1}, Samples: 5},
		{Run: runOf(0), Ratios: [2]float64{2, 2}},
		{Run: runOf(0), Samples: 5},
	}
	assert.Equal(t, len(invalid), table.Merge(0, "peer", invalid))
	table.Merge(0, "peer", []Speed{{Run: runOf(0), Ratios: [2]float64{50, 50}, Samples: 1e9}})
	table.Refresh(0)
	assert.LessOrEqual(t, table.Factors(runOf(0)).Samples, 3.0+maxPeerSamples)
}

// TestRarelyMetPeerHearsOfAllEngines guards against a peer that is new at each report and hears of
// the first engines by name alone.
func TestRarelyMetPeerHearsOfAllEngines(t *testing.T) {
	table, heard := New(), make(map[fleet.EngineID]bool)
	for second := range 400 {
		now := time.Duration(second) * time.Second
		for number := range 90 {
			table.Observe(now, runOf(number), Prefill, 1+float64(number%2))
		}
		table.Refresh(now)
		if second%25 != 0 {
			continue
		}
		for _, speed := range table.Report(now, "peer", MaxReported) {
			heard[speed.Engine] = true
		}
	}
	assert.Len(t, heard, 90)
}

// TestMedianOfEnginesIsTheirEstimate guards against a fast median that differs from the estimate by
// the same ratios.
func TestMedianOfEnginesIsTheirEstimate(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for count := 1; count < 200; count++ {
		ratios, weighted := make([]float64, count), make([]weightedRatio, count)
		for index := range ratios {
			ratios[index] = math.Round(random.Float64()*50)/10 + 0.1
			weighted[index] = weightedRatio{ratio: ratios[index], weight: 1}
		}
		assert.InDelta(t, estimateOf(weighted).median, medianOf(ratios), 1e-9)
	}
	assert.Zero(t, medianOf(nil))
}

// TestOldMeasurementsAreNotReported guards against nodes whose reports keep each other's entries
// alive, long after anyone has measured.
func TestOldMeasurementsAreNotReported(t *testing.T) {
	table, later := measured(3, 1, 1, 2, 2), 200*time.Second
	assert.NotEmpty(t, table.Report(0, "peer", MaxReported))
	for number := range 4 {
		table.Merge(later, "peer", []Speed{{Run: runOf(number), Ratios: [2]float64{1 + float64(number/2), 0}, Samples: 3}})
	}
	table.Refresh(later)
	assert.True(t, table.IsUneven())
	assert.Empty(t, table.Report(later, "other", MaxReported))
}

// TestFewSlowMeasurementsAreNoUnevenService guards against a service that counts as uneven by slow
// moments at two engines, since only these were measured twice.
func TestFewSlowMeasurementsAreNoUnevenService(t *testing.T) {
	for _, slow := range []float64{2.5, 1} {
		table := measured(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		for range 2 {
			table.Observe(0, runOf(20), Prefill, 2.5)
			table.Observe(0, runOf(21), Prefill, slow)
		}
		table.Refresh(0)
		assert.False(t, table.IsUneven(), slow)
	}
}

// TestSmallUnevenServiceIsKnown guards against services of few engines that never count as uneven.
func TestSmallUnevenServiceIsKnown(t *testing.T) {
	assert.False(t, measured(2, 1, 2.5).IsUneven())
	assert.True(t, measured(8, 1, 2.5).IsUneven())
}

// TestUnevenServiceDoesNotSwitchAtTheThreshold guards against choices that change with each engine
// that is measured once more or once less.
func TestUnevenServiceDoesNotSwitchAtTheThreshold(t *testing.T) {
	table := measured(5, 1, 1, 1, 1, 1, 1, 2, 2, 2)
	assert.True(t, table.IsUneven())
	for number := range 3 {
		for range 2 * maxMeasurements {
			table.Observe(0, runOf(8-number), Prefill, 1)
		}
		table.Refresh(0)
		assert.Equal(t, number == 0, table.IsUneven(), number)
	}
	for range 2 * maxMeasurements {
		table.Observe(0, runOf(8), Prefill, 2)
		table.Observe(0, runOf(7), Prefill, 2)
	}
	table.Refresh(0)
	assert.False(t, table.IsUneven(), "two of nine don't make a service uneven")
}
