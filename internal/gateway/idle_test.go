package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIdleLoopsShareTicks counts the moments at which loops of some intervals look
// around in ten seconds.
func TestIdleLoopsShareTicks(t *testing.T) {
	moments := make(map[time.Duration]bool)
	for index, interval := range []time.Duration{
		rolesInterval, pressureRest, unlimitedPause, shareInterval, idleRolloutInterval, cacheRest, housekeepInterval,
	} {
		begun := time.Duration(index) * 37 * time.Millisecond
		for now, before := begun, begun; now < 10*time.Second; before = now {
			now += untilTick(now, interval)
			assert.Positive(t, now-before)
			assert.LessOrEqual(t, now-before, interval+idleTick)
			moments[now] = true
		}
	}
	assert.LessOrEqual(t, len(moments), 21)
}

// TestActiveNodeIsNotIdle.
func TestActiveNodeIsNotIdle(t *testing.T) {
	g := newTestGateway(t)
	roles := *g.roles.Load()
	roles.sharesLoads = false
	g.roles.Store(&roles)
	assert.False(t, g.isIdle(), "its role isn't settled")
	g.roleSettled.Store(true)
	g.lastRequest.Store(int64(g.now() - idleAfter - time.Second))
	assert.True(t, g.isIdle())
	g.inFlight.Add(1)
	assert.False(t, g.isIdle())
	g.inFlight.Add(-1)
	g.lastRequest.Store(int64(g.now()))
	assert.False(t, g.isIdle())
	g.lastRequest.Store(int64(g.now() - idleAfter - time.Second))
	sharing := roles
	sharing.sharesLoads = true
	g.roles.Store(&sharing)
	assert.False(t, g.isIdle())
}
