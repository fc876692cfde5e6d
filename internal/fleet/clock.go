package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time elapsed since an arbitrary fixed start. It never jumps with the wall
// clock, and it counts the time in which the machine is suspended: what was believed before
// is as old as others take it to be.
type Clock interface {
	Now() time.Duration
}

// bootClock reads CLOCK_BOOTTIME. The runtime's own steady clock is CLOCK_MONOTONIC, which
// stands still while a Linux machine is suspended.
type bootClock struct{ start time.Duration }

// Now returns the time since the clock was made.
func (c bootClock) Now() time.Duration { return sinceBoot() - c.start }

// NewClock returns a clock that counts the time in which the machine is suspended.
func NewClock() Clock { return bootClock{start: sinceBoot()} }

// sinceBoot returns the time since the machine's start. The call fails only for a clock that
// the kernel doesn't know, and every kernel since 2.6.39 knows this one.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("fleet: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// runtimeClock is the runtime's steady clock.
type runtimeClock struct{ start time.Time }

// Now returns the time that the machine has run since the clock was made.
func (c runtimeClock) Now() time.Duration { return time.Since(c.start) }

// NewRuntimeClock returns a clock that stands still while the machine is suspended, as the
// runtime's timers and deadlines do.
func NewRuntimeClock() Clock { return runtimeClock{start: time.Now()} }
