// Package cachefeed distributes the changes of caches between nodes: one node of a zone reads the
// events of a cache, and the nodes of other zones query that node for deltas.
//
// A Log holds the current content of the caches and the latest changes, in order. A follower sends
// its position (Cursor) and gets the later changes, reduced to the last one of each block, or a
// snapshot if the log does not reach back that far. A Selector chooses the node to query.
//
// The package has no I/O and no clock. A Log and a Selector are not safe for concurrent use.
package cachefeed

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// DefaultCapacity is the default number of changes that a log keeps: those of 13 seconds at about 30
// changes per second and cache and 20 caches in a zone, in 0.4 MB.
const DefaultCapacity = 8 << 10

// Change means that a cache has stored or removed a block.
type Change struct {
	Block  fleet.BlockHash
	Stored bool
}

// Cursor is a position in a log. The zero value is the start.
type Cursor struct {
	// Generation identifies the log; it differs between runs of a node.
	Generation uint64
	// Sequence is the number of changes before the position.
	Sequence uint64
}

// Update is the set of changes of a cache, reduced to the last change of each block.
type Update struct {
	Cache fleet.EngineID
	// Reset is set if the earlier state of the cache is invalid.
	Reset bool
	// Lost is set if the cache cannot be followed at present and its state is unknown.
	Lost    bool
	Stored  []fleet.BlockHash
	Removed []fleet.BlockHash
}

// Changes returns the update as a list of changes.
func (u *Update) Changes() []Change {
	changes := make([]Change, 0, len(u.Stored)+len(u.Removed))
	for _, block := range u.Stored {
		changes = append(changes, Change{Block: block, Stored: true})
	}
	for _, block := range u.Removed {
		changes = append(changes, Change{Block: block})
	}
	return changes
}

// Delta holds the updates that a follower is missing.
type Delta struct {
	// Complete is set if Updates covers all caches in the log; any other cache is lost.
	Complete bool
	Updates  []Update
	Next     Cursor
}

// entryKind is the kind of a log entry.
type entryKind uint8

const (
	entryStored entryKind = iota
	entryRemoved
	entryReset
	entryLost
)

type entry struct {
	cache fleet.EngineID
	block fleet.BlockHash
	kind  entryKind
}

// Log holds the content of the caches that a node follows, and the latest changes.
type Log struct {
	generation uint64
	capacity   int
	// firstSequence is the sequence number of the oldest entry.
	firstSequence uint64
	entries       []entry
	caches        map[fleet.EngineID]map[fleet.BlockHash]struct{}
}

// NewLog returns an empty log. The generation must differ from that of any other log that its
// followers may have seen. capacity is the number of changes to keep; 0 means DefaultCapacity.
func NewLog(generation uint64, capacity int) *Log {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Log{generation: generation, capacity: capacity, caches: make(map[fleet.EngineID]map[fleet.BlockHash]struct{})}
}

// Observe records changes of a cache, in order. reset is set if the earlier state of the cache is
// invalid.
func (l *Log) Observe(cache fleet.EngineID, reset bool, changes []Change) {
	blocks := l.caches[cache]
	if blocks == nil || reset {
		blocks = make(map[fleet.BlockHash]struct{})
		l.caches[cache] = blocks
		l.append(entry{cache: cache, kind: entryReset})
	}
	for _, change := range changes {
		_, found := blocks[change.Block]
		if found == change.Stored {
			continue
		}
		if change.Stored {
			blocks[change.Block] = struct{}{}
			l.append(entry{cache: cache, block: change.Block, kind: entryStored})
			continue
		}
		delete(blocks, change.Block)
		l.append(entry{cache: cache, block: change.Block, kind: entryRemoved})
	}
	l.trim()
}

// MarkLost records that a cache is no longer followed.
func (l *Log) MarkLost(cache fleet.EngineID) {
	if _, found := l.caches[cache]; !found {
		return
	}
	delete(l.caches, cache)
	l.append(entry{cache: cache, kind: entryLost})
	l.trim()
}

func (l *Log) append(next entry) { l.entries = append(l.entries, next) }

// trim removes the oldest entries. It lets the log grow to twice its capacity, so that each entry
// is copied once on average.
func (l *Log) trim() {
	if len(l.entries) < 2*l.capacity {
		return
	}
	excess := len(l.entries) - l.capacity
	l.firstSequence += uint64(excess)
	l.entries = slices.Clone(l.entries[excess:])
}

// Next returns the position after the last change.
func (l *Log) Next() Cursor {
	return Cursor{Generation: l.generation, Sequence: l.firstSequence + uint64(len(l.entries))}
}

// Caches returns the number of caches in the log.
func (l *Log) Caches() int { return len(l.caches) }

// HasDelta reports whether the log has anything new for a query.
func (l *Log) HasDelta(query Query) bool {
	return query.After != l.Next() || slices.ContainsFunc(query.Missing, func(cache fleet.EngineID) bool {
		_, found := l.caches[cache]
		return found
	})
}

// Delta returns the updates that a query asks for.
func (l *Log) Delta(query Query) Delta {
	delta := l.deltaAfter(query.After)
	if delta.Complete {
		return delta
	}
	for _, cache := range query.Missing {
		if _, found := l.caches[cache]; !found {
			continue
		}
		delta.Updates = slices.DeleteFunc(delta.Updates, func(update Update) bool { return update.Cache == cache })
		delta.Updates = append(delta.Updates, l.cacheSnapshot(cache))
	}
	return delta
}

// deltaAfter returns the updates after a position, or a complete delta if the position is not in
// the log.
func (l *Log) deltaAfter(cursor Cursor) Delta {
	next := l.Next()
	if cursor.Generation != l.generation || cursor.Sequence < l.firstSequence || cursor.Sequence > next.Sequence {
		return Delta{Complete: true, Updates: l.snapshot(), Next: next}
	}
	return Delta{Updates: fold(l.entries[cursor.Sequence-l.firstSequence:]), Next: next}
}

// snapshot returns the content of all caches.
func (l *Log) snapshot() []Update {
	updates := make([]Update, 0, len(l.caches))
	for cache := range l.caches {
		updates = append(updates, l.cacheSnapshot(cache))
	}
	return updates
}

// cacheSnapshot returns the content of one cache.
func (l *Log) cacheSnapshot(cache fleet.EngineID) Update {
	blocks := l.caches[cache]
	update := Update{Cache: cache, Reset: true, Stored: make([]fleet.BlockHash, 0, len(blocks))}
	for block := range blocks {
		update.Stored = append(update.Stored, block)
	}
	return update
}

// cacheDelta accumulates the entries of one cache.
type cacheDelta struct {
	reset  bool
	lost   bool
	blocks map[fleet.BlockHash]bool
}

// fold reduces entries to one update per cache.
func fold(entries []entry) []Update {
	caches := make(map[fleet.EngineID]*cacheDelta)
	for _, next := range entries {
		cache := caches[next.cache]
		if cache == nil {
			cache = &cacheDelta{blocks: make(map[fleet.BlockHash]bool)}
			caches[next.cache] = cache
		}
		cache.apply(next)
	}
	updates := make([]Update, 0, len(caches))
	for name, cache := range caches {
		updates = append(updates, cache.update(name))
	}
	return updates
}

func (d *cacheDelta) apply(next entry) {
	switch next.kind {
	case entryReset, entryLost:
		d.reset, d.lost = next.kind == entryReset, next.kind == entryLost
		clear(d.blocks)
	default:
		d.blocks[next.block] = next.kind == entryStored
	}
}

func (d *cacheDelta) update(cache fleet.EngineID) Update {
	update := Update{Cache: cache, Reset: d.reset, Lost: d.lost}
	for block, stored := range d.blocks {
		if stored {
			update.Stored = append(update.Stored, block)
		} else if !d.reset {
			update.Removed = append(update.Removed, block)
		}
	}
	return update
}
