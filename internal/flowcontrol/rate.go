package flowcontrol

import (
	"math"
	"time"
)

// rateWindow is the time constant of the rate's exponential decay.
const rateWindow = 10 * time.Second

// minBusyTime is the observed busy time from which a rate counts as known.
const minBusyTime = 200 * time.Millisecond

// rateMeter measures a queue's service rate while it has a backlog, as the quotient of two
// exponentially decayed sums.
type rateMeter struct {
	servedTokens float64
	busySeconds  float64
	updatedAt    time.Duration
}

// advance accounts for the time since the last call, during which the queue was either backlogged
// or not.
func (m *rateMeter) advance(now time.Duration, backlogged bool) {
	if now <= m.updatedAt {
		return
	}
	decayFactor := math.Exp(-float64(now-m.updatedAt) / float64(rateWindow))
	m.servedTokens *= decayFactor
	m.busySeconds *= decayFactor
	if backlogged {
		m.busySeconds += rateWindow.Seconds() * (1 - decayFactor)
	}
	m.updatedAt = now
}

// record counts tokens served from a backlogged queue.
func (m *rateMeter) record(cost float64) { m.servedTokens += cost }

// tokensPerSecond returns the service rate, and false if it isn't known yet.
func (m *rateMeter) tokensPerSecond() (float64, bool) {
	if m.busySeconds < minBusyTime.Seconds() || m.servedTokens <= 0 {
		return 0, false
	}
	return m.servedTokens / m.busySeconds, true
}
