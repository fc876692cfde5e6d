package membership

import "time"

// SizeHysteresis delays the shrinking of serving groups, because a member that starts to serve
// reads the contents of all caches, and its callers reconnect when it stops. The zero value is
// ready to use. It is not safe for concurrent use.
type SizeHysteresis struct {
	sizes  map[Location]heldSize
	demand float64
}

// heldSize is a group's size and the largest need since windowStart.
type heldSize struct {
	size, maxNeed int
	windowStart   time.Duration
}

// shrinkDelay is how long a group's need must stay below its size before the group shrinks to the
// largest need of that time.
const shrinkDelay = 20 * time.Second

// Observe records the groups' needs at now and returns the minimum sizes to keep. A lower demand
// than before resets the sizes, since DemandTracker has already delayed it. Observe does not modify
// the returned map later.
func (h *SizeHysteresis) Observe(now time.Duration, demand float64, needed map[Location]int) map[Location]int {
	if demand < h.demand {
		h.sizes = nil
	}
	h.demand = demand
	kept := make(map[Location]heldSize, len(needed))
	minimum := make(map[Location]int, len(needed))
	for location, need := range needed {
		held := h.sizes[location]
		switch {
		case need >= held.size:
			held = heldSize{size: need, windowStart: now}
		case now >= held.windowStart+shrinkDelay:
			held = heldSize{size: max(held.maxNeed, need), windowStart: now}
		default:
			held.maxNeed = max(held.maxNeed, need)
		}
		kept[location], minimum[location] = held, held.size
	}
	h.sizes = kept
	return minimum
}
