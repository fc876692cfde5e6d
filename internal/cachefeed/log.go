// Package cachefeed lets a node that follows caches tell others what has changed in them, in
// a few bytes a change, so that one node of a zone reads a cache's events and the nodes of
// other zones ask that one.
//
// A Log keeps what the caches hold and the last changes, in order. A follower names how far
// it has seen (Cursor) and gets what is newer, folded to the last change of each part, or
// everything if the log doesn't reach back so far. A Selector says whom a follower asks.
//
// The package does no I/O and reads no clock. A Log and a Selector aren't safe for
// concurrent use.
package cachefeed

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// DefaultCapacity is the number of changes that a log keeps: at some 30 changes a second and
// cache, and 20 caches in a zone, those of 13 seconds, in 0.4 MB.
const DefaultCapacity = 8 << 10

// Change tells that a cache holds a part, or has dropped it.
type Change struct {
	Block  fleet.BlockHash
	Stored bool
}

// Cursor is a position in a log. The zero value is before everything.
type Cursor struct {
	// Generation names the log: another run of the node has another one.
	Generation uint64
	// Sequence is the number of changes up to the position.
	Sequence uint64
}

// Update is what has changed in one cache. Of parts named twice the last change counts.
type Update struct {
	Cache fleet.EngineID
	// Reset is set if what was known of the cache before doesn't hold any more.
	Reset bool
	// Lost is set if the cache can't be followed now, and nothing is known of it.
	Lost    bool
	Stored  []fleet.BlockHash
	Removed []fleet.BlockHash
}

// Changes returns the parts that are held and dropped since.
func (u *Update) Changes() []Change {
	changes := make([]Change, 0, len(u.Stored)+len(u.Removed))
	for _, part := range u.Stored {
		changes = append(changes, Change{Block: part, Stored: true})
	}
	for _, part := range u.Removed {
		changes = append(changes, Change{Block: part})
	}
	return changes
}

// Delta is what a follower lacks.
type Delta struct {
	// Complete is set if Updates name all caches that the log knows of, so that any other is lost.
	Complete bool
	Updates  []Update
	Next     Cursor
}

// entryKind tells what an entry says.
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

// Log is what one node knows of caches, and the last changes.
type Log struct {
	generation uint64
	capacity   int
	// firstSequence is the sequence of the oldest entry that is kept.
	firstSequence uint64
	entries       []entry
	caches        map[fleet.EngineID]map[fleet.BlockHash]struct{}
}

// NewLog returns a log that knows nothing. The generation must differ from that of any
// other log which followers may have seen; kept bounds the changes that it keeps, and 0 takes
// DefaultKept.
func NewLog(generation uint64, kept int) *Log {
	if kept <= 0 {
		kept = DefaultCapacity
	}
	return &Log{generation: generation, capacity: kept, caches: make(map[fleet.EngineID]map[fleet.BlockHash]struct{})}
}

// Observe takes in changes of a cache, in order. fresh is set if what was known of it
// before doesn't hold any more.
func (l *Log) Observe(cache fleet.EngineID, fresh bool, changes []Change) {
	parts := l.caches[cache]
	if parts == nil || fresh {
		parts = make(map[fleet.BlockHash]struct{})
		l.caches[cache] = parts
		l.append(entry{cache: cache, kind: entryReset})
	}
	for _, change := range changes {
		_, known := parts[change.Block]
		if known == change.Stored {
			continue
		}
		if change.Stored {
			parts[change.Block] = struct{}{}
			l.append(entry{cache: cache, block: change.Block, kind: entryStored})
			continue
		}
		delete(parts, change.Block)
		l.append(entry{cache: cache, block: change.Block, kind: entryRemoved})
	}
	l.trim()
}

// MarkLost takes in that a cache isn't followed any more.
func (l *Log) MarkLost(cache fleet.EngineID) {
	if _, known := l.caches[cache]; !known {
		return
	}
	delete(l.caches, cache)
	l.append(entry{cache: cache, kind: entryLost})
	l.trim()
}

func (l *Log) append(next entry) { l.entries = append(l.entries, next) }

// trim drops the oldest entries. It lets twice as many gather, so that each is moved once.
func (l *Log) trim() {
	if len(l.entries) < 2*l.capacity {
		return
	}
	excess := len(l.entries) - l.capacity
	l.firstSequence += uint64(excess)
	l.entries = slices.Clone(l.entries[excess:])
}

// Next is the position behind the last change.
func (l *Log) Next() Cursor {
	return Cursor{Generation: l.generation, Sequence: l.firstSequence + uint64(len(l.entries))}
}

// Caches returns the number of caches of which the log knows.
func (l *Log) Caches() int { return len(l.caches) }

// HasDelta tells whether the log has anything that a question asks for.
func (l *Log) HasDelta(question Query) bool {
	return question.After != l.Next() || slices.ContainsFunc(question.Missing, func(cache fleet.EngineID) bool {
		_, known := l.caches[cache]
		return known
	})
}

// Delta returns what a follower lacks.
func (l *Log) Delta(question Query) Delta {
	news := l.deltaAfter(question.After)
	if news.Complete {
		return news
	}
	for _, cache := range question.Missing {
		if _, known := l.caches[cache]; !known {
			continue
		}
		news.Updates = slices.DeleteFunc(news.Updates, func(update Update) bool { return update.Cache == cache })
		news.Updates = append(news.Updates, l.cacheSnapshot(cache))
	}
	return news
}

// deltaAfter returns what comes deltaAfter a position.
func (l *Log) deltaAfter(cursor Cursor) Delta {
	next := l.Next()
	if cursor.Generation != l.generation || cursor.Sequence < l.firstSequence || cursor.Sequence > next.Sequence {
		return Delta{Complete: true, Updates: l.snapshot(), Next: next}
	}
	return Delta{Updates: fold(l.entries[cursor.Sequence-l.firstSequence:]), Next: next}
}

// snapshot returns all that the log knows.
func (l *Log) snapshot() []Update {
	updates := make([]Update, 0, len(l.caches))
	for cache := range l.caches {
		updates = append(updates, l.cacheSnapshot(cache))
	}
	return updates
}

// cacheSnapshot returns all that the log knows of one cache.
func (l *Log) cacheSnapshot(cache fleet.EngineID) Update {
	parts := l.caches[cache]
	update := Update{Cache: cache, Reset: true, Stored: make([]fleet.BlockHash, 0, len(parts))}
	for part := range parts {
		update.Stored = append(update.Stored, part)
	}
	return update
}

// cacheDelta is what entries say of one cache.
type cacheDelta struct {
	reset  bool
	lost   bool
	blocks map[fleet.BlockHash]bool
}

// fold returns what entries say, by cache.
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

func (f *cacheDelta) apply(next entry) {
	switch next.kind {
	case entryReset, entryLost:
		f.reset, f.lost = next.kind == entryReset, next.kind == entryLost
		clear(f.blocks)
	default:
		f.blocks[next.block] = next.kind == entryStored
	}
}

func (f *cacheDelta) update(cache fleet.EngineID) Update {
	update := Update{Cache: cache, Reset: f.reset, Lost: f.lost}
	for part, isHeld := range f.blocks {
		if isHeld {
			update.Stored = append(update.Stored, part)
		} else if !f.reset {
			update.Removed = append(update.Removed, part)
		}
	}
	return update
}
