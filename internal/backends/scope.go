package backends

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// scoped is what is known of a prompt's parts in one scope.
type scoped struct {
	version WeightsVersion
	scope   string
	hashes  []fleet.BlockHash
	// holders are engines that hold leading parts, some of each number, those with the
	// most first.
	holders []holder
	// stored counts the leading parts that the store is believed to hold.
	stored int
}

// holder is an engine with the number of leading parts that it is believed to hold.
type holder struct {
	id fleet.EngineID
	// known is nil if no row has told of the engine.
	known *state
	parts int
}

// most returns the most leading parts that one engine is believed to hold.
func (s *scoped) most() int {
	if len(s.holders) == 0 {
		return 0
	}
	return s.holders[0].parts
}

// anyHolds tells whether an engine is believed to hold so many leading parts.
// Where none is, all nodes send to the prompt's home, which reads them once.
func (s *scoped) anyHolds(parts int) bool { return s.most() >= parts }

// lookUp returns what is known of a prompt's parts; the mutex is held.
func (r *Registry) lookUp(engine *EngineRequest, version WeightsVersion) *scoped {
	scope := Scope(engine.Model, version, engine.Tenant, engine.Isolated)
	known := &scoped{version: version, scope: scope, hashes: hashParts(scope, engine.Parts)}
	store := StoreRun(engine.Store)
	known.stored = r.parts.index.Held(store, known.hashes)
	r.matches = r.parts.index.LookupFew(known.hashes, mostHolders+1, r.options.Random.IntN(1<<16), r.matches)
	known.holders = make([]holder, 0, len(r.matches))
	for _, match := range r.matches {
		if match.Run != store {
			id := match.Run.Engine
			known.holders = append(known.holders, holder{id: id, known: r.workers[id], parts: match.Blocks})
		}
	}
	return known
}

// heldBy returns the leading parts that an engine is believed to hold.
func (r *Registry) heldBy(parts *scoped, known *state) int {
	return r.parts.index.Held(known.worker.Run(), parts.hashes)
}
