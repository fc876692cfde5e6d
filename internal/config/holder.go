package config

import (
	"sync"
	"sync/atomic"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// MaxLoggedChanges bounds the changes that a Holder retains for its peers.
const MaxLoggedChanges = 256

// Holder keeps the active configuration of one node. Documents and changes may be offered from
// any source in any order: only a revision higher than the current one is accepted, and a document
// that fails validation never replaces a valid one. Its methods may be called from any goroutine.
type Holder struct {
	current atomic.Pointer[View]

	mutex sync.Mutex
	// changes are consecutive and end at the current revision.
	changes []Change
	updated chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{updated: make(chan struct{})}
}

// Current returns the active configuration, or nil before the first.
func (h *Holder) Current() *View { return h.current.Load() }

// Revision returns the active revision, or 0 before the first.
func (h *Holder) Revision() fleet.Revision {
	if view := h.current.Load(); view != nil {
		return view.Revision()
	}
	return 0
}

// Updated returns a channel that is closed when the next revision is accepted. A caller that must
// not miss a revision calls Updated before Current.
func (h *Holder) Updated() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.updated
}

// OfferSnapshot offers a whole document. It is accepted if its revision is higher than the active
// one. An error means that the document fails validation.
func (h *Holder) OfferSnapshot(document Document) (accepted bool, err error) {
	if document.Revision <= h.Revision() {
		return false, nil
	}
	view, err := NewView(document)
	if err != nil {
		return false, err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if view.Revision() <= h.Revision() {
		return false, nil
	}
	h.changes = nil
	h.install(view)
	return true, nil
}

// OfferChanges offers consecutive changes in ascending order. Changes up to the active revision
// are skipped. If gap is true, a change is missing: those before the gap have been applied, and the
// caller should fetch the changes after Revision. On an error nothing is accepted: a change can't
// be applied or the result fails validation.
func (h *Holder) OfferChanges(changes []Change) (accepted, gap bool, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	document := Document{}
	if view := h.current.Load(); view != nil {
		document = view.Document()
	}
	var applied []Change
	for _, change := range changes {
		if change.Revision <= document.Revision {
			continue
		}
		if change.Revision > document.Revision+1 {
			gap = true
			break
		}
		if document, err = Apply(document, change); err != nil {
			return false, false, err
		}
		applied = append(applied, change)
	}
	if len(applied) == 0 {
		return false, gap, nil
	}
	view, err := NewView(document)
	if err != nil {
		return false, false, err
	}
	h.appendChanges(applied)
	h.install(view)
	return true, gap, nil
}

// ChangesAfter returns the changes from a revision to the active one. If they are no longer
// retained ok is false, and the caller has to send the whole document.
func (h *Holder) ChangesAfter(revision fleet.Revision) (changes []Change, ok bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	current := h.Revision()
	if revision >= current {
		return nil, true
	}
	missing := uint64(current - revision)
	if missing > uint64(len(h.changes)) {
		return nil, false
	}
	return append(changes, h.changes[uint64(len(h.changes))-missing:]...), true
}

// install activates a view. The caller holds the mutex.
func (h *Holder) install(view *View) {
	h.current.Store(view)
	close(h.updated)
	h.updated = make(chan struct{})
}

// appendChanges retains applied changes and drops the oldest ones over the limit. The caller holds
// the mutex.
func (h *Holder) appendChanges(applied []Change) {
	h.changes = append(h.changes, applied...)
	if excess := len(h.changes) - MaxLoggedChanges; excess > 0 {
		h.changes = append([]Change(nil), h.changes[excess:]...)
	}
}
