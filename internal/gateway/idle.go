package gateway

import "time"

// Times of a node at rest.
const (
	// idleAfter is how long after its last request a node rests.
	idleAfter = 3 * time.Second
	// idleTick is the time between two moments at which the loops of a node at rest look
	// around, all at once. Most nodes of a large fleet rest, and wake-ups are most of what they
	// cost: seven loops on one tick wake a node 2 times a second instead of 14.
	idleTick = 500 * time.Millisecond
)

// isIdle tells whether this node does nothing but wait for its part: callers aren't sent to
// it, it has had no request of late, and it may not give orders.
func (g *Gateway) isIdle() bool {
	roles := g.roles.Load()
	switch {
	case roles == nil, !g.roleSettled.Load(), roles.sharesLoads, g.inFlight.Load() > 0:
		return false
	default:
		return g.now() >= time.Duration(g.lastRequest.Load())+idleAfter
	}
}

// pauseInterval waits until a loop's next look: for its interval, or, at rest, until the next
// tick after that. It returns false when the process ends.
func (g *Gateway) pauseInterval(interval time.Duration) bool {
	if !g.isIdle() {
		return g.pause(interval)
	}
	return g.pause(untilTick(g.now(), interval))
}

// untilTick returns the time from now to the first tick that is an interval away, or nearly.
func untilTick(now, interval time.Duration) time.Duration {
	next := now + max(interval, idleTick)
	return next - next%idleTick - now
}
