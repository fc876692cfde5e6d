package prefixindex

import (
	"math/bits"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// LookupLimited appends to into[:0] runs that hold a prefix of a prompt, like Lookup, but at most
// limit runs for each prefix length. It bounds the cost of a lookup for a prefix that thousands of
// runs hold. offset, which must not be negative, sets where the search starts; different offsets
// may return different runs.
func (x *Index) LookupLimited(hashes []fleet.BlockHash, limit, offset int, into []Match) []Match {
	search := &limitedSearch{
		hashes: hashes, limit: limit, offset: offset, foundByLength: make([]int, len(hashes)+1), matches: into[:0],
	}
	if x.directory == nil {
		search.searchAllBanks(x.banks)
	} else {
		search.searchDirectory(x.banks, x.directory.banksOf(hashes))
	}
	slices.SortFunc(search.matches, compareMatches)
	return search.matches
}

// CachedPrefix returns the number of leading blocks of a prompt that a run holds.
func (x *Index) CachedPrefix(run fleet.EngineRun, hashes []fleet.BlockHash) int {
	location, known := x.runs[run]
	if !known || location.bank.counts[location.slot] == 0 {
		return 0
	}
	for depth, hash := range hashes {
		if location.bank.holders(hash)&bit(location.slot) == 0 {
			return depth
		}
	}
	return len(hashes)
}

// limitedSearch is a search for a limited number of runs of each prefix length.
type limitedSearch struct {
	hashes []fleet.BlockHash
	limit  int
	offset int
	// foundByLength counts the matches by prefix length.
	foundByLength []int
	matches       []Match
}

// searchAllBanks searches every bank.
func (s *limitedSearch) searchAllBanks(banks []*bank) {
	for number := range banks {
		s.searchBank(banks[(number+s.offset)%len(banks)])
	}
}

// searchDirectory searches the banks that may hold a prefix, those with the longest prefixes first,
// until it has enough runs of each length.
func (s *limitedSearch) searchDirectory(banks []*bank, sets []bankSet) {
	var seen bankSet
	for depth := len(sets); depth > 0; depth-- {
		for step := range banks {
			number := (step + s.offset) % len(banks)
			if s.foundByLength[depth] >= s.limit {
				break
			}
			if sets[depth-1].has(number) && !seen.has(number) {
				seen = seen.with(number)
				s.searchBank(banks[number])
			}
		}
	}
}

// searchBank adds the matching runs of one bank.
func (s *limitedSearch) searchBank(b *bank) {
	if b.entries == 0 {
		return
	}
	unbroken := b.live
	for depth, hash := range s.hashes {
		holding := unbroken & b.holders(hash)
		s.appendMatches(b, unbroken&^holding, depth)
		unbroken = holding
		if unbroken == 0 {
			return
		}
	}
	s.appendMatches(b, unbroken, len(s.hashes))
}

// appendMatches adds the runs of a mask up to the limit for their prefix length.
func (s *limitedSearch) appendMatches(b *bank, mask uint64, blocks int) {
	if blocks == 0 {
		return
	}
	first := s.offset % slotsPerBank
	rotated := bits.RotateLeft64(mask, -first)
	for ; rotated != 0 && s.foundByLength[blocks] < s.limit; rotated &= rotated - 1 {
		run := b.runs[(bits.TrailingZeros64(rotated)+first)%slotsPerBank]
		s.matches = append(s.matches, Match{Run: run, Blocks: blocks})
		s.foundByLength[blocks]++
	}
}
