package backends

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Distance is the distance between two zones.
type Distance int

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distanceCount
)

// Regions holds the region of each zone.
type Regions map[fleet.ZoneName]fleet.RegionName

// Between returns the distance between two zones. Different zones count as in the same region
// unless they are known to be in different ones.
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

// DistancePrices holds the costs of distance, indexed by Distance.
type DistancePrices struct {
	// Delay is the additional latency of the first byte of a response.
	Delay [distanceCount]time.Duration
	// PerKilobyte is the cost of a kilobyte of the request or its response, in equivalent engine
	// time.
	PerKilobyte [distanceCount]time.Duration
	// MoveFactor multiplies the time of a KV cache transfer.
	MoveFactor [distanceCount]int
	// MovePrice multiplies the cost of a KV cache transfer.
	MovePrice [distanceCount]int
	// Plain is the cost for workers that are not engines, in requests in flight per slot. At 1, a
	// near worker is preferred until all its slots are taken.
	Plain [distanceCount]float64
}

// DefaultDistancePrices returns prices for zones about a millisecond apart and regions about twelve
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

// Validate returns an error if a price is negative or a factor is below 1.
func (p *DistancePrices) Validate() error {
	for distance := range distanceCount {
		switch {
		case p.Delay[distance] < 0 || p.PerKilobyte[distance] < 0 || p.Plain[distance] < 0:
			return errors.Errorf("distance %d: delays and prices must not be negative", distance)
		case p.MoveFactor[distance] < 1 || p.MovePrice[distance] < 1:
			return errors.Errorf("distance %d: move factor and move price must be at least 1", distance)
		}
	}
	return nil
}

// distanceTo returns the distance between this node and a zone.
func (r *Registry) distanceTo(zone fleet.ZoneName) Distance {
	return r.options.Regions.Between(r.options.Zone, zone)
}

// transferCost returns the cost of transferring the given number of bytes over a distance.
func (p *DistancePrices) transferCost(distance Distance, bytes int) time.Duration {
	const kilobyte = 1000
	return p.PerKilobyte[distance] * time.Duration(bytes) / kilobyte
}
