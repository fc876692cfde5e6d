package gateway

import (
	"context"
	"sync"
	"time"
)

// deadlineTimers ends requests when their time is over on the clock that counts suspended time.
// The runtime's own deadlineTimers stand still while the machine is suspended, so that requests
// would be held for that much longer than their callers wait.
type deadlineTimers struct {
	mutex sync.Mutex
	armed map[*deadlineTimer]bool
}

// deadlineTimer is the end of one request.
type deadlineTimer struct {
	at    time.Duration
	timer *time.Timer
}

func newDeadlines() *deadlineTimers { return &deadlineTimers{armed: make(map[*deadlineTimer]bool)} }

// withDeadline returns a context that ends at a time, for errLateAnswer.
func (d *deadlineTimers) withDeadline(ctx context.Context, now, at time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	armed := &deadlineTimer{at: at}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	armed.timer = time.AfterFunc(max(at-now, 0), func() { cancel(errDeadlinePassed) })
	d.armed[armed] = true
	return ctx, func() {
		d.disarm(armed)
		cancel(nil)
	}
}

func (d *deadlineTimers) disarm(armed *deadlineTimer) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	armed.timer.Stop()
	delete(d.armed, armed)
}

// rearm sets all timers by what is left now.
func (d *deadlineTimers) rearm(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for armed := range d.armed {
		armed.timer.Reset(max(armed.at-now, 0))
	}
}
