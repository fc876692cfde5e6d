package enginemodel

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// block is a cached block. Unpinned blocks form a doubly linked list in order of last use; the
// links are positions in the slab.
type block struct {
	hash           fleet.BlockHash
	references     int32
	scope          int32
	previous, next int32
	idleSince      time.Duration
}

// sentinel is the slab position of the list head of unpinned blocks. Its next block is the least
// recently used one.
const sentinel = 0

// blockStore is the KV cache of the engine.
type blockStore struct {
	index    map[fleet.BlockHash]int32
	slab     []block
	free     []int32
	capacity int
	// pinned counts the blocks in use by running streams, reserved those promised to them but not
	// stored yet.
	pinned   int
	reserved int
	// scheduled counts, for each block not stored yet, the accepted streams that will compute it.
	scheduled map[fleet.BlockHash]int32
	evicted   int
	events    *eventLog
	// everStored records every block that was ever stored, unless it is nil.
	everStored map[fleet.BlockHash]struct{}
}

func newBlockStore(capacity int, events *eventLog) *blockStore {
	return &blockStore{
		index:     make(map[fleet.BlockHash]int32),
		scheduled: make(map[fleet.BlockHash]int32),
		slab:      make([]block, 1),
		capacity:  capacity,
		events:    events,
	}
}

// prefix returns how many leading hashes are cached and how many of those are unpinned.
func (s *blockStore) prefix(hashes []fleet.BlockHash) (cached, unpinned int) {
	for _, hash := range hashes {
		position, found := s.index[hash]
		if !found {
			return cached, unpinned
		}
		cached++
		if s.slab[position].references == 0 {
			unpinned++
		}
	}
	return cached, unpinned
}

// expected returns how many leading hashes are cached or scheduled.
func (s *blockStore) expected(hashes []fleet.BlockHash) int {
	for position, hash := range hashes {
		if _, found := s.index[hash]; !found && s.scheduled[hash] == 0 {
			return position
		}
	}
	return len(hashes)
}

func (s *blockStore) addScheduled(hashes []fleet.BlockHash) {
	for _, hash := range hashes {
		s.scheduled[hash]++
	}
}

func (s *blockStore) removeScheduled(hashes []fleet.BlockHash) {
	for _, hash := range hashes {
		s.scheduled[hash]--
		if s.scheduled[hash] == 0 {
			delete(s.scheduled, hash)
		}
	}
}

// available returns how many more blocks can be pinned or reserved.
func (s *blockStore) available() int {
	return s.capacity - s.pinned - s.reserved
}

// reserve reserves count blocks, which must be available, and evicts until they fit.
func (s *blockStore) reserve(count int) {
	s.reserved += count
	s.evictToFit()
}

// evictToFit evicts unpinned blocks until the reserved blocks fit into the capacity.
func (s *blockStore) evictToFit() {
	for len(s.index)+s.reserved > s.capacity && s.slab[sentinel].next != sentinel {
		s.evict(s.slab[sentinel].next)
	}
}

// pin adds a reference to a cached block.
func (s *blockStore) pin(hash fleet.BlockHash) {
	position := s.index[hash]
	entry := &s.slab[position]
	if entry.references == 0 {
		s.unlink(position)
		s.pinned++
	}
	entry.references++
}

// unpin drops a reference to a block. A block without references becomes the most recently used
// idle block.
func (s *blockStore) unpin(hash fleet.BlockHash, now time.Duration) {
	position := s.index[hash]
	entry := &s.slab[position]
	entry.references--
	if entry.references > 0 {
		return
	}
	s.pinned--
	entry.idleSince = now
	s.link(position)
}

// storeReserved stores and pins a block for which memory is reserved.
func (s *blockStore) storeReserved(hash fleet.BlockHash, scope int32) {
	s.reserved--
	if _, found := s.index[hash]; !found {
		s.insert(hash, scope)
		s.link(s.index[hash])
	}
	s.pin(hash)
}

// storeIdle stores the blocks of a prefix that no stream uses, as many as fit beside the pinned and
// reserved ones, and returns how many. The last block is stored first, so that the beginning of the
// prefix is the most recently used part.
func (s *blockStore) storeIdle(hashes []fleet.BlockHash, scope int32, now time.Duration) int {
	count := max(min(len(hashes), s.available()), 0)
	for i := count - 1; i >= 0; i-- {
		position, found := s.index[hashes[i]]
		switch {
		case !found:
			position = s.insert(hashes[i], scope)
		case s.slab[position].references > 0:
			continue
		default:
			s.unlink(position)
		}
		s.slab[position].idleSince = now
		s.link(position)
		s.evictToFit()
	}
	return count
}

// expire evicts unpinned blocks that became idle at or before the given time.
func (s *blockStore) expire(before time.Duration) {
	for {
		oldest := s.slab[sentinel].next
		if oldest == sentinel || s.slab[oldest].idleSince > before {
			return
		}
		s.evict(oldest)
	}
}

func (s *blockStore) insert(hash fleet.BlockHash, scope int32) int32 {
	var position int32
	if last := len(s.free) - 1; last >= 0 {
		position = s.free[last]
		s.free = s.free[:last]
	} else {
		position = int32(len(s.slab))
		s.slab = append(s.slab, block{})
	}
	s.slab[position] = block{hash: hash, scope: scope}
	s.index[hash] = position
	if s.everStored != nil {
		s.everStored[hash] = struct{}{}
	}
	s.events.record(engine.BlockStored, hash)
	return position
}

func (s *blockStore) evict(position int32) {
	hash := s.slab[position].hash
	s.unlink(position)
	delete(s.index, hash)
	s.free = append(s.free, position)
	s.evicted++
	s.events.record(engine.BlockRemoved, hash)
}

// link appends a block to the idle list as the most recently used one.
func (s *blockStore) link(position int32) {
	last := s.slab[sentinel].previous
	s.slab[position].previous = last
	s.slab[position].next = sentinel
	s.slab[last].next = position
	s.slab[sentinel].previous = position
}

func (s *blockStore) unlink(position int32) {
	entry := &s.slab[position]
	s.slab[entry.previous].next = entry.next
	s.slab[entry.next].previous = entry.previous
}

// isInScope reports whether a block is cached and belongs to a scope.
func (s *blockStore) isInScope(hash fleet.BlockHash, scope int32) bool {
	position, found := s.index[hash]
	return found && s.slab[position].scope == scope
}
