// Package bodymemory bounds the memory that the bodies of requests take together.
//
// A body is held from its first byte to the end of its request, since the request may have to be sent
// again. Without a bound over all of them, callers decide how much memory the process takes.
package bodymemory

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// ErrNoMemory means that the bodies under way leave no room for another one.
var ErrNoMemory = errors.New("no memory for another body")

// Budget is a number of bytes that requests share. Those that wait get theirs in the order of their
// priorities, and of their arrival within one. It is safe for concurrent use.
type Budget struct {
	mutex   sync.Mutex
	limit   int64
	used    int64
	waiting []*waiter
}

// waiter is a request that waits for its bytes.
type waiter struct {
	bytes    int64
	priority int
	granted  chan struct{}
}

// New returns a budget of limit bytes; 0 means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that requests hold.
func (b *Budget) Used() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// TryAcquire takes bytes if they are free and nobody waits. It reports whether they were.
func (b *Budget) TryAcquire(bytes int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.waiting) > 0 || !b.fits(bytes) {
		return false
	}
	b.used += bytes
	return true
}

// Acquire takes bytes. It waits for them until the context ends, and then returns ErrNoMemory. 0 is the
// most urgent priority.
func (b *Budget) Acquire(ctx context.Context, bytes int64, priority int) error {
	if b.TryAcquire(bytes) {
		return nil
	}
	waiting := b.enqueue(bytes, priority)
	select {
	case <-waiting.granted:
		return nil
	case <-ctx.Done():
		return b.abandon(waiting)
	}
}

// Release returns bytes.
func (b *Budget) Release(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= bytes
	b.grant()
}

// fits reports whether bytes are free. A body that exceeds the limit fits alone. The mutex must be held.
func (b *Budget) fits(bytes int64) bool {
	return b.limit <= 0 || b.used == 0 || b.used+bytes <= b.limit
}

func (b *Budget) enqueue(bytes int64, priority int) *waiter {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	waiting := &waiter{bytes: bytes, priority: priority, granted: make(chan struct{})}
	index := slices.IndexFunc(b.waiting, func(other *waiter) bool { return other.priority > priority })
	if index < 0 {
		index = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, index, waiting)
	b.grant()
	return waiting
}

// grant serves the waiters from the front as long as their bytes are free. The mutex must be held.
func (b *Budget) grant() {
	for len(b.waiting) > 0 && b.fits(b.waiting[0].bytes) {
		next := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.used += next.bytes
		close(next.granted)
	}
}

// abandon takes a waiter out of the queue. It returns nil if the waiter was granted its bytes meanwhile.
func (b *Budget) abandon(waiting *waiter) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	index := slices.Index(b.waiting, waiting)
	if index < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, index, index+1)
	b.grant()
	return ErrNoMemory
}
