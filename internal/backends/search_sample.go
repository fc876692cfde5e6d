package backends

import "math/rand/v2"

// strides are primes greater than any fleet; a step by one of them visits each of a list's
// workers once, in an order that differs from choice to choice.
var strides = [...]int{1_000_003, 1_299_709, 2_750_159, 4_256_233, 6_700_417, 7_368_787, 15_485_863, 32_452_843}

// sampler takes workers of a list one after the other, the least loaded first and in random
// order among those of a level. The list must not change meanwhile.
type sampler struct {
	list   *loadLevels
	random *rand.Rand
	// remaining is the number of workers left, left that of the level; next and stride say
	// which of the level follows.
	remaining      int
	level          int
	levelRemaining int
	next           int
	stride         int
}

// take returns the next worker, or nil after the last.
func (d *sampler) take() *workerState {
	if d.remaining == 0 {
		return nil
	}
	for d.levelRemaining == 0 {
		d.level++
		d.startLevel(len(d.list.members[d.level]))
	}
	members := d.list.members[d.level]
	d.remaining--
	d.levelRemaining--
	next := members[d.next]
	d.next = (d.next + d.stride) % len(members)
	return next
}

// startLevel starts a level of so many workers anywhere in it.
func (d *sampler) startLevel(count int) {
	d.levelRemaining = count
	if count > 0 {
		d.next, d.stride = d.random.IntN(count), strides[d.random.IntN(len(strides))]%count
	}
}

// examineSample looks at workers drawn from each distance, near first; what a distance
// lacks is drawn from the next.
func (s *search) examineSample() {
	wanted := 0
	for tier, limit := range sampleSizes {
		wanted += limit
		wanted -= s.examineUntil(&s.samplers[tier], wanted, wanted*sampleAttempts)
	}
	for tier := range sampleSizes {
		wanted -= s.examineUntil(&s.samplers[tier], wanted, wanted*sampleAttempts)
	}
}

// examineUntil draws up to tries workers until as many as wanted fit, and returns how many
// do.
func (s *search) examineUntil(from *sampler, wanted, attempts int) (eligible int) {
	for range attempts {
		if eligible >= wanted {
			break
		}
		state := from.take()
		if state == nil {
			break
		}
		if state.lastSearch != s.id && s.examine(state) == verdictEligible {
			eligible++
		}
	}
	return eligible
}

// minEligible is the number of workers after which a search through all ends.
const minEligible = 4

// scanUntilEligible looks at the workers that are left until some fit: only a look at all of
// them shows that there is none.
func (s *search) scanUntilEligible() {
	wanted := minEligible
	for tier := range sampleSizes {
		wanted -= s.examineUntil(&s.samplers[tier], wanted, s.samplers[tier].remaining)
	}
}

// scanListed looks at all listed workers that are left.
func (s *search) scanListed() {
	for tier := range sampleSizes {
		s.scanTier(tier)
	}
}

// scanTier looks at all workers of a tier that are left.
func (s *search) scanTier(tier int) {
	for state := s.samplers[tier].take(); state != nil; state = s.samplers[tier].take() {
		s.examine(state)
	}
}
