package routes

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Holder keeps the table in force. It never goes back: a table is taken over
// only with a higher revision, whatever a late or stale read brings.
type Holder struct {
	current atomic.Pointer[Held]
	mutex   sync.Mutex
	updated chan struct{}
}

// Held is a table with where it came from.
type Held struct {
	Table *Table
	// Revision is the store's revision of the document, by which newer is told.
	Revision fleet.Revision
	// Since is when this process took it over, on its steady clock.
	Since time.Duration
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{updated: make(chan struct{})} }

// Current returns what is in force, or nil before the first table.
func (h *Holder) Current() *Held { return h.current.Load() }

// Updated returns a channel that is closed at the next change. Take it before
// Current, so that no change is missed.
func (h *Holder) Updated() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.updated
}

// Offer takes a table over if it is newer, and tells whether it did.
func (h *Holder) Offer(now time.Duration, revision fleet.Revision, table *Table) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := h.current.Load(); held != nil && held.Revision >= revision {
		return false
	}
	h.current.Store(&Held{Table: table, Revision: revision, Since: now})
	close(h.updated)
	h.updated = make(chan struct{})
	return true
}
