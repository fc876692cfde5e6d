// Package suspension notices that the machine was suspended. The processes stand still then,
// as when they are stopped, but the runtime's timers and deadlines don't count that time, and
// what other machines sent meanwhile is lost or late: connections may be dead without a word.
package suspension

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// minSuspension is the least time that counts as a suspension: the two clocks are read one
// after the other, and a thread may have to wait in between.
const minSuspension = 100 * time.Millisecond

// Detector compares a clock that counts suspended time with one that doesn't. It is safe for
// concurrent use.
type Detector struct {
	bootClock, monotonicClock fleet.Clock

	mutex sync.Mutex
	// offset is the least time by which the counting clock was offset since the last
	// suspension.
	offset time.Duration
	count  uint64
}

// NewDetector returns a detector over a clock that counts suspended time and one that stands
// still meanwhile.
func NewDetector(counting, running fleet.Clock) *Detector {
	detector := &Detector{bootClock: counting, monotonicClock: running}
	detector.offset = detector.currentOffset()
	return detector
}

// currentOffset returns by how much the counting clock is ahead. The running clock is read
// first: a thread that waits in between makes it greater, and the next look finds the
// true one.
func (d *Detector) currentOffset() time.Duration {
	running := d.monotonicClock.Now()
	return d.bootClock.Now() - running
}

// Check returns for how long the machine was suspended since the last call, and 0 if it
// wasn't.
func (d *Detector) Check() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	first := d.currentOffset()
	if first-d.offset < minSuspension {
		d.offset = min(d.offset, first)
		return 0
	}
	// A second look tells a suspension from a wait between the two readings.
	again := min(first, d.currentOffset())
	slept := again - d.offset
	if slept < minSuspension {
		return 0
	}
	d.offset = again
	d.count++
	return slept
}

// Count returns the number of suspensions so far, as found by Check.
func (d *Detector) Count() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.count
}
