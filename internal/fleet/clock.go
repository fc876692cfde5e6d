package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since an arbitrary fixed start. It is monotonic: changes of the
// wall clock do not affect it. The clock from NewClock includes the time in which the machine is
// suspended, so that state received before a suspension is as old here as at other nodes.
type Clock interface {
	Now() time.Duration
}

// bootClock reads CLOCK_BOOTTIME. The Go runtime's monotonic clock is CLOCK_MONOTONIC, which stops
// while a Linux machine is suspended.
type bootClock struct{ start time.Duration }

// Now returns the time since the clock was created.
func (c bootClock) Now() time.Duration { return sinceBoot() - c.start }

// NewClock returns a clock that includes the time in which the machine is suspended.
func NewClock() Clock { return bootClock{start: sinceBoot()} }

// sinceBoot returns the time since the machine's boot. The call fails only if the kernel does not
// support CLOCK_BOOTTIME, which Linux has since 2.6.39.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("fleet: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// runtimeClock reads the Go runtime's monotonic clock.
type runtimeClock struct{ start time.Time }

// Now returns the time since the clock was created, without suspensions of the machine.
func (c runtimeClock) Now() time.Duration { return time.Since(c.start) }

// NewRuntimeClock returns a clock that stops while the machine is suspended, as the runtime's
// timers and deadlines do.
func NewRuntimeClock() Clock { return runtimeClock{start: time.Now()} }
