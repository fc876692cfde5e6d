package backends

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// promptScope is the cache state of a prompt's parts in one scope.
type promptScope struct {
	version ModelVersion
	scope   string
	hashes  []fleet.BlockHash
	// holders are engines that hold leading parts, those with the most parts first. Their number is
	// limited for each number of parts.
	holders []holder
	// storedParts is the number of leading parts expected in the store.
	storedParts int
}

// holder is an engine with the number of leading parts that it is expected to hold.
type holder struct {
	id fleet.EngineID
	// state is nil if the engine is not a known worker.
	state *workerState
	parts int
}

// maxHeldParts returns the largest number of leading parts that one engine is expected to hold.
func (s *promptScope) maxHeldParts() int {
	if len(s.holders) == 0 {
		return 0
	}
	return s.holders[0].parts
}

// isHeldByEngine reports whether an engine is expected to hold the given number of leading parts.
func (s *promptScope) isHeldByEngine(parts int) bool { return s.maxHeldParts() >= parts }

// lookUpScope looks up the cache state of a prompt's parts for a model version. The mutex must be
// held.
func (r *Registry) lookUpScope(engine *EngineRequest, version ModelVersion) *promptScope {
	scope := Scope(engine.Model, version, engine.Tenant, engine.Isolated)
	scoped := &promptScope{version: version, scope: scope, hashes: hashParts(scope, engine.Parts)}
	store := StoreRun(engine.Store)
	scoped.storedParts = r.parts.index.CachedPrefix(store, scoped.hashes)
	r.matches = r.parts.index.LookupLimited(scoped.hashes, maxHolders+1, r.options.Random.IntN(1<<16), r.matches)
	scoped.holders = make([]holder, 0, len(r.matches))
	for _, match := range r.matches {
		if match.Run != store {
			id := match.Run.Engine
			scoped.holders = append(scoped.holders, holder{id: id, state: r.workers[id], parts: match.Blocks})
		}
	}
	return scoped
}

// heldParts returns the number of leading parts that an engine is expected to hold.
func (r *Registry) heldParts(scoped *promptScope, state *workerState) int {
	return r.parts.index.CachedPrefix(state.worker.Run(), scoped.hashes)
}
