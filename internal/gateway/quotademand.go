package gateway

import (
	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/quota"
)

// maxDemand is the highest demand of a priority that is accepted from another gateway, in units per
// second: far more than callers can ask one gateway for.
const maxDemand = 1e9

// encodeDemand returns a demand in units per second, nil if there is none.
func encodeDemand(demand quota.Demand) []uint32 {
	var encoded []uint32
	for priority, units := range demand {
		if !(units >= 1) {
			continue
		}
		if encoded == nil {
			encoded = make([]uint32, quota.PriorityCount)
		}
		encoded[priority] = uint32(min(units, maxDemand))
	}
	return encoded
}

// decodeDemand returns the demand that another gateway reports; none if any of it is out of range.
func decodeDemand(encoded []uint32) (quota.Demand, error) {
	demand := quota.Demand{}
	if len(encoded) > quota.PriorityCount {
		return demand, errors.Errorf("demand of %d priorities", len(encoded))
	}
	for priority, units := range encoded {
		if units > maxDemand {
			return quota.Demand{}, errors.Errorf("demand of %d units per second", units)
		}
		demand[priority] = float64(units)
	}
	return demand, nil
}
