package gateway

import (
	"context"
	"sync"
	"time"
)

// deadlines ends requests when their time is over on the clock that counts suspended time.
// The runtime's own deadlines stand still while the machine is suspended, so that requests
// would be held for that much longer than their callers wait.
type deadlines struct {
	mutex sync.Mutex
	armed map[*deadline]bool
}

// deadline is the end of one request.
type deadline struct {
	at    time.Duration
	timer *time.Timer
}

func newDeadlines() *deadlines { return &deadlines{armed: make(map[*deadline]bool)} }

// with returns a context that ends at a time, for errLateAnswer.
func (d *deadlines) with(ctx context.Context, now, at time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	armed := &deadline{at: at}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	armed.timer = time.AfterFunc(max(at-now, 0), func() { cancel(errLateAnswer) })
	d.armed[armed] = true
	return ctx, func() {
		d.disarm(armed)
		cancel(nil)
	}
}

func (d *deadlines) disarm(armed *deadline) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	armed.timer.Stop()
	delete(d.armed, armed)
}

// rearm sets all timers by what is left now.
func (d *deadlines) rearm(now time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for armed := range d.armed {
		armed.timer.Reset(max(armed.at-now, 0))
	}
}
