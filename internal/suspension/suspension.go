// Package suspension notices that the machine was suspended. The processes stand still then,
// as when they are stopped, but the runtime's timers and deadlines don't count that time, and
// what other machines sent meanwhile is lost or late: connections may be dead without a word.
package suspension

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// leastSuspension is the least time that counts as a suspension: the two clocks are read one
// after the other, and a thread may have to wait in between.
const leastSuspension = 100 * time.Millisecond

// Detector compares a clock that counts suspended time with one that doesn't. It is safe for
// concurrent use.
type Detector struct {
	counting, running fleet.Clock

	mutex sync.Mutex
	// ahead is the least time by which the counting clock was ahead since the last
	// suspension.
	ahead time.Duration
	count uint64
}

// NewDetector returns a detector over a clock that counts suspended time and one that stands
// still meanwhile.
func NewDetector(counting, running fleet.Clock) *Detector {
	detector := &Detector{counting: counting, running: running}
	detector.ahead = detector.difference()
	return detector
}

// difference returns by how much the counting clock is ahead. The running clock is read
// first: a thread that waits in between makes it greater, and the next look finds the
// true one.
func (d *Detector) difference() time.Duration {
	running := d.running.Now()
	return d.counting.Now() - running
}

// Check returns for how long the machine was suspended since the last call, and 0 if it
// wasn't.
func (d *Detector) Check() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	first := d.difference()
	if first-d.ahead < leastSuspension {
		d.ahead = min(d.ahead, first)
		return 0
	}
	// A second look tells a suspension from a wait between the two readings.
	again := min(first, d.difference())
	slept := again - d.ahead
	if slept < leastSuspension {
		return 0
	}
	d.ahead = again
	d.count++
	return slept
}

// Count returns the number of suspensions so far, as found by Check.
func (d *Detector) Count() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.count
}
