package prefixindex

import "github.com/tillerfall/tillerfall/internal/fleet"

// Replacement is a new set of blocks for a run, built in steps while lookups still use the old set.
// It has its own slot, which lookups ignore until Commit. Exactly one of Commit and Abort must be
// called.
type Replacement struct {
	index    *Index
	run      fleet.EngineRun
	location runLocation
}

// BeginReplace starts a replacement of a run's blocks.
func (x *Index) BeginReplace(run fleet.EngineRun) *Replacement {
	location := x.allocate(run)
	location.bank.hide(location.slot)
	return &Replacement{index: x, run: run, location: location}
}

// Store adds blocks to the new set.
func (r *Replacement) Store(hashes []fleet.BlockHash) {
	r.index.storeAt(r.location, hashes)
}

// Commit replaces the run's blocks by the new set. It returns false and discards the set if the run
// has been removed.
func (r *Replacement) Commit() bool {
	old, known := r.index.runs[r.run]
	if !known {
		r.Abort()
		return false
	}
	old.bank.retire(old.slot)
	r.location.bank.show(r.location.slot)
	r.index.runs[r.run] = r.location
	return true
}

// Abort discards the new set.
func (r *Replacement) Abort() { r.location.bank.retire(r.location.slot) }

// hide removes a slot from lookups but keeps its entries.
func (b *bank) hide(slot Slot) {
	b.live &^= bit(slot)
	b.hidden |= bit(slot)
}

// show makes a hidden slot live again.
func (b *bank) show(slot Slot) {
	b.hidden &^= bit(slot)
	b.live |= bit(slot)
}
