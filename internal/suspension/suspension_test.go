package suspension

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// fakeClock is set by the test; pauses are added one by one, each after a reading.
type fakeClock struct {
	now    time.Duration
	pauses []time.Duration
}

func (c *fakeClock) Now() time.Duration {
	now := c.now
	if len(c.pauses) > 0 {
		c.now += c.pauses[0]
		c.pauses = c.pauses[1:]
	}
	return now
}

// TestSuspensionIsNoticedOnce, however often it is asked and whatever passes besides.
func TestSuspensionIsNoticedOnce(t *testing.T) {
	counting, running := &fakeClock{now: 7 * time.Hour}, &fakeClock{}
	detector := NewDetector(counting, running)
	pass := func(slept time.Duration) {
		counting.now += time.Minute + slept
		running.now += time.Minute
	}
	pass(0)
	assert.Zero(t, detector.Check())
	pass(5 * time.Second)
	assert.Equal(t, 5*time.Second, detector.Check())
	assert.Zero(t, detector.Check())
	pass(300 * time.Millisecond)
	pass(2 * time.Second)
	assert.Equal(t, 2300*time.Millisecond, detector.Check())
	assert.Equal(t, uint64(2), detector.Count())
	pass(-50 * time.Millisecond)
	assert.Zero(t, detector.Check())
	assert.Equal(t, uint64(2), detector.Count())
}

// TestWaitBetweenTheReadingsIsNoSuspension: a thread that has to wait for its processor.
func TestWaitBetweenTheReadingsIsNoSuspension(t *testing.T) {
	counting, running := &fakeClock{}, &fakeClock{}
	detector := NewDetector(counting, running)
	waiting := &preemptedClock{fakeClock: running, other: counting, wait: time.Second}
	detector.monotonicClock = waiting
	assert.Zero(t, detector.Check())
	assert.Zero(t, detector.Count())
}

// preemptedClock has the thread wait once after a reading.
type preemptedClock struct {
	*fakeClock
	other *fakeClock
	wait  time.Duration
}

func (c *preemptedClock) Now() time.Duration {
	now := c.now
	c.now += c.wait
	c.other.now += c.wait
	c.wait = 0
	return now
}

// TestClocksOfAMachineThatRunsAgree.
func TestClocksOfAMachineThatRunsAgree(t *testing.T) {
	detector := NewDetector(fleet.NewClock(), fleet.NewRuntimeClock())
	for range 1000 {
		assert.Zero(t, detector.Check())
	}
}
