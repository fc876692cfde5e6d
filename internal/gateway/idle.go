package gateway

import "time"

const (
	// idleAfter is the time after its last request from which a gateway may be idle.
	idleAfter = 3 * time.Second
	// idleTick is the interval at which the periodic loops of an idle gateway run. They run on
	// common ticks, because wake-ups are most of the cost of an idle gateway: seven loops on one tick
	// wake it 2 times a second instead of 14.
	idleTick = 500 * time.Millisecond
)

// isIdle reports whether this gateway is on standby: callers aren't sent to it, it has had no
// recent request, and it can't give orders to engines.
func (g *Gateway) isIdle() bool {
	roles := g.roles.Load()
	switch {
	case roles == nil, !g.roleSettled.Load(), roles.sharesLoads, g.inFlight.Load() > 0:
		return false
	default:
		return g.now() >= time.Duration(g.lastRequest.Load())+idleAfter
	}
}

// pauseInterval waits until the next run of a periodic loop: for its interval or, at an idle
// gateway, until a common tick about that far away. It returns false when the process ends.
func (g *Gateway) pauseInterval(interval time.Duration) bool {
	if !g.isIdle() {
		return g.pause(interval)
	}
	return g.pause(untilTick(g.now(), interval))
}

// untilTick returns the time from now to the last tick that is no later than max(interval,
// idleTick) away.
func untilTick(now, interval time.Duration) time.Duration {
	next := now + max(interval, idleTick)
	return next - next%idleTick - now
}
