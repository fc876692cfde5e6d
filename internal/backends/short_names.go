package backends

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// shortNames maps 32-bit hashes to worker identifiers. Peers exchange the hashes instead of the
// identifiers to shorten reports. A hash that several known workers share is not used.
type shortNames struct {
	byHash map[uint32]map[fleet.EngineID]bool
}

func newShortNames() shortNames {
	return shortNames{byHash: make(map[uint32]map[fleet.EngineID]bool)}
}

// shortName returns the hash of an identifier. It is never 0.
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

// find returns the only worker with the given hash.
func (s shortNames) find(short uint32) (fleet.EngineID, bool) {
	if len(s.byHash[short]) != 1 {
		return "", false
	}
	for id := range s.byHash[short] {
		return id, true
	}
	return "", false
}

// ShortNames returns the short name of the worker of each load; 0 if the worker is unknown or its
// short name is ambiguous.
func (r *Registry) ShortNames(loads []Load) []uint32 {
	ids := make([]fleet.EngineID, len(loads))
	for index := range loads {
		ids[index] = loads[index].Engine
	}
	return r.ShortNamesOf(ids)
}

// ShortNamesOf is like ShortNames, for identifiers.
func (r *Registry) ShortNamesOf(ids []fleet.EngineID) []uint32 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	short := make([]uint32, len(ids))
	for index, id := range ids {
		name := shortName(id)
		if found, only := r.shortNames.find(name); only && found == id {
			short[index] = name
		}
	}
	return short
}

// FullNames returns the worker of each short name; "" if the short name is unknown or ambiguous.
func (r *Registry) FullNames(short []uint32) []fleet.EngineID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	full := make([]fleet.EngineID, len(short))
	for index, name := range short {
		full[index], _ = r.shortNames.find(name)
	}
	return full
}
