package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// shouldSave reports whether the store should receive a prompt's shared parts. It should only if no
// engine holds them: parts in use are cached at engines, and would evict parts that only the store
// holds.
func shouldSave(engine *EngineRequest, scoped *promptScope, shared int) bool {
	return engine.Store != "" && scoped.storedParts < shared && !scoped.isHeldByEngine(shared)
}

// source is where an engine can import missing shared parts from.
type source struct {
	address fleet.Address
	// parts is the number of leading parts at the source, and distance the distance to it.
	parts    int
	distance Distance
	// perToken is the time to transfer a token's KV cache.
	perToken time.Duration
}

// bestSource returns the best import source for an engine that holds some leading parts: the one
// with the most parts, and among those the fastest. It has no parts if there is none. An engine at
// most as distant as the store takes precedence over it, since all engines share the store's link.
func (r *Registry) bestSource(prompt *prompt, scoped *promptScope, target *workerState, held int) source {
	engine := prompt.engine
	best := source{address: engine.Store, parts: min(scoped.storedParts, prompt.shared)}
	best.distance = r.options.Regions.Between(engine.StoreZone, target.worker.Zone)
	if engine.StoreZone == "" {
		best.distance = SameZone
	}
	best.perToken = r.transferPerToken(engine, engine.StoreMegabits*storeLinkShare, best.distance)
	equal := 0
	for _, from := range scoped.holders {
		count := min(from.parts, prompt.shared)
		if count < max(held+1, best.parts) {
			break
		}
		if !canBeSource(from.state, target, scoped, engine.Model) {
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

// canBeSource reports whether the target can import parts from an engine. A draining engine can be
// a source until it is gone.
func canBeSource(state, target *workerState, scoped *promptScope, model fleet.ModelName) bool {
	return state != nil && state != target && !state.gone && state.worker.Versions[model] == scoped.version
}

// transferPerToken predicts the time to transfer a token's KV cache over a distance, at a bandwidth
// in Mbit/s.
func (r *Registry) transferPerToken(engine *EngineRequest, bandwidth float64, distance Distance) time.Duration {
	if bandwidth <= 0 {
		bandwidth = max(engine.LinkMegabits*importLinkShare, 1)
	}
	bits := float64(engine.TokenBytes) * bitsPerByte * float64(r.options.Distances.MoveFactor[distance])
	return time.Duration(bits / (bandwidth * megabit) * float64(time.Second))
}

// importSource returns the address from which an engine should import missing parts: the best
// source, which is the store if no engine is better, or the prompt's home if there is no store. It
// returns "" if the engine needs no import.
func (r *Registry) importSource(prompt *prompt, scoped *promptScope, chosen *workerState) fleet.Address {
	held := min(r.heldParts(scoped, chosen), prompt.shared)
	if held >= prompt.shared {
		return ""
	}
	if best := r.bestSource(prompt, scoped, chosen, held); best.address != "" {
		return best.address
	}
	if prompt.home != nil && prompt.home != chosen {
		return prompt.home.worker.Address
	}
	return ""
}

// recordHeldParts records that the engine, and the store if it receives them, hold the parts once
// the response has begun.
func (r *Registry) recordHeldParts(now time.Duration, placement *Placement) {
	engine := placement.Engine
	r.parts.store(now, placement.Worker.Run(), engine.hashes)
	if engine.SaveTo != "" && len(engine.hashes) > 1 {
		r.parts.add(engine.store)
		r.parts.store(now, engine.store, engine.hashes[:len(engine.hashes)-1])
	}
}

// StoreRun returns the run under which the index tracks the parts of a store.
func StoreRun(address fleet.Address) fleet.EngineRun {
	return fleet.EngineRun{Engine: fleet.EngineID("store:" + address)}
}
