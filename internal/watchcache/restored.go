package watchcache

import (
	"bytes"
	"cmp"
	"hash/maphash"
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// LostRows is what happens to the rows of a former epoch that a complete update of a restored store
// does not list. Such a row was written after the copy was made, or deleted since the store was
// restored.
type LostRows int

// Treatments of lost rows.
const (
	// DeleteLostRows deletes them until their writers have written them again.
	DeleteLostRows LostRows = iota
	// KeepLostRows keeps them: what the store has acknowledged stays in force, and its writer is to
	// write it again.
	KeepLostRows
	// EvictLostRows removes them without marking them as deleted. The owner of the cache finds them
	// in the result, and writes them again.
	EvictLostRows
)

// LatestEpoch returns the latest epoch of the store that the update is of.
func (u *Update) LatestEpoch() fleet.StoreEpoch {
	return max(u.Revision, u.WatchedRevision).Epoch()
}

// WriterSequence orders the writes of one row by its writer, across epochs of the store. The zero
// value means that the position is unknown.
type WriterSequence struct {
	// Run orders the runs of a writer that counts its writes from the start of each run; 0 for other
	// writers.
	Run uint64
	// Number increases with each change that the writer makes.
	Number uint64
}

// compare returns a negative number if s is before other, and a positive one if it is after.
func (s WriterSequence) compare(other WriterSequence) int {
	return cmp.Or(cmp.Compare(s.Run, other.Run), cmp.Compare(s.Number, other.Number))
}

func (s WriterSequence) isKnown() bool { return s != WriterSequence{} }

// isNewer reports whether a row replaces the existing row or tombstone of its key. isListed is set for
// a row of a complete update.
//
// In different epochs the writer's sequence decides. A row with the sequence of the existing one is the
// same write: it moves the row to its new epoch. If it is listed, it doesn't undo a deletion, since the
// copy may have been made before that. Without sequences the higher epoch decides, unless the row is
// recognized as an earlier state, which the copy holds at the number that it had in the former epoch.
func (c *Cache) isNewer(row *Row, existing *entry, isListed bool) bool {
	if row.Revision.Epoch() == existing.Revision.Epoch() {
		return row.Revision > existing.Revision
	}
	if !row.Deleted && !existing.Deleted && bytes.Equal(row.Value, existing.Value) {
		// Most rows of a restored table are unchanged, and reading the sequences is slow.
		return row.Revision > existing.Revision
	}
	if existing.Deleted && existing.replaced(row.Revision) {
		return false
	}
	incoming := c.writerSequenceOf(&entry{Row: *row})
	kept := c.writerSequenceOf(existing)
	if !incoming.isKnown() || !kept.isKnown() {
		return row.Revision > existing.Revision && !existing.wasEarlier(row)
	}
	if order := incoming.compare(kept); order != 0 {
		return order > 0
	}
	undoesDeletion := isListed && existing.Deleted
	return row.Revision > existing.Revision && !undoesDeletion
}

// writerSequenceOf returns the writer's sequence of a row, or of the row that a tombstone has
// replaced.
func (c *Cache) writerSequenceOf(stored *entry) WriterSequence {
	if stored.Deleted {
		return stored.writerSequence
	}
	if c.options.WriterSequence == nil || stored.Key == "" {
		return WriterSequence{}
	}
	return c.options.WriterSequence(stored.Key, stored.Value)
}

// maxEarlierStates bounds the states that are remembered of a row.
const maxEarlierStates = 8

// earlierState identifies a state that a row had.
type earlierState struct {
	revision fleet.Revision
	// hash is that of the value.
	hash uint64
}

// hashSeed makes the hashes of values unpredictable.
var hashSeed = maphash.MakeSeed()

// withEarlier returns the earlier states of a row together with its current one.
func (e *entry) withEarlier() []earlierState {
	earlier := e.earlier[max(0, len(e.earlier)+1-maxEarlierStates):]
	return append(slices.Clone(earlier), earlierState{revision: e.Revision, hash: maphash.Bytes(hashSeed, e.Value)})
}

// replaced reports whether the tombstone has replaced a row with the number of a revision. The value
// may differ, since a writer may change its sequence without a new revision.
func (e *entry) replaced(revision fleet.Revision) bool {
	return len(e.earlier) > 0 && e.earlier[len(e.earlier)-1].hasNumberOf(revision)
}

// wasEarlier reports whether a row is an earlier state of this one.
func (e *entry) wasEarlier(row *Row) bool {
	hash := maphash.Bytes(hashSeed, row.Value)
	return slices.ContainsFunc(e.earlier, func(state earlierState) bool { return state.hasNumberOf(row.Revision) && state.hash == hash })
}

// hasNumberOf reports whether the state had the number of a revision of a later epoch.
func (s earlierState) hasNumberOf(revision fleet.Revision) bool {
	return s.revision.Number() == revision.Number() && s.revision.Epoch() < revision.Epoch()
}
