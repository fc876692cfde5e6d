package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestClockStartsAtZeroAndAdvances(t *testing.T) {
	clock := NewClock()
	assert.Less(t, clock.Now(), time.Second)
	before := clock.Now()
	time.Sleep(20 * time.Millisecond)
	assert.GreaterOrEqual(t, clock.Now()-before, 20*time.Millisecond)
}

// BenchmarkClock compares the clock that includes suspensions with the runtime's clock.
func BenchmarkClock(b *testing.B) {
	for name, clock := range map[string]Clock{"boottime": NewClock(), "runtime": NewRuntimeClock()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				clock.Now()
			}
		})
	}
}
