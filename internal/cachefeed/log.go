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

// DefaultKept is the number of changes that a log keeps: at some 30 changes a second and
// cache, and 20 caches in a zone, those of 13 seconds, in 0.4 MB.
const DefaultKept = 8 << 10

// Change tells that a cache holds a part, or has dropped it.
type Change struct {
	Part fleet.BlockHash
	Held bool
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
	// Anew is set if what was known of the cache before doesn't hold any more.
	Anew bool
	// Lost is set if the cache can't be followed now, and nothing is known of it.
	Lost    bool
	Held    []fleet.BlockHash
	Dropped []fleet.BlockHash
}

// Changes returns the parts that are held and dropped since.
func (u *Update) Changes() []Change {
	changes := make([]Change, 0, len(u.Held)+len(u.Dropped))
	for _, part := range u.Held {
		changes = append(changes, Change{Part: part, Held: true})
	}
	for _, part := range u.Dropped {
		changes = append(changes, Change{Part: part})
	}
	return changes
}

// News is what a follower lacks.
type News struct {
	// Whole is set if Updates name all caches that the log knows of, so that any other is lost.
	Whole   bool
	Updates []Update
	Next    Cursor
}

// kind tells what an entry says.
type kind uint8

const (
	held kind = iota
	dropped
	anew
	lost
)

type entry struct {
	cache fleet.EngineID
	part  fleet.BlockHash
	kind  kind
}

// Log is what one node knows of caches, and the last changes.
type Log struct {
	generation uint64
	kept       int
	// first is the sequence of the oldest entry that is kept.
	first   uint64
	entries []entry
	caches  map[fleet.EngineID]map[fleet.BlockHash]struct{}
}

// NewLog returns a log that knows nothing. The generation must differ from that of any
// other log which followers may have seen; kept bounds the changes that it keeps, and 0 takes
// DefaultKept.
func NewLog(generation uint64, kept int) *Log {
	if kept <= 0 {
		kept = DefaultKept
	}
	return &Log{generation: generation, kept: kept, caches: make(map[fleet.EngineID]map[fleet.BlockHash]struct{})}
}

// Observe takes in changes of a cache, in order. fresh is set if what was known of it
// before doesn't hold any more.
func (l *Log) Observe(cache fleet.EngineID, fresh bool, changes []Change) {
	parts := l.caches[cache]
	if parts == nil || fresh {
		parts = make(map[fleet.BlockHash]struct{})
		l.caches[cache] = parts
		l.append(entry{cache: cache, kind: anew})
	}
	for _, change := range changes {
		_, known := parts[change.Part]
		if known == change.Held {
			continue
		}
		if change.Held {
			parts[change.Part] = struct{}{}
			l.append(entry{cache: cache, part: change.Part, kind: held})
			continue
		}
		delete(parts, change.Part)
		l.append(entry{cache: cache, part: change.Part, kind: dropped})
	}
	l.trim()
}

// Lose takes in that a cache isn't followed any more.
func (l *Log) Lose(cache fleet.EngineID) {
	if _, known := l.caches[cache]; !known {
		return
	}
	delete(l.caches, cache)
	l.append(entry{cache: cache, kind: lost})
	l.trim()
}

func (l *Log) append(next entry) { l.entries = append(l.entries, next) }

// trim drops the oldest entries. It lets twice as many gather, so that each is moved once.
func (l *Log) trim() {
	if len(l.entries) < 2*l.kept {
		return
	}
	excess := len(l.entries) - l.kept
	l.first += uint64(excess)
	l.entries = slices.Clone(l.entries[excess:])
}

// Next is the position behind the last change.
func (l *Log) Next() Cursor {
	return Cursor{Generation: l.generation, Sequence: l.first + uint64(len(l.entries))}
}

// Caches returns the number of caches of which the log knows.
func (l *Log) Caches() int { return len(l.caches) }

// Answers tells whether the log has anything that a question asks for.
func (l *Log) Answers(question Question) bool {
	return question.After != l.Next() || slices.ContainsFunc(question.Missing, func(cache fleet.EngineID) bool {
		_, known := l.caches[cache]
		return known
	})
}

// Answer returns what a follower lacks.
func (l *Log) Answer(question Question) News {
	news := l.after(question.After)
	if news.Whole {
		return news
	}
	for _, cache := range question.Missing {
		if _, known := l.caches[cache]; !known {
			continue
		}
		news.Updates = slices.DeleteFunc(news.Updates, func(update Update) bool { return update.Cache == cache })
		news.Updates = append(news.Updates, l.wholeOf(cache))
	}
	return news
}

// after returns what comes after a position.
func (l *Log) after(cursor Cursor) News {
	next := l.Next()
	if cursor.Generation != l.generation || cursor.Sequence < l.first || cursor.Sequence > next.Sequence {
		return News{Whole: true, Updates: l.whole(), Next: next}
	}
	return News{Updates: fold(l.entries[cursor.Sequence-l.first:]), Next: next}
}

// whole returns all that the log knows.
func (l *Log) whole() []Update {
	updates := make([]Update, 0, len(l.caches))
	for cache := range l.caches {
		updates = append(updates, l.wholeOf(cache))
	}
	return updates
}

// wholeOf returns all that the log knows of one cache.
func (l *Log) wholeOf(cache fleet.EngineID) Update {
	parts := l.caches[cache]
	update := Update{Cache: cache, Anew: true, Held: make([]fleet.BlockHash, 0, len(parts))}
	for part := range parts {
		update.Held = append(update.Held, part)
	}
	return update
}

// folded is what entries say of one cache.
type folded struct {
	anew  bool
	lost  bool
	parts map[fleet.BlockHash]bool
}

// fold returns what entries say, by cache.
func fold(entries []entry) []Update {
	caches := make(map[fleet.EngineID]*folded)
	for _, next := range entries {
		cache := caches[next.cache]
		if cache == nil {
			cache = &folded{parts: make(map[fleet.BlockHash]bool)}
			caches[next.cache] = cache
		}
		cache.take(next)
	}
	updates := make([]Update, 0, len(caches))
	for name, cache := range caches {
		updates = append(updates, cache.update(name))
	}
	return updates
}

func (f *folded) take(next entry) {
	switch next.kind {
	case anew, lost:
		f.anew, f.lost = next.kind == anew, next.kind == lost
		clear(f.parts)
	default:
		f.parts[next.part] = next.kind == held
	}
}

func (f *folded) update(cache fleet.EngineID) Update {
	update := Update{Cache: cache, Anew: f.anew, Lost: f.lost}
	for part, isHeld := range f.parts {
		if isHeld {
			update.Held = append(update.Held, part)
		} else if !f.anew {
			update.Dropped = append(update.Dropped, part)
		}
	}
	return update
}
