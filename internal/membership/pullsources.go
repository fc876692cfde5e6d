package membership

import (
	"cmp"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxPullSources bounds the members remembered as ahead of this node.
const maxPullSources = 8

// pullSource is a member that was seen to hold more than this node.
type pullSource struct {
	address  fleet.Address
	revision fleet.Revision
	// asked is the number of the last pull from it; 0 means none.
	asked uint64
}

// pullSources are the members to pull from, the one seen last at the end.
type pullSources struct {
	known []pullSource
	pulls uint64
}

func (s *pullSources) empty() bool { return len(s.known) == 0 }

// note remembers a member that is ahead. Of too many, the one that holds least
// and was seen first is forgotten.
func (s *pullSources) note(address fleet.Address, revision fleet.Revision) {
	seen := pullSource{address: address, revision: revision}
	if index := slices.IndexFunc(s.known, func(k pullSource) bool { return k.address == address }); index >= 0 {
		seen.revision = max(revision, s.known[index].revision)
		seen.asked = s.known[index].asked
		s.known = slices.Delete(s.known, index, index+1)
	}
	s.known = append(s.known, seen)
	if len(s.known) <= maxPullSources {
		return
	}
	least := 0
	for index, source := range s.known {
		if source.revision < s.known[least].revision {
			least = index
		}
	}
	s.known = slices.Delete(s.known, least, least+1)
}

// drop forgets the members that hold no more than a revision.
func (s *pullSources) drop(held fleet.Revision) {
	s.known = slices.DeleteFunc(s.known, func(source pullSource) bool { return source.revision <= held })
}

// next returns the member to ask: of those asked the longest ago, or never, the
// one that holds most. There must be one.
func (s *pullSources) next() fleet.Address {
	chosen := 0
	for index, source := range s.known {
		best := s.known[chosen]
		order := cmp.Or(cmp.Compare(source.asked, best.asked), cmp.Compare(best.revision, source.revision))
		if order <= 0 {
			chosen = index
		}
	}
	s.pulls++
	s.known[chosen].asked = s.pulls
	return s.known[chosen].address
}
