package enginemodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
)

const (
	// samplesPerLag is the number of load samples taken per LoadLag.
	samplesPerLag = 16
	// minimumSampleInterval is the shortest interval of periodic samples.
	minimumSampleInterval = 5 * time.Millisecond
)

type loadSample struct {
	at   time.Duration
	load engine.Load
}

// loadHistory keeps samples of the load for the duration of LoadLag.
type loadHistory struct {
	samples []loadSample
}

func (h *loadHistory) sampleIfDue(e *Engine) {
	if e.config.LoadLag <= 0 {
		return
	}
	gap := max(e.config.LoadLag/samplesPerLag, minimumSampleInterval)
	if last := len(h.samples) - 1; last < 0 || e.now-h.samples[last].at >= gap {
		e.sampleLoad(e.now)
	}
}

// sampleAt returns the last sample taken at or before latest, or the first one if there is none,
// and drops the samples before it.
func (h *loadHistory) sampleAt(latest time.Duration) loadSample {
	found := 0
	for position, sample := range h.samples {
		if sample.at <= latest {
			found = position
		}
	}
	h.samples = slices.Delete(h.samples, 0, found)
	return h.samples[0]
}

func (e *Engine) sampleLoad(now time.Duration) {
	e.loads.samples = append(e.loads.samples, loadSample{at: now, load: e.load()})
	// Keep one sample that is at least LoadLag old for the next report.
	for len(e.loads.samples) > 2 && e.loads.samples[1].at <= now-e.config.LoadLag {
		e.loads.samples = slices.Delete(e.loads.samples, 0, 1)
	}
}

// load returns the current load.
func (e *Engine) load() engine.Load {
	costs := e.config.Costs
	step := costs.StepBase + time.Duration(len(e.running))*costs.DecodePerToken
	return engine.Load{
		MeasuredAtMillis:      e.now.Milliseconds(),
		RunningStreams:        len(e.running),
		WaitingStreams:        len(e.waiting.streams),
		WaitingPrefillTokens:  e.QueuedPrefillTokens(),
		UsedBlocks:            len(e.blocks.index),
		StepTokens:            costs.StepTokens,
		PrefillMicrosPerToken: micros(costs.PrefillPerToken),
		StepMicros:            micros(step),
	}
}

func micros(duration time.Duration) float64 {
	return float64(duration) / float64(time.Microsecond)
}

// Status returns the state of the engine. The load in it is at least Config.LoadLag old.
func (e *Engine) Status(now time.Duration) engine.Status {
	e.Advance(now)
	load := e.load()
	if e.config.LoadLag > 0 {
		load = e.loads.sampleAt(e.now - e.config.LoadLag).load
	}
	return engine.Status{
		Engine:      e.config.ID,
		Incarnation: e.incarnation,
		Zone:        e.config.Zone,
		Role:        e.control.role,
		Leaving:     e.control.leaving,
		Loaded:      slices.Clone(e.control.loaded),
		Loading:     e.control.loadingWeights(),
		BlockTokens: e.config.BlockTokens,
		CacheBlocks: e.config.CacheBlocks,
		Fence:       e.control.fence,
		Load:        load,
	}
}
