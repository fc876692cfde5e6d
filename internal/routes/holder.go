package routes

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Holder holds the active table. Its revision only increases, so a late or stale read can't bring back
// an older table. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[ActiveTable]
	mutex   sync.Mutex
	updated chan struct{}
}

// ActiveTable is a table with its revision and the time of its installation.
type ActiveTable struct {
	Table *Table
	// Revision is the store's revision of the document. It orders tables.
	Revision fleet.Revision
	// InstalledAt is when this process installed the table, on its steady clock.
	InstalledAt time.Duration
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{updated: make(chan struct{})} }

// Current returns the active table, or nil before the first one.
func (h *Holder) Current() *ActiveTable { return h.current.Load() }

// Updated returns a channel that is closed at the next change. Call it before Current to miss no
// change.
func (h *Holder) Updated() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.updated
}

// InstallIfNewer installs a table if its revision is higher, and reports whether it did.
func (h *Holder) InstallIfNewer(now time.Duration, revision fleet.Revision, table *Table) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if active := h.current.Load(); active != nil && active.Revision >= revision {
		return false
	}
	h.current.Store(&ActiveTable{Table: table, Revision: revision, InstalledAt: now})
	close(h.updated)
	h.updated = make(chan struct{})
	return true
}
