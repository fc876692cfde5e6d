package prefixindex

import (
	"math/bits"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Slot is a small dense number that stands for one engine run in its bank.
// A new incarnation gets a new slot, so that forgetting a dead run is one step.
type Slot uint16

const (
	// slotsPerBank is the number of bits in an entry's mask.
	slotsPerBank = 64
	// segmentBits and segmentCount split a bank, so that growing or sweeping one
	// part takes microseconds and never stalls a decision.
	segmentBits  = 10
	segmentCount = 1 << segmentBits
	// sweptPerChange is how many entries are swept for each changed block while
	// a removed run waits to be reclaimed.
	sweptPerChange = 4
	// lookupBatch is how many blocks of a prompt are read together.
	lookupBatch = 64
)

// bank holds the blocks of up to 64 runs.
type bank struct {
	// number is the bank's place in the index.
	number   int
	segments [segmentCount]segment
	entries  int
	runs     [slotsPerBank]fleet.EngineRun
	counts   [slotsPerBank]int
	// Every slot is free or has its bit in exactly one of these: live slots
	// match, hidden ones belong to a Replacement, dead ones wait for a sweep.
	live   uint64
	hidden uint64
	dead   uint64

	// sweeping is the set of dead slots that the present sweep clears,
	// nextSwept the segment it has come to, sweepCredit the entries it may visit.
	sweeping    uint64
	nextSegment int
	sweepBudget int
}

func newBank(number int) *bank { return &bank{number: number} }

func bit(slot Slot) uint64 { return 1 << slot }

// allocate gives a run a free slot, if there is one.
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

// retire makes a slot's entries void.
func (b *bank) retire(slot Slot) {
	b.live &^= bit(slot)
	b.hidden &^= bit(slot)
	b.dead |= bit(slot)
	b.runs[slot] = fleet.EngineRun{}
	b.counts[slot] = 0
}

// add records a holder and tells whether that took a new entry.
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

// remove takes a holder away, and the entry with the last one.
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

// lookup appends the runs that hold a prefix. It stops at the first block that
// no run with an unbroken prefix holds.
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

// holdersOfAll finds the holders of up to lookAhead blocks, dead slots
// included. It works out all home buckets, reads one word of each, and only
// then compares: in the short loop of reads the processor waits for many cache
// misses at once instead of for one after another.
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
		// A block whose home position is empty has no entry at all.
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

// usedSlots is the set of slots whose entries are of use.
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
