package gateway

import "time"

// Times of a node at rest.
const (
	// restAfter is how long after its last request a node rests.
	restAfter = 3 * time.Second
	// restTick is the time between two moments at which the loops of a node at rest look
	// around, all at once. Most nodes of a large fleet rest, and wake-ups are most of what they
	// cost: seven loops on one tick wake a node 2 times a second instead of 14.
	restTick = 500 * time.Millisecond
)

// resting tells whether this node does nothing but wait for its part: callers aren't sent to
// it, it has had no request of late, and it may not give orders.
func (g *Gateway) resting() bool {
	roles := g.roles.Load()
	switch {
	case roles == nil, !g.settled.Load(), roles.sharesLoads, g.inFlight.Load() > 0:
		return false
	default:
		return g.now() >= time.Duration(g.lastRequest.Load())+restAfter
	}
}

// pauseOrRest waits until a loop's next look: for its interval, or, at rest, until the next
// tick after that. It returns false when the process ends.
func (g *Gateway) pauseOrRest(interval time.Duration) bool {
	if !g.resting() {
		return g.pause(interval)
	}
	return g.pause(untilTick(g.now(), interval))
}

// untilTick returns the time from now to the first tick that is an interval away, or nearly.
func untilTick(now, interval time.Duration) time.Duration {
	next := now + max(interval, restTick)
	return next - next%restTick - now
}
