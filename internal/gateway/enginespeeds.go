package gateway

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// perMille is the unit of encoded ratios.
const perMille = 1000

// errInvalidSpeeds means that a peer reported speeds out of range or too many of them.
var errInvalidSpeeds = errors.New("value out of range or too many engines")

// refreshEngineSpeeds updates the engines' speeds relative to each other, and logs and counts the
// considerable changes.
func (g *Gateway) refreshEngineSpeeds() {
	for _, change := range g.workers.RefreshSpeeds(g.now()) {
		g.metrics.engineSpeeds.changes.Inc()
		g.events.line("engine_speed_changed").Str("service", string(change.Service)).Str("worker", string(change.Engine)).
			Float64("prefill_factor", change.To.Prefill).Float64("step_factor", change.To.Step).
			Float64("previous_prefill_factor", change.From.Prefill).Float64("samples", change.To.Samples).Msg("engine_speed_changed")
	}
	g.metrics.engineSpeeds.setFactors(g.workers.EngineFactors())
}

// observeFirstToken compares the time to the first token with its prediction.
func (g *Gateway) observeFirstToken(placement *backends.Placement) {
	if placement.Engine == nil || placement.Engine.Predicted <= 0 || placement.Limited {
		return
	}
	measured := placement.TimeToFirstByte(g.now())
	g.metrics.engineSpeeds.predictions.Observe(float64(measured) / float64(placement.Engine.Predicted))
}

// encodeEngineSpeeds returns the measured speeds that are due to a peer, with short worker names
// where they are unambiguous.
func (g *Gateway) encodeEngineSpeeds(now time.Duration, to fleet.NodeID) []*rpc.EngineSpeed {
	speeds := g.workers.OwnSpeeds(now, to)
	ids := make([]fleet.EngineID, len(speeds))
	for index := range speeds {
		ids[index] = speeds[index].Engine
	}
	shortNames := g.workers.ShortNamesOf(ids)
	encoded := make([]*rpc.EngineSpeed, len(speeds))
	for index := range speeds {
		encoded[index] = encodeEngineSpeed(&speeds[index])
		if shortNames[index] != 0 {
			encoded[index].ShortName = shortNames[index]
		} else {
			encoded[index].Worker = string(ids[index])
		}
	}
	return encoded
}

// encodeEngineSpeed encodes a speed without the worker's name. The number of samples is rounded:
// rounded up, old ones would stay known for as long as nodes report them to each other.
func encodeEngineSpeed(speed *enginespeed.Speed) *rpc.EngineSpeed {
	return &rpc.EngineSpeed{
		Born:            speed.StartTime,
		PrefillPermille: uint32(math.Round(speed.Ratios[enginespeed.Prefill] * perMille)),
		StepPermille:    uint32(math.Round(speed.Ratios[enginespeed.Step] * perMille)),
		Samples:         uint32(math.Round(speed.Samples)),
	}
}

// decodeEngineSpeed decodes a speed without the worker's name.
func decodeEngineSpeed(encoded *rpc.EngineSpeed) enginespeed.Speed {
	speed := enginespeed.Speed{
		Run:     enginespeed.Run{Engine: fleet.EngineID(encoded.GetWorker()), StartTime: encoded.GetBorn()},
		Samples: float64(encoded.GetSamples()),
	}
	speed.Ratios[enginespeed.Prefill] = float64(encoded.GetPrefillPermille()) / perMille
	speed.Ratios[enginespeed.Step] = float64(encoded.GetStepPermille()) / perMille
	return speed
}

// applyEngineSpeeds merges the speeds that a peer has measured. Those of unknown engines or out of
// range are left out and counted.
func (g *Gateway) applyEngineSpeeds(now time.Duration, report *rpc.LoadReport) {
	encoded := report.GetSpeeds()
	if len(encoded) == 0 {
		return
	}
	surplus := max(len(encoded)-enginespeed.MaxReported, 0)
	encoded = encoded[:len(encoded)-surplus]
	shortNames := make([]uint32, len(encoded))
	for index, speed := range encoded {
		shortNames[index] = speed.GetShortName()
	}
	fullNames := g.workers.FullNames(shortNames)
	speeds := make([]enginespeed.Speed, len(encoded))
	for index, speed := range encoded {
		speeds[index] = decodeEngineSpeed(speed)
		if speed.GetShortName() != 0 {
			speeds[index].Engine = fullNames[index]
		}
	}
	unknown, invalid := g.workers.ObserveSpeeds(now, fleet.NodeID(report.GetNode()), speeds)
	invalid += surplus
	g.metrics.engineSpeeds.rejected.WithLabelValues(rejectedUnknown).Add(float64(unknown))
	g.metrics.engineSpeeds.rejected.WithLabelValues(rejectedInvalid).Add(float64(invalid))
	if invalid > 0 {
		g.events.line("engine_speeds_rejected").Str("peer", report.GetNode()).Int("count", invalid).
			Err(errInvalidSpeeds).Msg("engine_speeds_rejected")
	}
}
