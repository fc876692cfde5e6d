package prefixindex

import (
	"math/bits"
	"unsafe"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const (
	entryBytes = int(unsafe.Sizeof(entry{}))
	bankBytes  = int(unsafe.Sizeof(bank{}))

	// A table grows when its load exceeds maxLoadNumerator/maxLoadDenominator.
	maxLoadNumerator   = 4
	maxLoadDenominator = 5
	// bucketEntries is the number of entries in a cache line of 64 bytes. Capacities are multiples
	// of it.
	bucketEntries = 4
	// minCapacity is the first capacity of a segment.
	minCapacity = 8
	// pageEntries is the number of entries in an 8 KiB page, to which the allocator rounds large
	// tables up.
	pageEntries = 512
	// growthDivisor sets the growth of a table to an eighth.
	growthDivisor = 8
)

// entry is one block; an entry without holders is empty.
type entry struct {
	hash    fleet.BlockHash
	holders uint64
}

// holdersIf returns the holders if the entry is for the given block, else 0.
func (e *entry) holdersIf(hash fleet.BlockHash) uint64 {
	holders := e.holders
	if e.hash != hash {
		holders = 0
	}
	return holders
}

// bucket is an aligned group of entries.
type bucket [bucketEntries]entry

// emptyBucket represents any bucket of a segment without entries.
var emptyBucket bucket

// holders returns the holders of a block if its entry is in the bucket, else 0. It avoids branches,
// because which entry matches is unpredictable.
func (b *bucket) holders(hash fleet.BlockHash) uint64 {
	return b[0].holdersIf(hash) |
		b[1].holdersIf(hash) |
		b[2].holdersIf(hash) |
		b[3].holdersIf(hash)
}

// segment is an open-addressing table with linear probing from the first entry of a bucket, and
// deletion by backward shift (Knuth, The Art of Computer Programming, 6.4, algorithm R), which
// avoids tombstones.
type segment struct {
	table []entry
	used  int
}

// mix spreads a hash over all bits, because an engine's block hashes may not be uniform. It is a
// finalizer like that of MurmurHash3.
func mix(hash fleet.BlockHash) uint64 {
	mixed := uint64(hash)
	mixed ^= mixed >> 32
	mixed *= 0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	mixed *= 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 32
	return mixed
}

// home maps the upper bits of a mixed hash to the first position of a bucket without a division.
func (s *segment) home(mixed uint64) int {
	bucket, _ := bits.Mul64(mixed, uint64(len(s.table)/bucketEntries))
	return int(bucket) * bucketEntries
}

func (s *segment) next(position int) int {
	position++
	if position == len(s.table) {
		return 0
	}
	return position
}

// find returns the position of a block's entry.
func (s *segment) find(hash fleet.BlockHash, mixed uint64) (int, bool) {
	if s.used == 0 {
		return 0, false
	}
	position := s.home(mixed)
	for s.table[position].holders != 0 {
		if s.table[position].hash == hash {
			return position, true
		}
		position = s.next(position)
	}
	return 0, false
}

// homeBucket returns the home bucket of a mixed hash.
func (s *segment) homeBucket(mixed uint64) *bucket {
	if s.used == 0 {
		return &emptyBucket
	}
	home := s.home(mixed)
	return (*bucket)(s.table[home : home+bucketEntries])
}

// holders returns the holders of a block, 0 if it has no entry.
func (s *segment) holders(hash fleet.BlockHash, mixed uint64) uint64 {
	position, found := s.find(hash, mixed)
	if !found {
		return 0
	}
	return s.table[position].holders
}

// insert adds an entry for a block that has none.
func (s *segment) insert(hash fleet.BlockHash, mixed, holders uint64) {
	if (s.used+1)*maxLoadDenominator > len(s.table)*maxLoadNumerator {
		s.grow()
	}
	s.place(entry{hash: hash, holders: holders}, mixed)
	s.used++
}

func (s *segment) place(placed entry, mixed uint64) {
	position := s.home(mixed)
	for s.table[position].holders != 0 {
		position = s.next(position)
	}
	s.table[position] = placed
}

// delete empties a position and moves later entries of the same probe sequence back.
func (s *segment) delete(hole int) {
	s.used--
	position := hole
	for {
		position = s.next(position)
		candidate := s.table[position]
		if candidate.holders == 0 {
			break
		}
		if s.distance(s.home(mix(candidate.hash)), position) >= s.distance(hole, position) {
			s.table[hole] = candidate
			hole = position
		}
	}
	s.table[hole] = entry{}
}

// distance returns the number of steps from one position to another.
func (s *segment) distance(from, to int) int {
	if to >= from {
		return to - from
	}
	return to + len(s.table) - from
}

func (s *segment) grow() { s.resize(grownCapacity(len(s.table))) }

func grownCapacity(capacity int) int {
	if capacity < minCapacity {
		return minCapacity
	}
	grown := capacity + max(capacity/growthDivisor, minCapacity)
	if grown <= 4*pageEntries {
		return roundUp(grown, bucketEntries)
	}
	return roundUp(grown, pageEntries)
}

func roundUp(value, multiple int) int {
	return (value + multiple - 1) / multiple * multiple
}

func (s *segment) resize(capacity int) {
	old := s.table
	s.table = make([]entry, capacity)
	for _, moved := range old {
		if moved.holders != 0 {
			s.place(moved, mix(moved.hash))
		}
	}
}

func (s *segment) bytes() int { return len(s.table) * entryBytes }
