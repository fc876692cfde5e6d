package backends

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// shortNames are 32-bit hashes of the workers' names, in whose place nodes send them: names
// were a third of the bytes of a report. A hash that two known workers share stands for none.
type shortNames struct {
	byHash map[uint32]map[fleet.EngineID]bool
}

func newShortNames() shortNames {
	return shortNames{byHash: make(map[uint32]map[fleet.EngineID]bool)}
}

// shortName returns the hash of a name; it is never 0.
func shortName(id fleet.EngineID) uint32 { return uint32(xxhash.Sum64String(string(id))) | 1 }

func (s shortNames) add(id fleet.EngineID) {
	short := shortName(id)
	if s.byHash[short] == nil {
		s.byHash[short] = make(map[fleet.EngineID]bool, 1)
	}
	s.byHash[short][id] = true
}

func (s shortNames) remove(id fleet.EngineID) {
	short := shortName(id)
	delete(s.byHash[short], id)
	if len(s.byHash[short]) == 0 {
		delete(s.byHash, short)
	}
}

// find returns the worker for which a hash stands, if it stands for one.
func (s shortNames) find(short uint32) (fleet.EngineID, bool) {
	if len(s.byHash[short]) != 1 {
		return "", false
	}
	for id := range s.byHash[short] {
		return id, true
	}
	return "", false
}

// ShortNames returns what other nodes that know the same workers take for the workers of
// some loads; 0 for one that has no name of its own.
func (r *Registry) ShortNames(loads []Load) []uint32 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	short := make([]uint32, len(loads))
	for index := range loads {
		name := shortName(loads[index].Engine)
		if found, only := r.shortNames.find(name); only && found == loads[index].Engine {
			short[index] = name
		}
	}
	return short
}

// FullNames returns the workers for which short names stand; "" for one that stands for no
// worker known here, or for several.
func (r *Registry) FullNames(short []uint32) []fleet.EngineID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	full := make([]fleet.EngineID, len(short))
	for index, name := range short {
		full[index], _ = r.shortNames.find(name)
	}
	return full
}
