package router

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/placement"
)

// warmupLimit limits how long a started router hands requests to others, since an engine may never
// answer.
const warmupLimit = 3 * time.Second

// warmup tracks whether a started router is still missing the caches and queues of its engines.
// Placing requests before that would recompute prefixes that are already cached. It is safe for
// concurrent use.
type warmup struct {
	mutex     sync.Mutex
	isStarted bool
	startedAt time.Duration
	isDone    bool
}

// isOver reports whether the engines are synchronized or the warm-up has reached its time limit.
// Once true, it stays true.
func (w *warmup) isOver(now time.Duration, synchronized func() bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.isDone {
		return true
	}
	if !w.isStarted {
		w.isStarted = true
		w.startedAt = now
	}
	w.isDone = now-w.startedAt >= warmupLimit || synchronized()
	return w.isDone
}

// isWarmingUp reports whether another router should place requests instead. It is always false when
// routers share engines, because only the owners place requests on an engine.
func (r *Router) isWarmingUp() bool {
	if r.options.Settings.IndexReplicas > 0 || r.warmup.isOver(r.clock.Now(), r.isSynchronized) {
		return false
	}
	return len(r.otherRouters(1)) > 0
}

func (r *Router) isSynchronized() bool {
	synchronized := false
	r.placer.do(func(_ time.Duration, core *placement.Core) { synchronized = core.IsSynchronized() })
	return synchronized
}
