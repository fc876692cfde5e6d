package retrybudget

import "time"

// A window is counted in windowSlots slots.
const windowSlots = 20

// requestWindow counts the requests of a sliding window, less those of its oldest slot in part.
type requestWindow struct {
	length time.Duration
	slots  [windowSlots]int
	total  int
	// newest is the number of the current slot, counted from the clock's zero.
	newest int64
}

func (w *requestWindow) add(now time.Duration) {
	w.advance(now)
	w.slots[w.newest%windowSlots]++
	w.total++
}

// count returns the number of requests in the window.
func (w *requestWindow) count(now time.Duration) int {
	w.advance(now)
	return w.total
}

// advance clears the slots that have left the window.
func (w *requestWindow) advance(now time.Duration) {
	newest := int64(now / (w.length / windowSlots))
	for next := max(w.newest+1, newest-windowSlots+1); next <= newest; next++ {
		w.total -= w.slots[next%windowSlots]
		w.slots[next%windowSlots] = 0
	}
	w.newest = max(w.newest, newest)
}
