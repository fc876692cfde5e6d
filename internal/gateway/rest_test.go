package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLoopsOfANodeAtRestWakeTogether counts the moments at which loops of some intervals look
// around in ten seconds.
func TestLoopsOfANodeAtRestWakeTogether(t *testing.T) {
	moments := make(map[time.Duration]bool)
	for index, interval := range []time.Duration{
		rolesInterval, pressureIdleInterval, unlimitedInterval, loadExchangeInterval, rolloutRest, idleCacheCheckInterval, housekeepInterval,
	} {
		begun := time.Duration(index) * 37 * time.Millisecond
		for now, before := begun, begun; now < 10*time.Second; before = now {
			now += untilTick(now, interval)
			assert.Positive(t, now-before)
			assert.LessOrEqual(t, now-before, interval+restTick)
			moments[now] = true
		}
	}
	assert.LessOrEqual(t, len(moments), 21)
}

// TestNodeThatMayHaveToActDoesNotRest.
func TestNodeThatMayHaveToActDoesNotRest(t *testing.T) {
	g := idleGateway(t)
	roles := *g.roles.Load()
	roles.sharesLoads = false
	g.roles.Store(&roles)
	assert.False(t, g.resting(), "its role isn't settled")
	g.settled.Store(true)
	g.lastRequest.Store(int64(g.now() - restAfter - time.Second))
	assert.True(t, g.resting())
	g.inFlight.Add(1)
	assert.False(t, g.resting())
	g.inFlight.Add(-1)
	g.lastRequest.Store(int64(g.now()))
	assert.False(t, g.resting())
	g.lastRequest.Store(int64(g.now() - restAfter - time.Second))
	sharing := roles
	sharing.sharesLoads = true
	g.roles.Store(&sharing)
	assert.False(t, g.resting())
}
