package gateway

import "time"

// maxClockDrift is the greatest relative drift between the store's clock and this machine's.
const maxClockDrift = 200e-6

// storeClock converts times of the store's steady clock to this process's clock, so that a
// freshness proof is as new as the response and not only as the start of the call.
//
// A response is generated after its call began, so the least difference between the store's time at
// a response and the start of its call is an upper bound of the clock offset. A converted time is
// therefore never later than the true one.
type storeClock struct {
	calibrated   bool
	offset       time.Duration
	calibratedAt time.Duration
}

// translate records one call and returns a time on this process's clock that is no later than the
// response and no earlier than start. storeTime is the store's clock at the response, 0 if unknown.
func (c *storeClock) translate(start, end, storeTime time.Duration) time.Duration {
	if storeTime <= 0 {
		return start
	}
	difference := storeTime - start
	if limit := c.offset + c.drift(end); !c.calibrated || difference < limit {
		c.calibrated, c.offset, c.calibratedAt = true, difference, end
	}
	responseTime := storeTime - c.offset - c.drift(end)
	if responseTime > end {
		// The store's clock has jumped ahead: restart the calibration with this call.
		c.offset, c.calibratedAt = difference, end
		return start
	}
	return max(responseTime, start)
}

// drift returns the greatest drift between the clocks since the calibration.
func (c *storeClock) drift(now time.Duration) time.Duration {
	return time.Duration(float64(now-c.calibratedAt) * maxClockDrift)
}
