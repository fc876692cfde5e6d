package prefixindex

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// snapshotLoad is a snapshot that is being stored in the index.
type snapshotLoad struct {
	replacement *Replacement
	sequence    uint64
	hashes      []fleet.BlockHash
}

// ApplySnapshot replaces the run's blocks by a snapshot and replays later events. It returns false,
// without effect, if the snapshot is of another incarnation or older than the applied events. Its
// duration grows with the snapshot; BeginSnapshot and ContinueSnapshot do the same in steps.
func (f *Feed) ApplySnapshot(now time.Duration, snapshot engine.CacheSnapshot) bool {
	if !f.BeginSnapshot(snapshot) {
		return false
	}
	return f.ContinueSnapshot(now, len(snapshot.Hashes))
}

// BeginSnapshot starts to load a snapshot, which ContinueSnapshot stores. The old blocks stay valid
// until it is complete. It returns false under the same conditions as ApplySnapshot. It aborts an
// unfinished earlier snapshot.
func (f *Feed) BeginSnapshot(snapshot engine.CacheSnapshot) bool {
	if snapshot.Incarnation != f.run.Incarnation {
		f.counts.StaleRuns++
		return false
	}
	if snapshot.Sequence < f.applied {
		f.counts.StaleSnapshots++
		return false
	}
	f.AbortSnapshot()
	// Events are kept for replay from here on, as after a loss.
	f.outOfSync = true
	f.loading = &snapshotLoad{
		replacement: f.index.BeginReplace(f.run),
		sequence:    snapshot.Sequence,
		hashes:      snapshot.Hashes,
	}
	return true
}

// ContinueSnapshot stores up to limit more blocks of the snapshot. It returns true when the
// snapshot has taken effect.
func (f *Feed) ContinueSnapshot(now time.Duration, limit int) bool {
	if f.loading == nil {
		return false
	}
	piece := f.loading.hashes[:min(limit, len(f.loading.hashes))]
	f.loading.replacement.Store(piece)
	f.loading.hashes = f.loading.hashes[len(piece):]
	if len(f.loading.hashes) > 0 {
		return false
	}
	return f.finishSnapshot(now)
}

// AbortSnapshot aborts an unfinished snapshot. Call it before dropping the feed, to release the
// index's memory.
func (f *Feed) AbortSnapshot() {
	if f.loading == nil {
		return
	}
	f.loading.replacement.Abort()
	f.loading = nil
}

func (f *Feed) finishSnapshot(now time.Duration) bool {
	load := f.loading
	f.loading = nil
	if !load.replacement.Commit() {
		return false
	}
	f.counts.Snapshots++
	f.applied = load.sequence
	f.buffered = slices.DeleteFunc(f.buffered, func(event engine.CacheEvent) bool {
		return event.Sequence <= load.sequence
	})
	f.outOfSync = false
	f.applyBuffered()
	f.checkRemainingGap(now)
	return true
}

// checkRemainingGap decides, after a snapshot, whether events missing beyond it may still arrive or
// count as lost.
func (f *Feed) checkRemainingGap(now time.Duration) {
	f.gapSince = now
	if f.LastReceived()-f.applied > f.options.ReorderWindow {
		f.markOutOfSync()
	}
}
