package prefixindex

import (
	"math/bits"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// LookupLimited appends to into[:0] runs that hold a prefix of a prompt, like Lookup, but at
// most limit runs for each length of prefix: a prefix that thousands of runs hold would
// else cost a choice milliseconds. offset is any number at or above 0; it sets where the
// search begins, so that different offsets find different runs.
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
	where, known := x.runs[run]
	if !known || where.bank.counts[where.slot] == 0 {
		return 0
	}
	for depth, hash := range hashes {
		if where.bank.holders(hash)&bit(where.slot) == 0 {
			return depth
		}
	}
	return len(hashes)
}

// limitedSearch is a search for limitedSearch runs of each length.
type limitedSearch struct {
	hashes []fleet.BlockHash
	limit  int
	offset int
	// foundByLength counts the matches of each length.
	foundByLength []int
	matches       []Match
}

// searchAllBanks looks into each bank.
func (f *limitedSearch) searchAllBanks(banks []*bank) {
	for number := range banks {
		f.searchBank(banks[(number+f.offset)%len(banks)])
	}
}

// searchDirectory looks into the banks that may hold a block, those with the longest prefixes first,
// until there are enough runs of each length.
func (f *limitedSearch) searchDirectory(banks []*bank, sets []bankSet) {
	var seen bankSet
	for depth := len(sets); depth > 0; depth-- {
		for step := range banks {
			number := (step + f.offset) % len(banks)
			if f.foundByLength[depth] >= f.limit {
				break
			}
			if sets[depth-1].has(number) && !seen.has(number) {
				seen = seen.with(number)
				f.searchBank(banks[number])
			}
		}
	}
}

// searchBank takes the runs of one bank.
func (f *limitedSearch) searchBank(b *bank) {
	if b.entries == 0 {
		return
	}
	unbroken := b.live
	for depth, hash := range f.hashes {
		holding := unbroken & b.holders(hash)
		f.appendMatches(b, unbroken&^holding, depth)
		unbroken = holding
		if unbroken == 0 {
			return
		}
	}
	f.appendMatches(b, unbroken, len(f.hashes))
}

// appendMatches takes the runs of a mask until there are enough of their length.
func (f *limitedSearch) appendMatches(b *bank, mask uint64, blocks int) {
	if blocks == 0 {
		return
	}
	first := f.offset % slotsPerBank
	rotated := bits.RotateLeft64(mask, -first)
	for ; rotated != 0 && f.foundByLength[blocks] < f.limit; rotated &= rotated - 1 {
		run := b.runs[(bits.TrailingZeros64(rotated)+first)%slotsPerBank]
		f.matches = append(f.matches, Match{Run: run, Blocks: blocks})
		f.foundByLength[blocks]++
	}
}
