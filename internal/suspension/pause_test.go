package suspension

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A pause must be known at once after it, and for all that was under way at its end, but a turn that is a
// little late is none.
func TestPauseConcernsWhatWasUnderWay(t *testing.T) {
	const interval, shortest = 200 * time.Millisecond, 500 * time.Millisecond
	detector := NewPauseDetector(shortest)
	assert.False(t, detector.PausedSince(0, time.Hour), "no turn yet")
	detector.Observe(time.Second, interval)
	detector.Observe(time.Second+interval+shortest-1, interval)
	assert.False(t, detector.PausedSince(0, 2*time.Second), "a late turn")
	resumed := 5 * time.Second
	assert.True(t, detector.PausedSince(4*time.Second, resumed), "before the first turn after it")
	detector.Observe(resumed, interval)
	assert.True(t, detector.PausedSince(resumed-1, resumed+time.Minute))
	detector.Observe(resumed+interval, interval)
	assert.True(t, detector.PausedSince(time.Second, resumed+interval))
	assert.False(t, detector.PausedSince(resumed, resumed+interval), "what began after it")
}
