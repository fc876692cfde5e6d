package routes

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Holder holds the active table. A late or stale read can't bring back an older table: within an
// epoch of the store the revision only increases, and over a restoration of the store the document's
// version never decreases. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[ActiveTable]
	mutex   sync.Mutex
	updated chan struct{}
}

// ActiveTable is a table with its revision and the time of its installation.
type ActiveTable struct {
	Table *Table
	// Revision is the store's revision of the document.
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

// InstallIfNewer installs a table if it is newer than the active one, and reports whether it did.
func (h *Holder) InstallIfNewer(now time.Duration, revision fleet.Revision, table *Table) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if active := h.current.Load(); active != nil && !active.isReplacedBy(revision, table) {
		return false
	}
	h.current.Store(&ActiveTable{Table: table, Revision: revision, InstalledAt: now})
	close(h.updated)
	h.updated = make(chan struct{})
	return true
}

// isReplacedBy reports whether a table with a revision is newer than this one. Revisions of different
// epochs of the store don't order documents: a restored store returns an older document at first.
func (a *ActiveTable) isReplacedBy(revision fleet.Revision, table *Table) bool {
	if revision.Epoch() == a.Revision.Epoch() || table.Version() == a.Table.Version() {
		return revision > a.Revision
	}
	return table.Version() > a.Table.Version()
}
