// Package suspension detects that the machine was suspended. The runtime's timers and deadlines don't
// count the suspended time, and connections may have been lost without notice.
package suspension

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// minSuspension is the shortest time that counts as a suspension. The two clocks are read one after
// the other, and the thread may be preempted in between.
const minSuspension = 100 * time.Millisecond

// Detector compares a clock that counts suspended time with one that doesn't. It is safe for
// concurrent use.
type Detector struct {
	bootClock, monotonicClock fleet.Clock

	mutex sync.Mutex
	// offset is the smallest lead of bootClock over monotonicClock since the last suspension.
	offset time.Duration
	count  uint64
}

// NewDetector returns a detector that compares bootClock, which counts suspended time, with
// monotonicClock, which doesn't.
func NewDetector(bootClock, monotonicClock fleet.Clock) *Detector {
	detector := &Detector{bootClock: bootClock, monotonicClock: monotonicClock}
	detector.offset = detector.currentOffset()
	return detector
}

// currentOffset returns the lead of bootClock over monotonicClock. monotonicClock is read first, so
// preemption in between can only increase the result.
func (d *Detector) currentOffset() time.Duration {
	monotonic := d.monotonicClock.Now()
	return d.bootClock.Now() - monotonic
}

// Check returns for how long the machine was suspended since the last call; 0 if it wasn't.
func (d *Detector) Check() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	first := d.currentOffset()
	if first-d.offset < minSuspension {
		d.offset = min(d.offset, first)
		return 0
	}
	// A second reading distinguishes a suspension from preemption between the two readings.
	again := min(first, d.currentOffset())
	suspended := again - d.offset
	if suspended < minSuspension {
		return 0
	}
	d.offset = again
	d.count++
	return suspended
}

// Count returns the number of suspensions that Check has detected.
func (d *Detector) Count() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.count
}
