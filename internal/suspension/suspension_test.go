package suspension

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// fakeClock is set by the test. Each reading advances it by the next pause.
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

// TestSuspensionIsDetectedOnce guards against suspensions that are missed or reported more than once.
func TestSuspensionIsDetectedOnce(t *testing.T) {
	bootClock, monotonicClock := &fakeClock{now: 7 * time.Hour}, &fakeClock{}
	detector := NewDetector(bootClock, monotonicClock)
	advance := func(suspended time.Duration) {
		bootClock.now += time.Minute + suspended
		monotonicClock.now += time.Minute
	}
	advance(0)
	assert.Zero(t, detector.Check())
	advance(5 * time.Second)
	assert.Equal(t, 5*time.Second, detector.Check())
	assert.Zero(t, detector.Check())
	advance(300 * time.Millisecond)
	advance(2 * time.Second)
	assert.Equal(t, 2300*time.Millisecond, detector.Check())
	assert.Equal(t, uint64(2), detector.Count())
	advance(-50 * time.Millisecond)
	assert.Zero(t, detector.Check())
	assert.Equal(t, uint64(2), detector.Count())
}

// TestPreemptionIsNoSuspension guards against a preemption between the two clock readings that is taken
// for a suspension.
func TestPreemptionIsNoSuspension(t *testing.T) {
	bootClock, monotonicClock := &fakeClock{}, &fakeClock{}
	detector := NewDetector(bootClock, monotonicClock)
	preempted := &preemptedClock{fakeClock: monotonicClock, other: bootClock, wait: time.Second}
	detector.monotonicClock = preempted
	assert.Zero(t, detector.Check())
	assert.Zero(t, detector.Count())
}

// preemptedClock simulates a thread that is preempted once, after a reading.
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

// TestRealClocksAgreeWithoutSuspension guards against false detections with the system's clocks.
func TestRealClocksAgreeWithoutSuspension(t *testing.T) {
	detector := NewDetector(fleet.NewClock(), fleet.NewRuntimeClock())
	for range 1000 {
		assert.Zero(t, detector.Check())
	}
}
