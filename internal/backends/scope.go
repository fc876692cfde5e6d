package backends

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// promptScope is what is known of a prompt's parts in one scope.
type promptScope struct {
	version ModelVersion
	scope   string
	hashes  []fleet.BlockHash
	// holders are engines that hold leading parts, some of each number, those with the
	// most first.
	holders []holder
	// storedParts counts the leading parts that the store is believed to hold.
	storedParts int
}

// holder is an engine with the number of leading parts that it is believed to hold.
type holder struct {
	id fleet.EngineID
	// state is nil if no row has told of the engine.
	state *workerState
	parts int
}

// maxHeldParts returns the maxHeldParts leading parts that one engine is believed to hold.
func (s *promptScope) maxHeldParts() int {
	if len(s.holders) == 0 {
		return 0
	}
	return s.holders[0].parts
}

// isHeldByEngine tells whether an engine is believed to hold so many leading parts.
// Where none is, all nodes send to the prompt's home, which reads them once.
func (s *promptScope) isHeldByEngine(parts int) bool { return s.maxHeldParts() >= parts }

// lookUpScope returns what is known of a prompt's parts; the mutex is held.
func (r *Registry) lookUpScope(engine *EngineRequest, version ModelVersion) *promptScope {
	scope := Scope(engine.Model, version, engine.Tenant, engine.Isolated)
	scoped := &promptScope{version: version, scope: scope, hashes: hashParts(scope, engine.Parts)}
	store := StoreRun(engine.Store)
	scoped.storedParts = r.parts.index.Held(store, scoped.hashes)
	r.matches = r.parts.index.LookupFew(scoped.hashes, maxHolders+1, r.options.Random.IntN(1<<16), r.matches)
	scoped.holders = make([]holder, 0, len(r.matches))
	for _, match := range r.matches {
		if match.Run != store {
			id := match.Run.Engine
			scoped.holders = append(scoped.holders, holder{id: id, state: r.workers[id], parts: match.Blocks})
		}
	}
	return scoped
}

// heldParts returns the leading parts that an engine is believed to hold.
func (r *Registry) heldParts(parts *promptScope, state *workerState) int {
	return r.parts.index.Held(state.worker.Run(), parts.hashes)
}
