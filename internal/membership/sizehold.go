package membership

import "time"

// SizeHysteresis keeps groups from shrinking soon: a member that begins to serve reads what all
// caches hold, and its callers leave it when it ends. Its zero value holds nothing. It isn't
// safe for concurrent use.
type SizeHysteresis struct {
	sizes  map[Location]heldSize
	demand float64
}

// heldSize is a group's size, and the largest need since it was last as large.
type heldSize struct {
	size, maxNeed int
	windowStart   time.Duration
}

// shrinkDelay is how long a group's need must have been lower until it shrinks to the largest
// need of that time.
const shrinkDelay = 20 * time.Second

// Observe takes in at now what groups need at a planned demand, and returns the least sizes to
// keep. The map isn't written to again. A planned demand that falls has been lower for a while
// already: nothing is kept then.
func (h *SizeHysteresis) Observe(now time.Duration, demand float64, needed map[Location]int) map[Location]int {
	if demand < h.demand {
		h.sizes = nil
	}
	h.demand = demand
	kept := make(map[Location]heldSize, len(needed))
	least := make(map[Location]int, len(needed))
	for place, need := range needed {
		held := h.sizes[place]
		switch {
		case need >= held.size:
			held = heldSize{size: need, windowStart: now}
		case now >= held.windowStart+shrinkDelay:
			held = heldSize{size: max(held.maxNeed, need), windowStart: now}
		default:
			held.maxNeed = max(held.maxNeed, need)
		}
		kept[place], least[place] = held, held.size
	}
	h.sizes = kept
	return least
}
