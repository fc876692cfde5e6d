package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// homeWindow is the number of engines among which a prompt's home is chosen by rendezvous
	// hashing. Smaller fleets are considered in full. In larger ones, the share of prompts for
	// which an engine is the home varies by about an eighth of the mean.
	homeWindow = 64
	// maxWindowSteps limits the number of ring entries visited to fill a window, since engines
	// reserved for the other prompt size are skipped.
	maxWindowSteps = 16 * homeWindow
	// ringSeed makes an engine's position independent of its weight for a prompt.
	ringSeed = 0x5bd1e9955bd1e995
)

// ring is a consistent hash ring of a service's engines. Nodes agree on a prompt's home without
// considering all engines, and few homes change when an engine joins or leaves.
type ring struct {
	entries []ringEntry
	// hashes holds the hashes of all engines in order, for the partition by prompt size.
	hashes []uint64
}

// ringEntry is an engine with its position on the ring.
type ringEntry struct {
	position uint64
	state    *workerState
}

func ringPosition(hash uint64) uint64 { return membership.RendezvousMix(hash ^ ringSeed) }

func compareEntries(a, b ringEntry) int { return cmp.Compare(a.position, b.position) }

func (r *ring) add(state *workerState) {
	added := ringEntry{position: ringPosition(state.hash), state: state}
	index, _ := slices.BinarySearchFunc(r.entries, added, compareEntries)
	r.entries = slices.Insert(r.entries, index, added)
	index, _ = slices.BinarySearch(r.hashes, state.hash)
	r.hashes = slices.Insert(r.hashes, index, state.hash)
}

func (r *ring) remove(state *workerState) {
	index, _ := slices.BinarySearchFunc(r.entries, ringEntry{position: ringPosition(state.hash)}, compareEntries)
	for index < len(r.entries) && r.entries[index].state != state {
		index++
	}
	r.entries = slices.Delete(r.entries, index, index+1)
	index, _ = slices.BinarySearch(r.hashes, state.hash)
	r.hashes = slices.Delete(r.hashes, index, index+1)
}

// weightedEngine is an engine with its rendezvous weight for a prompt.
type weightedEngine struct {
	state            *workerState
	rendezvousWeight uint64
}

// window appends to into[:0] up to homeWindow engines that follow the position of a prompt and are
// not reserved for the other size.
func (r *ring) window(key uint64, isReserved func(*workerState) bool, into []weightedEngine) []weightedEngine {
	into = into[:0]
	start, _ := slices.BinarySearchFunc(r.entries, ringEntry{position: ringPosition(key)}, compareEntries)
	for step := range min(len(r.entries), maxWindowSteps) {
		state := r.entries[(start+step)%len(r.entries)].state
		if isReserved(state) {
			continue
		}
		into = append(into, weightedEngine{state: state, rendezvousWeight: membership.RendezvousMix(key ^ state.hash)})
		if len(into) == homeWindow {
			break
		}
	}
	return into
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
