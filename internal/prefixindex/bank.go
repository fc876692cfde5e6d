package prefixindex

import (
	"math/bits"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Slot is a small dense number that identifies an engine run within its bank. A new incarnation
// gets a new slot, so removing a run takes constant time.
type Slot uint16

const (
	// slotsPerBank is the number of bits in an entry's mask.
	slotsPerBank = 64
	// segmentBits and segmentCount split a bank, to keep the growth or sweep of a table short
	// enough not to delay a decision.
	segmentBits  = 10
	segmentCount = 1 << segmentBits
	// sweptPerChange is the number of entries swept per changed block while removed runs are being
	// reclaimed.
	sweptPerChange = 4
	// lookupBatch is the number of blocks of a prompt that are read together.
	lookupBatch = 64
)

// bank holds the blocks of up to 64 runs.
type bank struct {
	// number is the bank's position in the index.
	number   int
	segments [segmentCount]segment
	entries  int
	runs     [slotsPerBank]fleet.EngineRun
	counts   [slotsPerBank]int
	// Each slot is free or in exactly one of these sets: live slots match lookups, hidden slots
	// belong to a Replacement, dead slots are to be swept.
	live   uint64
	hidden uint64
	dead   uint64

	// sweeping is the set of dead slots that the current sweep clears, nextSegment the segment to
	// sweep next, sweepBudget the number of entries that it may visit.
	sweeping    uint64
	nextSegment int
	sweepBudget int
}

func newBank(number int) *bank { return &bank{number: number} }

func bit(slot Slot) uint64 { return 1 << slot }

// allocate assigns a free slot to a run, if there is one.
func (b *bank) allocate(run fleet.EngineRun) (Slot, bool) {
	free := ^(b.live | b.hidden | b.dead)
	if free == 0 {
		return 0, false
	}
	slot := Slot(bits.TrailingZeros64(free))
	b.live |= bit(slot)
	b.runs[slot] = run
	b.counts[slot] = 0
	return slot, true
}

// retire marks a slot's entries as invalid.
func (b *bank) retire(slot Slot) {
	b.live &^= bit(slot)
	b.hidden &^= bit(slot)
	b.dead |= bit(slot)
	b.runs[slot] = fleet.EngineRun{}
	b.counts[slot] = 0
}

// add records a holder and reports whether it created a new entry.
func (b *bank) add(hash fleet.BlockHash, slot Slot) bool {
	mixed := mix(hash)
	segment := b.segmentOf(mixed)
	position, found := segment.find(hash, mixed)
	if !found {
		segment.insert(hash, mixed, bit(slot))
		b.entries++
		b.counts[slot]++
		return true
	}
	holders := &segment.table[position].holders
	if *holders&bit(slot) == 0 {
		*holders |= bit(slot)
		b.counts[slot]++
	}
	return false
}

// remove removes a holder, and the entry with its last holder.
func (b *bank) remove(hash fleet.BlockHash, slot Slot) {
	mixed := mix(hash)
	segment := b.segmentOf(mixed)
	position, found := segment.find(hash, mixed)
	if !found || segment.table[position].holders&bit(slot) == 0 {
		return
	}
	b.counts[slot]--
	remaining := segment.table[position].holders &^ bit(slot) &^ b.dead
	if remaining == 0 {
		segment.delete(position)
		b.entries--
		return
	}
	segment.table[position].holders = remaining
}

// holders returns the live holders of a block.
func (b *bank) holders(hash fleet.BlockHash) uint64 {
	mixed := mix(hash)
	return b.segmentOf(mixed).holders(hash, mixed) & b.live
}

// lookup appends the runs that hold a prefix. It stops at the first block that no run with an
// unbroken prefix holds.
func (b *bank) lookup(hashes []fleet.BlockHash, matches []Match) []Match {
	unbroken := b.live
	var holders [lookupBatch]uint64
	for depth := 0; depth < len(hashes); {
		chunk := hashes[depth:min(depth+lookupBatch, len(hashes))]
		b.holdersOfAll(chunk, &holders)
		for position := range chunk {
			holding := unbroken & holders[position]
			if holding != unbroken {
				matches = b.appendMatches(unbroken&^holding, depth+position, matches)
				unbroken = holding
			}
			if unbroken == 0 {
				return matches
			}
		}
		depth += len(chunk)
	}
	return b.appendMatches(unbroken, len(hashes), matches)
}

// holdersOfAll finds the holders of up to lookupBatch blocks, including dead slots. It computes all
// home buckets and reads one word of each before it compares any entry, so that the processor
// overlaps the cache misses.
func (b *bank) holdersOfAll(hashes []fleet.BlockHash, holders *[lookupBatch]uint64) {
	var homes [lookupBatch]*bucket
	for position, hash := range hashes {
		mixed := mix(hash)
		homes[position] = b.segmentOf(mixed).homeBucket(mixed)
	}
	touched := uint64(0)
	for position := range hashes {
		touched |= homes[position][0].holders
	}
	if touched == 0 {
		// A block whose home position is empty has no entry.
		clear(holders[:])
		return
	}
	for position, hash := range hashes {
		holders[position] = homes[position].holders(hash)
		if holders[position] == 0 {
			mixed := mix(hash)
			holders[position] = b.segmentOf(mixed).holders(hash, mixed)
		}
	}
}

func (b *bank) appendMatches(mask uint64, blocks int, matches []Match) []Match {
	if blocks == 0 {
		return matches
	}
	for ; mask != 0; mask &= mask - 1 {
		run := b.runs[bits.TrailingZeros64(mask)]
		matches = append(matches, Match{Run: run, Blocks: blocks})
	}
	return matches
}

// usedSlots is the set of slots with valid entries.
func (b *bank) usedSlots() uint64 { return b.live | b.hidden }

func (b *bank) bytes() int {
	total := bankBytes
	for position := range b.segments {
		total += b.segments[position].bytes()
	}
	return total
}

func (b *bank) segmentOf(mixed uint64) *segment {
	return &b.segments[mixed%segmentCount]
}
