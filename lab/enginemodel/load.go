package enginemodel

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
)

const (
	// samplesPerLag sets how many samples of load a lag is divided into.
	samplesPerLag = 16
	// minimumSampleInterval bounds how often samples are taken.
	minimumSampleInterval = 5 * time.Millisecond
)

type loadSample struct {
	at   time.Duration
	load engine.Load
}

// loadHistory keeps samples of load for as long as reports lag.
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

// sampleAt returns the latest sample that isn't younger than a time, and drops those
// before it.
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
	// Keep one sample from before the lag, for the next report.
	for len(e.loads.samples) > 2 && e.loads.samples[1].at <= now-e.config.LoadLag {
		e.loads.samples = slices.Delete(e.loads.samples, 0, 1)
	}
}

// load measures the present load.
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

// Status returns the engine's word about itself, with a load that is at least
// Config.LoadLag old.
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
