package backends

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Distance is how far two places are apart.
type Distance int

// Distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distanceCount
)

// Regions holds the region of each zone.
type Regions map[fleet.ZoneName]fleet.RegionName

// Between returns the distance of two zones. Zones count as in one region unless both
// are known to be in different ones.
func (r Regions) Between(one, other fleet.ZoneName) Distance {
	if one == other {
		return SameZone
	}
	region, known := r[one]
	otherRegion, otherKnown := r[other]
	if known && otherKnown && region != otherRegion {
		return OtherRegion
	}
	return SameRegion
}

// DistancePrices are what distance costs a request, by Distance.
type DistancePrices struct {
	// Delay is by how much later the first byte of an answer comes from there.
	Delay [distanceCount]time.Duration
	// PerKilobyte is the price of a kilobyte of the request or its answer that crosses,
	// in the time of an engine that it is worth.
	PerKilobyte [distanceCount]time.Duration
	// MoveFactor is how many times as long a move of KV cache takes.
	MoveFactor [distanceCount]int
	// MovePrice is how many times as dear such a move is.
	MovePrice [distanceCount]int
	// Plain is the price for a worker that isn't an engine, in requests in flight at one
	// slot: 1 prefers a near worker until all its slots are taken.
	Plain [distanceCount]float64
}

// DefaultDistancePrices returns prices for zones a millisecond and regions a dozen
// milliseconds apart.
func DefaultDistancePrices() DistancePrices {
	return DistancePrices{
		Delay:       [distanceCount]time.Duration{0, 3 * time.Millisecond, 24 * time.Millisecond},
		PerKilobyte: [distanceCount]time.Duration{0, time.Millisecond, 2500 * time.Microsecond},
		MoveFactor:  [distanceCount]int{1, 2, 10},
		MovePrice:   [distanceCount]int{1, 2, 3},
		Plain:       [distanceCount]float64{0, 0.5, 1},
	}
}

// Validate returns an error if a price is negative, or a factor is below 1.
func (p *DistancePrices) Validate() error {
	for distance := range distanceCount {
		switch {
		case p.Delay[distance] < 0 || p.PerKilobyte[distance] < 0 || p.Plain[distance] < 0:
			return errors.Errorf("distance %d: a price is negative", distance)
		case p.MoveFactor[distance] < 1 || p.MovePrice[distance] < 1:
			return errors.Errorf("distance %d: a factor of moves is below 1", distance)
		}
	}
	return nil
}

// distanceTo returns the distance of a zone distanceTo this node.
func (r *Registry) distanceTo(zone fleet.ZoneName) Distance {
	return r.options.Regions.Between(r.options.Zone, zone)
}

// transferCost returns the price of a request's bytes from this node to a distance.
func (p *DistancePrices) transferCost(distance Distance, bytes int) time.Duration {
	const kilobyte = 1000
	return p.PerKilobyte[distance] * time.Duration(bytes) / kilobyte
}
