package flowcontrol

import (
	"math"
	"time"
)

// rateWindow is the time constant over which observed service is forgotten.
const rateWindow = 10 * time.Second

// minBusyTime is the busy time that must have been observed before a rate
// counts as known.
const minBusyTime = 200 * time.Millisecond

// rateMeter measures the service rate of a queue while it has a backlog, as a
// quotient of two exponentially decayed sums.
type rateMeter struct {
	servedTokens float64 // tokens
	busySeconds  float64 // seconds
	updatedAt    time.Duration
}

// advance accounts for the time since the last call, during which the queue
// had a backlog or not.
func (m *rateMeter) advance(now time.Duration, backlogged bool) {
	if now <= m.updatedAt {
		return
	}
	kept := math.Exp(-float64(now-m.updatedAt) / float64(rateWindow))
	m.servedTokens *= kept
	m.busySeconds *= kept
	if backlogged {
		m.busySeconds += rateWindow.Seconds() * (1 - kept)
	}
	m.updatedAt = now
}

// record counts work that left a backlogged queue.
func (m *rateMeter) record(cost float64) { m.servedTokens += cost }

// tokensPerSecond returns tokens a second; false when too little has been seen.
func (m *rateMeter) tokensPerSecond() (float64, bool) {
	if m.busySeconds < minBusyTime.Seconds() || m.servedTokens <= 0 {
		return 0, false
	}
	return m.servedTokens / m.busySeconds, true
}
