package readmission

import (
	"math"
	"time"
)

// minOwnFraction bounds the number of nodes that newcomers are assumed to come to.
const minOwnFraction = 0.001

// unreportedPeriod is the time of which the other nodes haven't reported their admissions yet, on
// average at most: half the time between two exchanges.
const unreportedPeriod = exchangePeriod / 2

// newcomersPeriod is how long after a newcomer was admitted that counts.
const newcomersPeriod = time.Second

// newcomers estimates what the other nodes have admitted of a tenant's newcomers since they last
// reported: as much as this node, in proportion. Without it, each of many nodes would give the same
// free units to its own newcomers, and callers that return would find none for some time.
type newcomers struct {
	// units is what this node has admitted lately; older admissions count less.
	units float64
	at    time.Duration
	// ownFraction is this node's part of the tenant's limit, 0 if unknown.
	ownFraction float64
}

func (n *newcomers) decay(now time.Duration) {
	n.units *= math.Exp(-(now - n.at).Seconds() / unreportedPeriod.Seconds())
	n.at = now
}

func (n *newcomers) add(now time.Duration, units float64) {
	n.decay(now)
	n.units += units
}

// elsewhere returns the units that other nodes have probably admitted and not reported.
func (n *newcomers) elsewhere(now time.Duration) float64 {
	if n.ownFraction <= 0 {
		return 0
	}
	n.decay(now)
	return n.units * (1/max(n.ownFraction, minOwnFraction) - 1)
}
