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
	// homeWalk bounds the engines that are passed over since they are kept for prompts
	// of the other size: a sixteenth of them is found within it.
	homeWalk = 16 * homeWindow
	// ringSeed makes an engine's place independent of its weight for a prompt.
	ringSeed = 0x5bd1e9955bd1e995
)

// ring holds a service's engines by place, so that nodes agree on the home of a prompt
// without looking at all engines, and keep most homes when an engine comes or goes.
type ring struct {
	seats []seat
	// sides holds the hashes of all engines in order, for the partition by prompt size.
	sides []uint64
}

// seat is one engine's place.
type seat struct {
	place uint64
	known *state
}

func placeOf(hash uint64) uint64 { return membership.RendezvousMix(hash ^ ringSeed) }

func compareSeats(a, b seat) int { return cmp.Compare(a.place, b.place) }

func (g *ring) add(known *state) {
	added := seat{place: placeOf(known.hash), known: known}
	at, _ := slices.BinarySearchFunc(g.seats, added, compareSeats)
	g.seats = slices.Insert(g.seats, at, added)
	at, _ = slices.BinarySearch(g.sides, known.hash)
	g.sides = slices.Insert(g.sides, at, known.hash)
}

func (g *ring) remove(known *state) {
	at, _ := slices.BinarySearchFunc(g.seats, seat{place: placeOf(known.hash)}, compareSeats)
	for at < len(g.seats) && g.seats[at].known != known {
		at++
	}
	g.seats = slices.Delete(g.seats, at, at+1)
	at, _ = slices.BinarySearch(g.sides, known.hash)
	g.sides = slices.Delete(g.sides, at, at+1)
}

// weighed is an engine with its weight for a prompt.
type weighed struct {
	known  *state
	weight uint64
}

// window appends to into[:0] the engines from the place of a prompt on that are kept for
// its size, at most homeWindow.
func (g *ring) window(key uint64, kept func(*state) bool, into []weighed) []weighed {
	into = into[:0]
	start, _ := slices.BinarySearchFunc(g.seats, seat{place: placeOf(key)}, compareSeats)
	for step := range min(len(g.seats), homeWalk) {
		known := g.seats[(start+step)%len(g.seats)].known
		if kept(known) {
			continue
		}
		into = append(into, weighed{known: known, weight: membership.RendezvousMix(key ^ known.hash)})
		if len(into) == homeWindow {
			break
		}
	}
	return into
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }
