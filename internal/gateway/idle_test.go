package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIdleLoopsShareTicks guards against idle gateways waking up separately for each periodic loop.
func TestIdleLoopsShareTicks(t *testing.T) {
	wakeups := make(map[time.Duration]bool)
	for index, interval := range []time.Duration{
		rolesInterval, pressureIdleInterval, unlimitedInterval, loadExchangeInterval, idleRolloutInterval, idleCacheCheckInterval, housekeepInterval,
	} {
		start := time.Duration(index) * 37 * time.Millisecond
		for now, previous := start, start; now < 10*time.Second; previous = now {
			now += untilTick(now, interval)
			assert.Positive(t, now-previous)
			assert.LessOrEqual(t, now-previous, interval+idleTick)
			wakeups[now] = true
		}
	}
	assert.LessOrEqual(t, len(wakeups), 21)
}

// TestActiveNodeIsNotIdle guards against slowing down a gateway that has requests or a role to act
// on.
func TestActiveNodeIsNotIdle(t *testing.T) {
	g := newTestGateway(t)
	roles := *g.roles.Load()
	roles.sharesLoads = false
	g.roles.Store(&roles)
	assert.False(t, g.isIdle(), "role not settled")
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
