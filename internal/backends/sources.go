package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// shouldSave tells whether the store should get a prompt's shared parts: only where
// no engine holds them, so that they are about to be read. The store's memory is
// for what engines don't keep: parts in use stay at engines, and would only make
// the store drop what is nowhere else.
func shouldSave(engine *EngineRequest, scoped *promptScope, shared int) bool {
	return engine.Store != "" && scoped.storedParts < shared && !scoped.isHeldByEngine(shared)
}

// source is from where an engine takes what it lacks of a prompt's shared parts.
type source struct {
	address fleet.Address
	// parts is how many leading parts are there, distance how far it is.
	parts    int
	distance Distance
	// perToken is the time to move a token's KV cache.
	perToken time.Duration
}

// bestSource returns the best source for an engine that holds some leading parts: the one
// with the most others, and of these the quickest; without one, no parts. An engine that
// is as near as the store goes before it, since all share the store's link.
func (r *Registry) bestSource(prompt *prompt, parts *promptScope, target *workerState, held int) source {
	engine := prompt.engine
	best := source{address: engine.Store, parts: min(parts.storedParts, prompt.shared)}
	best.distance = r.options.Regions.Between(engine.StoreZone, target.worker.Zone)
	if engine.StoreZone == "" {
		best.distance = SameZone
	}
	best.perToken = r.transferPerToken(engine, engine.StoreMegabits*storeLinkShare, best.distance)
	equal := 0
	for _, from := range parts.holders {
		count := min(from.parts, prompt.shared)
		if count < max(held+1, best.parts) {
			break
		}
		if !canBeSource(from.state, target, parts, engine.Model) {
			continue
		}
		distance := r.options.Regions.Between(from.state.worker.Zone, target.worker.Zone)
		perToken := r.transferPerToken(engine, engine.LinkMegabits*importLinkShare, distance)
		switch {
		case count > best.parts || perToken < best.perToken || (equal == 0 && distance <= best.distance):
			equal = 1
		case equal > 0 && perToken == best.perToken:
			equal++
		default:
			continue
		}
		if r.options.Random.IntN(equal) == 0 {
			best = source{address: from.state.worker.Address, parts: count, distance: distance, perToken: perToken}
		}
	}
	return best
}

// canBeSource tells whether an engine may be a source for another one. One that drains may be until
// it has gone.
func canBeSource(state, target *workerState, parts *promptScope, model fleet.ModelName) bool {
	return state != nil && state != target && !state.gone && state.worker.Versions[model] == parts.version
}

// transferPerToken predicts the time to move a token's KV cache at a bandwidth in Mbit/s over
// a distance.
func (r *Registry) transferPerToken(engine *EngineRequest, bandwidth float64, distance Distance) time.Duration {
	if bandwidth <= 0 {
		bandwidth = max(engine.LinkMegabits*importLinkShare, 1)
	}
	bits := float64(engine.TokenBytes) * bitsPerByte * float64(r.options.Distances.MoveFactor[distance])
	return time.Duration(bits / (bandwidth * megabit) * float64(time.Second))
}

// importSource names the holder from which an engine takes what it lacks: an engine that
// holds as much of the shared parts as the store does, else the store, which gets all that
// is read, else the prompt's home.
func (r *Registry) importSource(prompt *prompt, parts *promptScope, chosen *workerState) fleet.Address {
	held := min(r.heldParts(parts, chosen), prompt.shared)
	if held >= prompt.shared {
		return ""
	}
	if best := r.bestSource(prompt, parts, chosen, held); best.address != "" {
		return best.address
	}
	if prompt.home != nil && prompt.home != chosen {
		return prompt.home.worker.Address
	}
	return ""
}

// recordHeldParts records what the engine and the store hold once an answer has begun.
func (r *Registry) recordHeldParts(now time.Duration, placement *Placement) {
	engine := placement.Engine
	r.parts.store(now, placement.Worker.Run(), engine.hashes)
	if engine.SaveTo != "" && len(engine.hashes) > 1 {
		r.parts.add(engine.store)
		r.parts.store(now, engine.store, engine.hashes[:len(engine.hashes)-1])
	}
}

// StoreRun is the name under which the index holds a store's parts.
func StoreRun(address fleet.Address) fleet.EngineRun {
	return fleet.EngineRun{Engine: fleet.EngineID("store:" + address)}
}
