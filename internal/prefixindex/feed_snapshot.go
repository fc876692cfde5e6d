package prefixindex

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// snapshotLoad is a snapshot that is being brought into the index.
type snapshotLoad struct {
	replacement *Replacement
	sequence    uint64
	hashes      []fleet.BlockHash
}

// ApplySnapshot replaces the run's blocks by a snapshot and replays the events
// after it. It returns false, and changes nothing, when the snapshot is of
// another incarnation or older than what is already applied. Its time grows
// with the snapshot; BeginSnapshot does the same in pieces.
func (f *Feed) ApplySnapshot(now time.Duration, snapshot engine.CacheSnapshot) bool {
	if !f.BeginSnapshot(snapshot) {
		return false
	}
	return f.ContinueSnapshot(now, len(snapshot.Hashes))
}

// BeginSnapshot takes a snapshot that ContinueSnapshot then stores. Until that
// is done the old blocks go on counting. It returns false like ApplySnapshot;
// an unfinished earlier snapshot is given up.
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
	// From here on events are kept for replay, as after a loss.
	f.outOfSync = true
	f.loading = &snapshotLoad{
		replacement: f.index.BeginReplace(f.run),
		sequence:    snapshot.Sequence,
		hashes:      snapshot.Hashes,
	}
	return true
}

// ContinueSnapshot stores up to limit more blocks of the begun snapshot. It
// returns true once when the snapshot is in force.
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

// AbortSnapshot gives up a begun snapshot. It must be called when the feed is
// dropped, so that the index can use the memory again.
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

// checkRemainingGap decides, after a snapshot, whether events missing beyond it may
// still come or are lost too.
func (f *Feed) checkRemainingGap(now time.Duration) {
	f.gapSince = now
	if f.After()-f.applied > f.options.ReorderWindow {
		f.markOutOfSync()
	}
}
