package spill

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/lab/enginemodel"
)

// engineHost runs an engine model on the event queue.
type engineHost struct {
	world      *world
	model      *enginemodel.Engine
	machine    platform.Machine
	site       membership.EngineSite
	streams    map[fleet.StreamID]*call
	nextStepAt time.Duration
	// peakStreams is the maximum number of concurrent streams.
	peakStreams int
}

func newEngineHost(w *world, id string, pool, zone int) *engineHost {
	model := enginemodel.New(enginemodel.Config{
		ID: fleet.EngineID(id), Zone: zoneName(zone), BlockTokens: blockTokens, MaxRunning: maxStreams, CacheBlocks: w.options.CacheBlocks,
		EventDelay: eventDelay, LoadLag: loadLag, Loaded: []engine.ModelVersion{engine.ModelVersion(modelVersion(pool))},
	})
	location := membership.Location{Zone: zoneName(zone)}
	return &engineHost{
		world: w,
		model: model,
		machine: platform.Machine{
			ID: id, Kind: platform.MachineEngine, Address: fleet.Address(id), Zone: location.Zone,
			Pool: poolName(pool), Incarnation: model.Incarnation(), State: platform.MachineLive,
		},
		site:    membership.EngineSite{Pool: poolName(pool), Location: location},
		streams: make(map[fleet.StreamID]*call),
	}
}

func (h *engineHost) id() fleet.EngineID { return fleet.EngineID(h.machine.ID) }

// dispatch serves the dispatch of a granted request.
func (h *engineHost) dispatch(c *call, grant placement.Grant) {
	now := h.world.queue.Now()
	stream := fleet.StreamID(c.request.ID)
	err := h.model.DispatchHashed(now, enginemodel.HashedRequest{
		StreamID: stream, Incarnation: grant.Run.Incarnation, Tenant: c.request.Tenant,
		Weights: engine.ModelVersion(c.request.ModelVersion), Hashes: c.blocks,
		PromptTokens: c.request.PromptTokens(), OutputTokens: c.request.OutputTokens, Priority: grant.Priority,
	})
	if err != nil {
		c.report(placement.PhaseFailed)
		c.end(resultFailed)
		return
	}
	h.streams[stream] = c
	h.peakStreams = max(h.peakStreams, len(h.streams))
	c.report(placement.PhaseAccepted)
	h.update()
}

// update handles the model's stream events and schedules its next step.
func (h *engineHost) update() {
	for _, event := range h.model.TakeStreamEvents() {
		c := h.streams[event.Stream]
		if event.Kind == enginemodel.StreamFirstToken {
			c.handleFirstToken(event)
			continue
		}
		delete(h.streams, event.Stream)
		c.report(placement.PhaseFinished)
		c.end(resultFinished)
	}
	next, found := h.model.NextWakeup()
	if !found || (h.nextStepAt != 0 && h.nextStepAt <= next) {
		return
	}
	h.nextStepAt = next
	h.world.queue.At(next, func() { h.step(next) })
}

func (h *engineHost) step(planned time.Duration) {
	if h.nextStepAt != planned {
		return
	}
	h.nextStepAt = 0
	h.model.Advance(h.world.queue.Now())
	h.update()
}
