package gateway

import "time"

// maxClockDrift is how fast the store's clock and this machine's may part.
const maxClockDrift = 200e-6

// storeClock translates times of the store's steady clock to this process's, so
// that an answer proves what held when the store gave it and not only when the
// call was begun. It keeps the greatest difference that the calls so far allow:
// an answer was given after its call was begun, so the least of (store's time at
// the answer - begin of the call) bounds the difference from above. A translated time
// is therefore never later than the true one.
type storeClock struct {
	calibrated   bool
	offset       time.Duration
	calibratedAt time.Duration
}

// translate takes in one call and returns, on this process's clock, a time at
// which its answer had not been given yet, but no earlier than begun. storeTime
// is the store's clock at the answer; 0 means that it isn't known.
func (c *storeClock) translate(begun, ended, storeTime time.Duration) time.Duration {
	if storeTime <= 0 {
		return begun
	}
	difference := storeTime - begun
	if allowed := c.offset + c.drift(ended); !c.calibrated || difference < allowed {
		c.calibrated, c.offset, c.calibratedAt = true, difference, ended
	}
	answered := storeTime - c.offset - c.drift(ended)
	if answered > ended {
		// The store's clock has jumped ahead: nothing is known but this call.
		c.offset, c.calibratedAt = difference, ended
		return begun
	}
	return max(answered, begun)
}

// drift returns how far the clocks may have parted since the calibration.
func (c *storeClock) drift(now time.Duration) time.Duration {
	return time.Duration(float64(now-c.calibratedAt) * maxClockDrift)
}
