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
	current atomic.Pointer[ActiveTable]
	mutex   sync.Mutex
	updated chan struct{}
}

// ActiveTable is a table with where it came from.
type ActiveTable struct {
	Table *Table
	// Revision is the store's revision of the document, by which newer is told.
	Revision fleet.Revision
	// InstalledAt is when this process took it over, on its steady clock.
	InstalledAt time.Duration
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{updated: make(chan struct{})} }

// Current returns what is in force, or nil before the first table.
func (h *Holder) Current() *ActiveTable { return h.current.Load() }

// Updated returns a channel that is closed at the next change. Take it before
// Current, so that no change is missed.
func (h *Holder) Updated() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.updated
}

// InstallIfNewer takes a table over if it is newer, and tells whether it did.
func (h *Holder) InstallIfNewer(now time.Duration, revision fleet.Revision, table *Table) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if held := h.current.Load(); held != nil && held.Revision >= revision {
		return false
	}
	h.current.Store(&ActiveTable{Table: table, Revision: revision, InstalledAt: now})
	close(h.updated)
	h.updated = make(chan struct{})
	return true
}
