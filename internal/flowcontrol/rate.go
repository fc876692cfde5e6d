package flowcontrol

import (
	"math"
	"time"
)

// rateWindow is the time constant over which observed service is forgotten.
const rateWindow = 10 * time.Second

// minimumBusy is the busy time that must have been observed before a rate
// counts as known.
const minimumBusy = 200 * time.Millisecond

// rateMeter measures the service rate of a queue while it has a backlog, as a
// quotient of two exponentially decayed sums.
type rateMeter struct {
	served float64 // tokens
	busy   float64 // seconds
	last   time.Duration
}

// advance accounts for the time since the last call, during which the queue
// had a backlog or not.
func (m *rateMeter) advance(now time.Duration, backlogged bool) {
	if now <= m.last {
		return
	}
	kept := math.Exp(-float64(now-m.last) / float64(rateWindow))
	m.served *= kept
	m.busy *= kept
	if backlogged {
		m.busy += rateWindow.Seconds() * (1 - kept)
	}
	m.last = now
}

// serve counts work that left a backlogged queue.
func (m *rateMeter) serve(cost float64) { m.served += cost }

// perSecond returns tokens a second; false when too little has been seen.
func (m *rateMeter) perSecond() (float64, bool) {
	if m.busy < minimumBusy.Seconds() || m.served <= 0 {
		return 0, false
	}
	return m.served / m.busy, true
}
