package backends

import "math/rand/v2"

// strides are primes greater than any fleet; a step by one of them visits each of a list's
// workers once, in an order that differs from choice to choice.
var strides = [...]int{1_000_003, 1_299_709, 2_750_159, 4_256_233, 6_700_417, 7_368_787, 15_485_863, 32_452_843}

// draw takes workers of a list one after the other, the least loaded first and in random
// order among those of a level. The list must not change meanwhile.
type draw struct {
	list   *levelled
	random *rand.Rand
	// unseen is the number of workers left, left that of the level; next and stride say
	// which of the level follows.
	unseen int
	level  int
	left   int
	next   int
	stride int
}

// take returns the next worker, or nil after the last.
func (d *draw) take() *state {
	if d.unseen == 0 {
		return nil
	}
	for d.left == 0 {
		d.level++
		d.begin(len(d.list.members[d.level]))
	}
	members := d.list.members[d.level]
	d.unseen--
	d.left--
	taken := members[d.next]
	d.next = (d.next + d.stride) % len(members)
	return taken
}

// begin starts a level of so many workers anywhere in it.
func (d *draw) begin(count int) {
	d.left = count
	if count > 0 {
		d.next, d.stride = d.random.IntN(count), strides[d.random.IntN(len(strides))]%count
	}
}

// lookAtDrawn looks at workers drawn from each distance, near first; what a distance
// lacks is drawn from the next.
func (s *search) lookAtDrawn() {
	wanted := 0
	for tier, most := range drawn {
		wanted += most
		wanted -= s.lookAtSome(&s.draws[tier], wanted, wanted*drawnTries)
	}
	for tier := range drawn {
		wanted -= s.lookAtSome(&s.draws[tier], wanted, wanted*drawnTries)
	}
}

// lookAtSome draws up to tries workers until as many as wanted fit, and returns how many
// do.
func (s *search) lookAtSome(from *draw, wanted, tries int) (fitting int) {
	for range tries {
		if fitting >= wanted {
			break
		}
		known := from.take()
		if known == nil {
			break
		}
		if known.seenBy != s.number && s.look(known) == fit {
			fitting++
		}
	}
	return fitting
}

// fitsEnough is the number of workers after which a search through all ends.
const fitsEnough = 4

// lookUntilFit looks at the workers that are left until some fit: only a look at all of
// them shows that there is none.
func (s *search) lookUntilFit() {
	wanted := fitsEnough
	for tier := range drawn {
		wanted -= s.lookAtSome(&s.draws[tier], wanted, s.draws[tier].unseen)
	}
}

// lookAtRest looks at all listed workers that are left.
func (s *search) lookAtRest() {
	for tier := range drawn {
		s.lookAll(tier)
	}
}

// lookAll looks at all workers of a tier that are left.
func (s *search) lookAll(tier int) {
	for known := s.draws[tier].take(); known != nil; known = s.draws[tier].take() {
		s.look(known)
	}
}
