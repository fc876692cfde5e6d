package overload

import (
	"math"
	"time"
)

const (
	// tolerableLate is the fraction of the requests of a priority that may be late before less urgent
	// ones yield. Callers bear one late request in twenty; the requests that are at engines by the time
	// the others yield become late as well.
	tolerableLate = 0.025
	// latenessWeight is the weight of one request in the fraction, which is that of some 25 requests
	// then. latenessHalfLife is the time in which the fraction halves without requests, so that nobody
	// yields for long to requests that no longer come.
	latenessWeight   = 0.04
	latenessHalfLife = time.Second
)

// lateness tracks by priority the fraction of recent requests that were late or refused.
type lateness [PriorityCount]struct {
	fraction  float64
	updatedAt time.Duration
}

// at returns the fraction of a priority.
func (l *lateness) at(now time.Duration, priority int) float64 {
	entry := &l[priority]
	return entry.fraction * halvings(now-entry.updatedAt, latenessHalfLife)
}

// record adds a request.
func (l *lateness) record(now time.Duration, priority int, late bool) {
	fraction := l.at(now, priority) * (1 - latenessWeight)
	if late {
		fraction += latenessWeight
	}
	l[priority].fraction, l[priority].updatedAt = fraction, now
}

// yieldFor returns for how long requests of a priority yield because too many more urgent ones are
// late, if no more of them are; 0 if not too many are.
func (l *lateness) yieldFor(now time.Duration, priority int) time.Duration {
	highest := 0.0
	for urgent := range priority {
		highest = max(highest, l.at(now, urgent))
	}
	return timeToDecay(highest, tolerableLate, latenessHalfLife)
}

// timeToDecay returns the time in which a value decays to a bound; 0 if it is below it.
func timeToDecay(value, bound float64, halfLife time.Duration) time.Duration {
	if value <= bound {
		return 0
	}
	return scale(halfLife, math.Log2(value/bound))
}

// halvings returns the factor by which a value has decayed.
func halvings(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
