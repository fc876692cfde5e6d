package membership

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxPullSources bounds the members remembered as ahead of this node.
const maxPullSources = 8

// pullSource is a member that holds a higher revision than this node.
type pullSource struct {
	address  fleet.Address
	revision fleet.Revision
	// lastPull is the number of the last pull from the member, or 0.
	lastPull uint64
}

// pullSources holds the members to pull from, the most recently observed last.
type pullSources struct {
	sources   []pullSource
	pullCount uint64
}

func (s *pullSources) isEmpty() bool { return len(s.sources) == 0 }

// add records a member that is ahead. Beyond maxPullSources it evicts the member with the lowest
// revision, and of several the least recently observed.
func (s *pullSources) add(address fleet.Address, revision fleet.Revision) {
	seen := pullSource{address: address, revision: revision}
	if index := slices.IndexFunc(s.sources, func(k pullSource) bool { return k.address == address }); index >= 0 {
		seen.revision = max(revision, s.sources[index].revision)
		seen.lastPull = s.sources[index].lastPull
		s.sources = slices.Delete(s.sources, index, index+1)
	}
	s.sources = append(s.sources, seen)
	if len(s.sources) <= maxPullSources {
		return
	}
	least := 0
	for index, source := range s.sources {
		if source.revision < s.sources[least].revision {
			least = index
		}
	}
	s.sources = slices.Delete(s.sources, least, least+1)
}

// drop removes the members that hold no more than the given revision.
func (s *pullSources) drop(held fleet.Revision) {
	s.sources = slices.DeleteFunc(s.sources, func(source pullSource) bool { return source.revision <= held })
}

// next returns the address of the member that was asked least recently, and of several the one with
// the highest revision. There must be at least one.
func (s *pullSources) next() fleet.Address {
	chosen := 0
	for index, source := range s.sources {
		best := s.sources[chosen]
		order := cmp.Or(cmp.Compare(source.lastPull, best.lastPull), cmp.Compare(best.revision, source.revision))
		if order <= 0 {
			chosen = index
		}
	}
	s.pullCount++
	s.sources[chosen].lastPull = s.pullCount
	return s.sources[chosen].address
}
