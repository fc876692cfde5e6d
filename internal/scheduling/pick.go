package scheduling

import (
	"math/rand/v2"
	"time"
)

// pick returns the cheapest candidate among those that wait for at most MaxWait and are predicted to
// meet the deadline, and breaks near-ties by load, then at random. If there is none, pick returns the
// one with the earliest first token among those within MaxWait, or among all if none is, and true.
// candidates must not be empty and may be reordered.
func (s *Scheduler) pick(request *Request, endpoints []Endpoint, candidates []scoredEndpoint, random *rand.Rand) (scoredEndpoint, bool) {
	within := waitingAtMost(request.MaxWait, candidates)
	if len(within) == 0 {
		return earliest(candidates), true
	}
	candidates = within
	inTime := meetingDeadline(request.Deadline, candidates)
	if len(inTime) == 0 {
		return earliest(candidates), true
	}
	tieFraction := max(s.options.TieFraction, request.MinTieFraction)
	return breakTies(endpoints, inTime, tieFraction, random), false
}

// meetingDeadline moves the candidates that meet the deadline to the front and returns them.
func meetingDeadline(deadline time.Duration, candidates []scoredEndpoint) []scoredEndpoint {
	if deadline <= 0 {
		return candidates
	}
	return moveToFront(candidates, func(scores *Scores) bool { return scores.EarliestFirstToken() <= deadline })
}

// waitingAtMost does the same with those that wait for at most maxWait; 0 means any time.
func waitingAtMost(maxWait time.Duration, candidates []scoredEndpoint) []scoredEndpoint {
	if maxWait <= 0 {
		return candidates
	}
	return moveToFront(candidates, func(scores *Scores) bool { return scores.WaitTime() <= maxWait })
}

func moveToFront(candidates []scoredEndpoint, isKept func(*Scores) bool) []scoredEndpoint {
	kept := candidates[:0:len(candidates)]
	for position := range candidates {
		if isKept(&candidates[position].scores) {
			candidates[len(kept)], candidates[position] = candidates[position], candidates[len(kept)]
			kept = candidates[:len(kept)+1]
		}
	}
	return kept
}

func earliest(candidates []scoredEndpoint) scoredEndpoint {
	best := candidates[0]
	for _, candidate := range candidates[1:] {
		if candidate.scores.EarliestFirstToken() < best.scores.EarliestFirstToken() {
			best = candidate
		}
	}
	return best
}

// breakTies chooses among the candidates within tieFraction of the cheapest: those with the fewest
// streams in flight, then one at random. Reservoir sampling avoids an allocation.
func breakTies(endpoints []Endpoint, candidates []scoredEndpoint, tieFraction float64, random *rand.Rand) scoredEndpoint {
	limit := tieLimit(candidates, tieFraction)
	var best scoredEndpoint
	equal := 0
	for _, candidate := range candidates {
		if candidate.scores.Cost() > limit {
			continue
		}
		inFlight := endpoints[candidate.index].InFlight
		switch {
		case equal == 0 || inFlight < endpoints[best.index].InFlight:
			best, equal = candidate, 1
		case inFlight == endpoints[best.index].InFlight:
			equal++
			if random.IntN(equal) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// tieLimit returns the highest cost that still counts as equal to the lowest.
func tieLimit(candidates []scoredEndpoint, tieFraction float64) time.Duration {
	lowest := candidates[0].scores.Cost()
	for _, candidate := range candidates[1:] {
		lowest = min(lowest, candidate.scores.Cost())
	}
	return lowest + time.Duration(float64(lowest)*tieFraction)
}
