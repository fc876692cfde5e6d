package backends

import (
	"maps"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxAheadFraction is the queued prompt work, as a fraction of a prompt's own, up to which the time
// to its first token is a measurement of the engine's speed: more could add a difference of its own
// near enginespeed's smallest (1.15).
const maxAheadFraction = 0.125

// minColdRatio is the part of the time that an engine is expected to take from which on a prompt
// with missing shared parts is a measurement. Below, the parts were probably cached there after all:
// they are most of a long prompt, and an engine seldom gets twice as fast.
const minColdRatio = 0.5

// unevenTieFraction is the tie fraction at engines that differ in speed. With known speeds few
// engines tie for the lowest cost, and nodes that have not heard of each other's latest placements
// would all choose these.
const unevenTieFraction = 0.1

// EngineSpeedChange is a considerable change of an engine's measured speed.
type EngineSpeedChange struct {
	Service fleet.PoolName
	enginespeed.Change
}

// speedTableOf returns the speeds of a service's engines and creates the table if needed. The mutex
// must be held.
func (r *Registry) speedTableOf(service fleet.PoolName) *enginespeed.Table {
	table := r.speedTables[service]
	if table == nil {
		table = enginespeed.New()
		r.speedTables[service] = table
	}
	return table
}

// isUneven reports whether a service's engines are known to differ in speed. Without a measured
// difference, choices are made by the mean speed of the service. The mutex must be held.
func (r *Registry) isUneven(service fleet.PoolName) bool {
	table := r.speedTables[service]
	return table != nil && table.IsUneven()
}

// speedOf returns an engine's speed as choices predict it: while the engines are even, by what this
// node has seen of the engine of late, which includes work that predictions don't know of. The mutex
// must be held.
func (r *Registry) speedOf(state *workerState) enginespeed.Factors {
	if r.isUneven(state.worker.Service) {
		return state.speed
	}
	return enginespeed.Factors{Prefill: max(state.slowness, 1), Step: 1}
}

// minTieFraction returns the least tie fraction of a choice among a service's engines. The mutex
// must be held.
func (r *Registry) minTieFraction(service fleet.PoolName) float64 {
	if r.isUneven(service) {
		return unevenTieFraction
	}
	return 0
}

// usualPerToken returns the prefill time per token of an engine of factor 1. While the engines
// differ, it is the median over them, since the service's estimate follows the fastest. The mutex
// must be held.
func (r *Registry) usualPerToken(service fleet.PoolName) time.Duration {
	if table := r.speedTables[service]; table != nil && table.IsUneven() && table.Usual(enginespeed.Prefill) > 0 {
		return time.Duration(table.Usual(enginespeed.Prefill) * float64(r.options.PrefillPerToken))
	}
	return r.perToken(service)
}

// baseline returns a predicted time without the engine's own speed: at the service's estimate, which
// doesn't depend on how many engines are slow. The mutex must be held.
func (r *Registry) baseline(state *workerState, predicted time.Duration) time.Duration {
	service := state.worker.Service
	estimated, usual := r.perToken(service), r.usualPerToken(service)
	return scaled(predicted, float64(estimated)/(float64(max(usual, 1))*r.speedOf(state).Prefill))
}

// scaled returns a duration multiplied by a factor.
func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// speedRun returns the run that the speed table knows a worker by.
func speedRun(worker *Worker) enginespeed.Run {
	return enginespeed.Run{Engine: worker.ID, StartTime: uint64(worker.StartTime)}
}

// recordEngineSpeed adds the time to the first token of a completed request to the engine's speed.
// Only requests that waited for little else and imported nothing tell the speed. The mutex must be
// held.
func (r *Registry) recordEngineSpeed(now time.Duration, placement *Placement) {
	if placement.Engine == nil || !placement.hasFirstByte || placement.Limited || placement.Engine.ImportedTokens > 0 || placement.Engine.ContinueAt != "" {
		return
	}
	if placement.Worker.Slots > 0 && placement.InFlight >= placement.Worker.Slots {
		return
	}
	uncached := placement.work.prefillTokens
	if float64(placement.PrefillTokens) > maxAheadFraction*float64(uncached) {
		return
	}
	delay := r.options.Distances.Delay[r.distanceTo(placement.Worker.Zone)]
	elapsed := max(placement.timeToFirstByte-delay, 1)
	prefill := time.Duration(uncached) * r.options.PrefillPerToken
	table, run := r.speedTableOf(placement.Worker.Service), speedRun(&placement.Worker)
	switch {
	case uncached <= shortUncached:
		table.Observe(now, run, enginespeed.Step, float64(elapsed)/float64(prefill+r.options.Step))
	case uncached >= longUncached:
		steps := (uncached + r.options.StepTokens - 1) / r.options.StepTokens
		inSteps := scaled(time.Duration(steps)*r.options.Step, table.Factors(run).Step)
		ratio := float64(max(elapsed-inSteps, 1)) / float64(prefill)
		isCold := placement.Engine.HeldParts < placement.Engine.SharedParts
		if isCold && ratio < minColdRatio*table.Usual(enginespeed.Prefill)*table.Factors(run).Step {
			return
		}
		table.Observe(now, run, enginespeed.Prefill, ratio)
	default:
		return
	}
	r.updateSpeed(placement.Worker.ID)
}

// updateSpeed copies an engine's factors from the table. The mutex must be held.
func (r *Registry) updateSpeed(id fleet.EngineID) {
	state := r.workers[id]
	if state == nil {
		return
	}
	state.speed = enginespeed.Unknown()
	if table := r.speedTables[state.worker.Service]; table != nil {
		state.speed = table.Factors(speedRun(&state.worker))
	}
}

// RefreshSpeeds updates the speeds of all engines relative to each other, and returns the
// considerable changes. Callers call it about once a second.
func (r *Registry) RefreshSpeeds(now time.Duration) []EngineSpeedChange {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var changes []EngineSpeedChange
	for service, table := range r.speedTables {
		for _, change := range table.Refresh(now) {
			changes = append(changes, EngineSpeedChange{Service: service, Change: change})
		}
		for _, id := range table.Updated() {
			r.updateSpeed(id)
		}
	}
	return changes
}

// OwnSpeeds returns the speeds that this node has measured and that are due to a peer.
func (r *Registry) OwnSpeeds(now time.Duration, to fleet.NodeID) []enginespeed.Speed {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var speeds []enginespeed.Speed
	for _, service := range slices.Sorted(maps.Keys(r.speedTables)) {
		room := enginespeed.MaxReported - len(speeds)
		speeds = append(speeds, r.speedTables[service].Report(now, to, room)...)
	}
	return speeds
}

// ObserveSpeeds merges the speeds that a peer has measured. It returns how many of them were left
// out since the engine or its run is unknown here, and how many since a value is out of range. Runs
// become known by their rows alone: a wild start time in a report would make all measurements of the
// engine count as those of an earlier run.
func (r *Registry) ObserveSpeeds(now time.Duration, node fleet.NodeID, speeds []enginespeed.Speed) (unknown, invalid int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, speed := range speeds {
		state := r.workers[speed.Engine]
		if state == nil || len(state.worker.Versions) == 0 || speed.StartTime > uint64(state.worker.StartTime) {
			unknown++
			continue
		}
		invalid += r.speedTableOf(state.worker.Service).Merge(now, node, []enginespeed.Speed{speed})
		r.updateSpeed(speed.Engine)
	}
	return unknown, invalid
}

// EngineFactors returns the factors of all engines with measurements, for metrics.
func (r *Registry) EngineFactors() []enginespeed.Factors {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var factors []enginespeed.Factors
	for _, state := range r.workers {
		if state.speed.Samples > 0 {
			factors = append(factors, state.speed)
		}
	}
	return factors
}

// forgetSpeed drops the speed of an engine that is no longer tracked. The mutex must be held.
func (r *Registry) forgetSpeed(worker *Worker) {
	if table := r.speedTables[worker.Service]; table != nil {
		table.Forget(worker.ID)
	}
}
