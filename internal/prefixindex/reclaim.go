package prefixindex

import (
	"math/bits"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// evictionSample is the number of entries compared to select one for eviction.
const evictionSample = 8

// reclaimIncrementally continues the sweep of dead slots in proportion to the number of changed
// blocks.
func (b *bank) reclaimIncrementally(changes int) {
	if b.dead == 0 {
		return
	}
	b.sweepBudget += changes * sweptPerChange
	for b.dead != 0 && b.sweepBudget >= len(b.segments[b.nextSegment].table) {
		b.sweepSegment()
	}
}

// reclaimAll frees every dead slot.
func (b *bank) reclaimAll() {
	b.sweeping = 0
	b.nextSegment = 0
	for b.dead != 0 {
		b.sweepSegment()
	}
}

// sweepSegment sweeps the next segment. A sweep clears the slots that were dead when it started,
// and frees them when it has visited every segment.
func (b *bank) sweepSegment() {
	if b.nextSegment == 0 {
		b.sweeping = b.dead
	}
	swept := &b.segments[b.nextSegment]
	b.sweepBudget = max(b.sweepBudget-max(len(swept.table), 1), 0)
	b.entries -= swept.sweep(b.sweeping)
	b.nextSegment++
	if b.nextSegment < segmentCount {
		return
	}
	b.nextSegment = 0
	b.dead &^= b.sweeping
	b.sweeping = 0
	if b.dead == 0 {
		b.sweepBudget = 0
	}
}

// sweep removes slots from every entry and returns how many entries lost their last holder. A
// deletion may move a later entry into the same position, so sweep checks that position again.
func (s *segment) sweep(dead uint64) int {
	removed := 0
	for position := 0; position < len(s.table); {
		holders := &s.table[position].holders
		if *holders == 0 || *holders&dead == 0 {
			position++
			continue
		}
		*holders &^= dead
		if *holders != 0 {
			position++
			continue
		}
		s.delete(position)
		removed++
	}
	return removed
}

// evictionCandidate is an entry that may be evicted.
type evictionCandidate struct {
	segment  *segment
	position int
	holders  int
}

// evict removes the entry with the fewest holders among a few neighbours of keep's position. Block
// hashes are random, so neighbours are a random sample, and blocks with many holders are more
// likely to be requested again.
func (b *bank) evict(keep fleet.BlockHash) bool {
	mixed := mix(keep)
	best := evictionCandidate{holders: slotsPerBank + 1}
	sampled := 0
	for offset := 0; offset < segmentCount && sampled < evictionSample; offset++ {
		segment := &b.segments[(int(mixed%segmentCount)+offset)%segmentCount]
		sampled += segment.sampleCandidates(keep, b.usedSlots(), evictionSample-sampled, &best)
	}
	if best.segment == nil {
		return false
	}
	b.decrementCounts(best.segment.table[best.position].holders & b.usedSlots())
	best.segment.delete(best.position)
	b.entries--
	return true
}

// decrementCounts decrements the counts of the holders of an evicted entry.
func (b *bank) decrementCounts(holders uint64) {
	for ; holders != 0; holders &= holders - 1 {
		b.counts[bits.TrailingZeros64(holders)]--
	}
}

// sampleCandidates visits up to wanted entries from the home position of keep onwards, except
// keep's own. It compares their holders among usedSlots, updates best and returns the number of
// entries visited.
func (s *segment) sampleCandidates(keep fleet.BlockHash, usedSlots uint64, wanted int, best *evictionCandidate) int {
	sampled := 0
	position := s.home(mix(keep))
	for range s.table {
		seen := s.table[position]
		if seen.holders != 0 && seen.hash != keep {
			sampled++
			holders := bits.OnesCount64(seen.holders & usedSlots)
			if holders < best.holders {
				*best = evictionCandidate{segment: s, position: position, holders: holders}
			}
		}
		if sampled == wanted {
			break
		}
		position = s.next(position)
	}
	return sampled
}
