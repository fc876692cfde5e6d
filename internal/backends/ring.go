package backends

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tillerfall/tillerfall/internal/membership"
)

const (
	// homeWindow is the number of engines among which a prompt's home is chosen. Fleets
	// up to this size choose among all; in larger ones an engine is the home of a share
	// of the prompts that varies by an eighth of the mean.
	homeWindow = 64
	// maxWindowSteps bounds the engines that are passed over since they are kept for prompts
	// of the other size: a sixteenth of them is found within it.
	maxWindowSteps = 16 * homeWindow
	// ringSeed makes an engine's place independent of its weight for a prompt.
	ringSeed = 0x5bd1e9955bd1e995
)

// ring holds a service's engines by place, so that nodes agree on the home of a prompt
// without looking at all engines, and keep most homes when an engine comes or goes.
type ring struct {
	entries []ringEntry
	// hashes holds the hashes of all engines in order, for the partition by prompt size.
	hashes []uint64
}

// ringEntry is one engine's place.
type ringEntry struct {
	position uint64
	state    *workerState
}

func ringPosition(hash uint64) uint64 { return membership.RendezvousMix(hash ^ ringSeed) }

func compareEntries(a, b ringEntry) int { return cmp.Compare(a.position, b.position) }

func (g *ring) add(state *workerState) {
	added := ringEntry{position: ringPosition(state.hash), state: state}
	at, _ := slices.BinarySearchFunc(g.entries, added, compareEntries)
	g.entries = slices.Insert(g.entries, at, added)
	at, _ = slices.BinarySearch(g.hashes, state.hash)
	g.hashes = slices.Insert(g.hashes, at, state.hash)
}

func (g *ring) remove(state *workerState) {
	at, _ := slices.BinarySearchFunc(g.entries, ringEntry{position: ringPosition(state.hash)}, compareEntries)
	for at < len(g.entries) && g.entries[at].state != state {
		at++
	}
	g.entries = slices.Delete(g.entries, at, at+1)
	at, _ = slices.BinarySearch(g.hashes, state.hash)
	g.hashes = slices.Delete(g.hashes, at, at+1)
}

// weightedEngine is an engine with its weight for a prompt.
type weightedEngine struct {
	state  *workerState
	weight uint64
}

// window appends to into[:0] the engines from the place of a prompt on that are kept for
// its size, at most homeWindow.
func (g *ring) window(key uint64, isReserved func(*workerState) bool, into []weightedEngine) []weightedEngine {
	into = into[:0]
	start, _ := slices.BinarySearchFunc(g.entries, ringEntry{position: ringPosition(key)}, compareEntries)
	for step := range min(len(g.entries), maxWindowSteps) {
		state := g.entries[(start+step)%len(g.entries)].state
		if isReserved(state) {
			continue
		}
		into = append(into, weightedEngine{state: state, weight: membership.RendezvousMix(key ^ state.hash)})
		if len(into) == homeWindow {
			break
		}
	}
	return into
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
