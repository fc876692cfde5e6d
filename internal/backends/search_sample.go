package backends

import "math/rand/v2"

// strides are primes greater than any fleet size. Stepping by one of them visits every worker of a
// list once, in an order that varies from choice to choice.
var strides = [...]int{1_000_003, 1_299_709, 2_750_159, 4_256_233, 6_700_417, 7_368_787, 15_485_863, 32_452_843}

// sampler draws workers from a list without replacement: by increasing load level, and in random
// order within a level. The list must not change while it is sampled.
type sampler struct {
	list   *loadLevels
	random *rand.Rand
	// remaining is the number of workers left in the list, and levelRemaining in the current level.
	// next and stride determine the next worker of the level.
	remaining      int
	level          int
	levelRemaining int
	next           int
	stride         int
}

// take returns the next worker, or nil if none is left.
func (s *sampler) take() *workerState {
	if s.remaining == 0 {
		return nil
	}
	for s.levelRemaining == 0 {
		s.level++
		s.startLevel(len(s.list.members[s.level]))
	}
	members := s.list.members[s.level]
	s.remaining--
	s.levelRemaining--
	next := members[s.next]
	s.next = (s.next + s.stride) % len(members)
	return next
}

// startLevel starts a level with the given number of workers at a random position.
func (s *sampler) startLevel(count int) {
	s.levelRemaining = count
	if count > 0 {
		s.next, s.stride = s.random.IntN(count), strides[s.random.IntN(len(strides))]%count
	}
}

// examineSample examines a sample of workers from each distance, nearest first. If a distance
// yields too few eligible workers, more are taken from the next one.
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

// examineUntil draws up to attempts workers until the wanted number is eligible, and returns the
// number of eligible ones.
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

// minEligible is the number of eligible workers that ends a full scan.
const minEligible = 4

// scanUntilEligible examines the remaining workers until some are eligible. Only a full scan proves
// that there is none.
func (s *search) scanUntilEligible() {
	wanted := minEligible
	for tier := range sampleSizes {
		wanted -= s.examineUntil(&s.samplers[tier], wanted, s.samplers[tier].remaining)
	}
}

// scanListed examines all remaining listed workers.
func (s *search) scanListed() {
	for tier := range sampleSizes {
		s.scanTier(tier)
	}
}

// scanTier examines all remaining workers of a tier.
func (s *search) scanTier(tier int) {
	for state := s.samplers[tier].take(); state != nil; state = s.samplers[tier].take() {
		s.examine(state)
	}
}
