package gateway

import (
	"context"
	"sync"
	"time"
)

// deadlineTimers cancels requests at their deadlines, measured on the clock that counts suspended
// time. The runtime's timers stop while the machine is suspended, and are rearmed when it resumes.
type deadlineTimers struct {
	mutex sync.Mutex
	armed map[*deadlineTimer]bool
}

// deadlineTimer is the timer of one request.
type deadlineTimer struct {
	at    time.Duration
	timer *time.Timer
}

func newDeadlineTimers() *deadlineTimers {
	return &deadlineTimers{armed: make(map[*deadlineTimer]bool)}
}

// withDeadline returns a context that is cancelled with errDeadlinePassed at the time at.
func (d *deadlineTimers) withDeadline(ctx context.Context, now, at time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	entry := &deadlineTimer{at: at}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	entry.timer = time.AfterFunc(max(at-now, 0), func() { cancel(errDeadlinePassed) })
	d.armed[entry] = true
	return ctx, func() {
		d.disarm(entry)
		cancel(nil)
	}
}

func (d *deadlineTimers) disarm(entry *deadlineTimer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	entry.timer.Stop()
	delete(d.armed, entry)
}

// rearm resets all timers to the time left at now.
func (d *deadlineTimers) rearm(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for entry := range d.armed {
		entry.timer.Reset(max(entry.at-now, 0))
	}
}
