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
	mutex     sync.Mutex
	isStarted bool
	startedAt time.Duration
	isDone    bool
}

// isOver tells whether the router knows its engines, or has waited long enough.
// Once it is true it stays so.
func (w *warmup) isOver(now time.Duration, synchronised func() bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isDone {
		return true
	}
	if !w.isStarted {
		w.isStarted = true
		w.startedAt = now
	}
	w.isDone = now-w.startedAt >= warmupLimit || synchronised()
	return w.isDone
}

// isWarmingUp tells whether requests are better placed by another router. With
// shared engines it never is: nobody else places on the engines owned here.
func (r *Router) isWarmingUp() bool {
	if r.options.Settings.IndexReplicas > 0 || r.warmup.isOver(r.clock.Now(), r.isSynchronised) {
		return false
	}
	return len(r.otherRouters(1)) > 0
}

func (r *Router) isSynchronised() bool {
	known := false
	r.placer.do(func(_ time.Duration, core *placement.Core) { known = core.Synchronised() })
	return known
}
