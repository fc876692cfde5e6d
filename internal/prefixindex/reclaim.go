package prefixindex

import (
	"math/bits"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// evictionSample is how many entries are compared when one must be dropped.
const evictionSample = 8

// reclaimIncrementally goes on with the sweep of dead slots in proportion to the number
// of changed blocks.
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

// sweepSegment sweeps one segment. A sweep clears the slots that were dead when
// it began; it frees them when it has come round.
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

// sweep takes slots out of every entry and returns how many entries went with
// their last holder. A deletion moves a later entry into the same position,
// which is then looked at again.
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

// evictionCandidate is an entry that may be dropped.
type evictionCandidate struct {
	segment  *segment
	position int
	holders  int
}

// evict removes the entry with the fewest holders among a few neighbours
// of keep's position: block hashes are random, so neighbours are a sample, and
// a block that many runs hold is likelier to be asked for again.
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

// decrementCounts lowers the counts of the holders of a dropped entry.
func (b *bank) decrementCounts(holders uint64) {
	for ; holders != 0; holders &= holders - 1 {
		b.counts[bits.TrailingZeros64(holders)]--
	}
}

// sampleCandidates looks at up to wanted entries from the home position of keep on, never
// at keep's own, updates best and returns how many it has seen.
func (s *segment) sampleCandidates(keep fleet.BlockHash, kept uint64, wanted int, best *evictionCandidate) int {
	sampled := 0
	position := s.home(mix(keep))
	for range s.table {
		seen := s.table[position]
		if seen.holders != 0 && seen.hash != keep {
			sampled++
			holders := bits.OnesCount64(seen.holders & kept)
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
