package backends

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// choicesAtEvenEngines returns a hash of the choices among engines of the same speed.
func choicesAtEvenEngines(t *testing.T) uint64 {
	registry, random, hash := newTestRegistry(), rand.New(rand.NewPCG(5, 6)), fnv.New64a()
	for number := range 12 {
		registry.Observe(1, engineWorker(number, 1))
	}
	const firstToken, perToken = 6 * time.Millisecond, 16 * time.Microsecond
	now := time.Duration(0)
	var running []*Placement
	for number := range 2000 {
		now += 20 * time.Millisecond
		request := engineRequest(fmt.Sprint("p", random.IntN(40)))
		request.Engine.Store, request.Engine.Parts[2].ID = "", fmt.Sprint("own", number)
		if random.IntN(3) > 0 {
			request.Engine.PromptTokens, request.Engine.Parts = 200, []Part{{fmt.Sprint("short", number), 200}}
		}
		placement, refusal := registry.Choose(now, request)
		require.NotNil(t, placement, refusal)
		_, err := hash.Write([]byte(placement.Worker.ID))
		require.NoError(t, err)
		placement.FirstByte(now + firstToken + time.Duration(placement.UncachedTokens())*perToken)
		if running = append(running, placement); len(running) > 4 {
			running[0].End(now, Succeeded)
			running = running[1:]
		}
		if number%30 == 0 {
			registry.RefreshSpeeds(now)
		}
	}
	return hash.Sum64()
}

// TestEvenEnginesAreChosenAsBefore guards against choices that change although no engine is faster
// or slower than the others.
func TestEvenEnginesAreChosenAsBefore(t *testing.T) {
	// before is the hash of the choices before engines had speeds of their own.
	const before = uint64(0x461bd6dd21ff694b)
	assert.Equal(t, before, choicesAtEvenEngines(t))
}

// TestFasterRunTakesOverAnIdentifier guards against the speed of an engine's previous run.
func TestFasterRunTakesOverAnIdentifier(t *testing.T) {
	registry := newEngineRegistry()
	worker := engineWorker(0, 1)
	worker.StartTime = 1000
	registry.Observe(20, worker)
	report := func(startTime uint64, ratio float64) {
		speeds := []enginespeed.Speed{{Run: enginespeed.Run{Engine: worker.ID, StartTime: startTime}, Ratios: [2]float64{ratio, ratio}, Samples: 9}}
		for number := 1; number < engineCount; number++ {
			speeds = append(speeds, enginespeed.Speed{Run: enginespeed.Run{Engine: engineWorker(number, 1).ID}, Ratios: [2]float64{1, 1}, Samples: 9})
		}
		unknown, invalid := registry.ObserveSpeeds(0, "peer", speeds)
		assert.Zero(t, unknown+invalid)
		registry.RefreshSpeeds(0)
	}
	report(1000, 3)
	assert.Greater(t, registry.workers[worker.ID].speed.Prefill, 2.0)
	worker.StartTime = 2000
	registry.Observe(21, worker)
	assert.Equal(t, enginespeed.Unknown(), registry.workers[worker.ID].speed)
	report(1000, 3)
	assert.Equal(t, enginespeed.Unknown(), registry.workers[worker.ID].speed, "the peer has not heard of the new run")
	report(2000, 0.5)
	assert.Less(t, registry.workers[worker.ID].speed.Prefill, 0.7)
	unknown, _ := registry.ObserveSpeeds(0, "peer", []enginespeed.Speed{{Run: enginespeed.Run{Engine: "other"}, Ratios: [2]float64{1, 1}, Samples: 1}})
	assert.Equal(t, 1, unknown)
}

// TestReportedPromptsAreComputedMeanwhile guards against waiting for prompts that an engine has
// computed since they were reported.
func TestReportedPromptsAreComputedMeanwhile(t *testing.T) {
	var ahead prefillAhead
	perToken := 10 * time.Microsecond
	assert.Equal(t, 10_000, ahead.update(0, 10_000, perToken))
	halfDone := time.Duration(5000/meanProgress) * perToken
	assert.InDelta(t, 5000, ahead.update(halfDone, 10_000, perToken), 1)
	assert.InDelta(t, 7000, ahead.update(halfDone, 12_000, perToken), 1, "added prompts have just arrived")
	assert.Zero(t, ahead.update(halfDone, 0, perToken))
}

// TestReportOnAnUnknownRunLocksNoMeasurementsOut guards against a report with a wild start time,
// after which all measurements of the engine would count as those of an earlier run.
func TestReportOnAnUnknownRunLocksNoMeasurementsOut(t *testing.T) {
	for _, known := range []StartTime{0, 1000} {
		registry, worker := newEngineRegistry(), engineWorker(0, 1)
		worker.StartTime = known
		registry.Observe(20, worker)
		report := func(startTime uint64) (unknown, invalid int) {
			return registry.ObserveSpeeds(0, "peer", []enginespeed.Speed{{
				Run: enginespeed.Run{Engine: worker.ID, StartTime: startTime}, Ratios: [2]float64{2, 2}, Samples: 9,
			}})
		}
		unknown, invalid := report(1 << 60)
		assert.Equal(t, 1, unknown)
		assert.Zero(t, invalid)
		worker.StartTime = 1000
		registry.Observe(21, worker)
		unknown, invalid = report(1000)
		assert.Zero(t, unknown+invalid)
		assert.InDelta(t, 9, registry.workers[worker.ID].speed.Samples, 0.01)
	}
}

// TestServicesShareAReport guards against engines that are cut off a report although their turn has
// passed with it.
func TestServicesShareAReport(t *testing.T) {
	registry, heard := New(Options{}), make(map[fleet.EngineID]bool)
	for number := range 60 {
		worker := engineWorker(number, 1)
		worker.Service = "c"
		if number < 12 {
			worker.Service = []fleet.PoolName{"a", "b"}[number/6]
		}
		registry.Observe(1, worker)
		for range 5 {
			registry.speedTableOf(worker.Service).Observe(0, speedRun(&worker), enginespeed.Prefill, 1+float64(number%2))
		}
	}
	// By then no change is due, and a new peer hears of all in turn.
	later := 5 * time.Second
	registry.RefreshSpeeds(later)
	for number := range 6 {
		speeds := registry.OwnSpeeds(later, fleet.NodeID(fmt.Sprint("peer", number)))
		assert.Len(t, speeds, enginespeed.MaxReported)
		for index, speed := range speeds {
			heard[speed.Engine] = true
			assert.Equal(t, index < 12, registry.workers[speed.Engine].worker.Service != "c")
		}
	}
	assert.Len(t, heard, 60)
}

// TestSteadyQueueIsNotComputedMeanwhile guards against a queue that is always as long and counts as
// empty, since work that takes the place of what was computed doesn't show in the reports.
func TestSteadyQueueIsNotComputedMeanwhile(t *testing.T) {
	var ahead prefillAhead
	for round := range 5 {
		assert.Equal(t, 10_000, ahead.update(time.Duration(round)*time.Second, 10_000, 10*time.Microsecond))
	}
}

// TestComputedPromptsAreLessUrgent guards against subtracting the prompts of less urgent requests twice,
// from a wait for a slot too.
func TestComputedPromptsAreLessUrgent(t *testing.T) {
	registry := newEngineRegistry()
	var speeds []enginespeed.Speed
	for number := range engineCount {
		ratio := float64(1 + 2*(number%2))
		speeds = append(speeds, enginespeed.Speed{Run: enginespeed.Run{Engine: engineWorker(number, 1).ID}, Ratios: [2]float64{ratio, ratio}, Samples: 9})
	}
	registry.ObserveSpeeds(0, "peer", speeds)
	registry.RefreshSpeeds(0)
	require.True(t, registry.isUneven("engines"))
	state, engine := registry.workers["e0"], targetedRequest("p", 1000, 1).Engine
	for range state.worker.Slots {
		state.begin(placedWork{priority: 1, prefillTokens: 100})
	}
	state.begin(placedWork{priority: 5, prefillTokens: 9000})
	registry.endpointLoad(0, engine, state)
	endpoint := registry.endpointLoad(reportInterval, engine, state)
	assert.Equal(t, 100*state.worker.Slots, endpoint.ComputedTokens)
	assert.Equal(t, endpoint.SlotTime/time.Duration(state.worker.Slots), scheduling.PredictedWait(&endpoint))
}
