package router

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/placement"
)

// warmupLimit bounds how long a router that has just learned of its engines
// leaves requests to others: an engine may not answer.
const warmupLimit = 3 * time.Second

// warmup tells whether a router that has started still lacks the caches and
// queues of its engines. One that places meanwhile would recompute prefixes that
// the router which placed before it knows to be warm. It is safe for concurrent
// use.
type warmup struct {
	mutex sync.Mutex
	begun bool
	since time.Duration
	done  bool
}

// over tells whether the router knows its engines, or has waited long enough.
// Once it is true it stays so.
func (w *warmup) over(now time.Duration, synchronised func() bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.done {
		return true
	}
	if !w.begun {
		w.begun = true
		w.since = now
	}
	w.done = now-w.since >= warmupLimit || synchronised()
	return w.done
}

// warmingUp tells whether requests are better placed by another router. With
// shared engines it never is: nobody else places on the engines owned here.
func (r *Router) warmingUp() bool {
	if r.options.Settings.IndexReplicas > 0 || r.warmup.over(r.clock.Now(), r.synchronised) {
		return false
	}
	return len(r.otherRouters(1)) > 0
}

func (r *Router) synchronised() bool {
	known := false
	r.placer.do(func(_ time.Duration, core *placement.Core) { known = core.Synchronised() })
	return known
}
