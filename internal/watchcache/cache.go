// Package watchcache keeps a table of the store in memory, so that a process
// can tell others what it has learnt since any moment.
//
// Invariants. A row is replaced by a newer revision of itself only, whatever the
// order in which updates arrive. A row that went leaves a tombstone. Every
// change gets the next number of the cache's own sequence: who has seen all up to
// a number misses nothing, even where the store tells of an older revision late.
//
// The package has no I/O and no clock. A Cache is safe for concurrent use.
package watchcache

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Row is one row of a table, or the word that it is gone.
type Row struct {
	Key string
	// Revision is the store's revision at which the row was written, or at the
	// latest when it went.
	Revision fleet.Revision
	Value    []byte
	Deleted  bool
}

// Update is what changed in a table, by the word of the store or of a cache.
type Update struct {
	// Revision is the store's revision up to which the store's word goes. Of a
	// complete update, every row that isn't named and not newer is gone.
	Revision fleet.Revision
	// Complete is set if the rows are all that there are, rather than those that
	// changed after the position that was asked for.
	Complete bool
	Rows     []Row
	// WatchedRevision is the store's revision up to which the one that tells has followed changes; 0
	// from the store.
	WatchedRevision fleet.Revision
	// Sequence is the number of the last change in the cache that tells; 0 from
	// the store.
	Sequence uint64
	// StoreTime is the store's steady clock when it gave the answer; 0 if unknown.
	StoreTime time.Duration
	// Filter is set if the word is on a part of the table only, and tells by the key whether
	// a row belongs to it. Of the rest a complete update says nothing: it is dropped.
	Filter func(key string) bool
}

// DefaultMaxTombstones bounds the tombstones of a Cache.
const DefaultMaxTombstones = 4096

// Cache is a table.
type Cache struct {
	mutex sync.Mutex
	rows  map[string]entry
	// snapshotRevision is the highest revision of a complete update: 0 before the first. followed is the
	// one up to which changes were followed since. What is complete goes by snapshotRevision alone: a store
	// that forgets its history may pass over changes just before, and a row that was passed over
	// would count as gone up to followed, and not come back with its own revision.
	snapshotRevision fleet.Revision
	watchedRevision  fleet.Revision
	// partial is set while only a part of the table is kept.
	partial bool
	// changeLog holds the changes by number. Those of rows that changed again are passed over,
	// and dropped when they are half of all.
	changeLog []change
	// sequence is the number of the last change, compacted that of the last
	// tombstone that was dropped.
	sequence       uint64
	prunedSequence uint64
	tombstones     int
	maxTombstones  int
	changed        chan struct{}
}

// entry is a row and the number of the change that brought it.
type entry struct {
	Row
	sequence uint64
}

// change is one number of the sequence and the row that it brought.
type change struct {
	sequence uint64
	key      string
}

// New returns an empty cache. maxTombstones of 0 takes the default.
func New(maxTombstones int) *Cache {
	if maxTombstones <= 0 {
		maxTombstones = DefaultMaxTombstones
	}
	return &Cache{rows: make(map[string]entry), maxTombstones: maxTombstones, changed: make(chan struct{})}
}

// HasSnapshot tells whether the whole table was ever told.
func (c *Cache) HasSnapshot() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshotRevision > 0
}

// Revision returns the store's revision from which changes can be followed; 0 if the table
// was never told.
func (c *Cache) Revision() fleet.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(c.snapshotRevision, c.watchedRevision)
}

// Advance says that changes were followed up to a revision.
func (c *Cache) Advance(revision fleet.Revision) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchedRevision = max(c.watchedRevision, revision)
}

// IsComplete tells whether all of the table is kept, rather than nothing yet or a part.
func (c *Cache) IsComplete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshotRevision > 0 && !c.partial
}

// IsPartial tells whether only a part of the table is kept.
func (c *Cache) IsPartial() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.partial
}

// Changed returns a channel that is closed at the next change. Take it before
// After, so that no change is missed.
func (c *Cache) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// Apply takes an update in and returns the rows that were news.
func (c *Cache) Apply(update *Update) []Row {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var news []Row
	for _, row := range update.Rows {
		if c.applyRow(row) {
			news = append(news, row)
		}
	}
	first := false
	if update.Complete {
		news = append(news, c.deleteMissing(update)...)
		first = c.snapshotRevision == 0
		c.partial = update.Filter != nil
		c.snapshotRevision = max(c.snapshotRevision, update.Revision)
	}
	if len(news) > 0 || first {
		c.pruneTombstones()
		c.pruneChangeLog()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return news
}

// applyRow stores a row if it is newer than the one held, and tells whether that
// changes what there is.
func (c *Cache) applyRow(row Row) bool {
	held, known := c.rows[row.Key]
	if known && row.Revision <= held.Revision {
		return false
	}
	if row.Deleted {
		row.Value = nil
	}
	c.storeRow(row)
	return !row.Deleted || (known && !held.Deleted)
}

// storeRow replaces a row, numbers the change and counts tombstones.
func (c *Cache) storeRow(row Row) {
	if held, known := c.rows[row.Key]; known && held.Deleted {
		c.tombstones--
	}
	if row.Deleted {
		c.tombstones++
	}
	c.sequence++
	c.rows[row.Key] = entry{Row: row, sequence: c.sequence}
	c.changeLog = append(c.changeLog, change{sequence: c.sequence, key: row.Key})
}

// pruneChangeLog drops the changes of rows that changed again or were dropped, once these are
// half of all.
func (c *Cache) pruneChangeLog() {
	if len(c.changeLog) <= 2*len(c.rows)+changeLogSlack {
		return
	}
	c.changeLog = slices.DeleteFunc(c.changeLog, func(old change) bool { return c.rows[old.key].sequence != old.sequence })
}

// changeLogSlack is the number of changes besides twice the rows that are kept in order: a small
// table isn't tidied at each change.
const changeLogSlack = 64

// deleteMissing marks the rows as gone that a complete update doesn't name,
// unless they are newer than it. It returns them in order of their keys.
func (c *Cache) deleteMissing(update *Update) []Row {
	named := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		named[row.Key] = true
	}
	var gone []Row
	for key, held := range c.rows {
		if update.Filter != nil && !update.Filter(key) && !named[key] {
			c.evict(key, &held)
			continue
		}
		if held.Deleted || named[key] || held.Revision > update.Revision {
			continue
		}
		gone = append(gone, Row{Key: key, Revision: max(update.Revision, held.Revision+1), Deleted: true})
	}
	slices.SortFunc(gone, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	for _, row := range gone {
		c.storeRow(row)
	}
	return gone
}

// evict forgets a row without a word: it isn't gone, but not kept any more.
func (c *Cache) evict(key string, held *entry) {
	if held.Deleted {
		c.tombstones--
	}
	delete(c.rows, key)
}

// pruneTombstones drops the older half of the tombstones when there are too many.
func (c *Cache) pruneTombstones() {
	if c.tombstones <= c.maxTombstones {
		return
	}
	sequences := make([]uint64, 0, c.tombstones)
	for _, row := range c.rows {
		if row.Deleted {
			sequences = append(sequences, row.sequence)
		}
	}
	slices.Sort(sequences)
	c.prunedSequence = sequences[len(sequences)/2]
	for key, row := range c.rows {
		if row.Deleted && row.sequence <= c.prunedSequence {
			delete(c.rows, key)
			c.tombstones--
		}
	}
}

// After returns what changed after a number of the sequence, in order. Where
// that isn't known any more, and for 0, it returns a complete update. It returns
// nil while the whole table was never told.
func (c *Cache) After(sequence uint64) *Update { return c.AfterMatching(sequence, nil) }

// AfterMatching is After for the part of the table of which covers tells by the key; nil stands for
// all. It takes time for what has changed, not for what there is: with hundreds of watchers
// of thousands of rows a look at all rows a change and watcher grows with the square of the
// fleet.
func (c *Cache) AfterMatching(sequence uint64, covers func(key string) bool) *Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.snapshotRevision == 0 {
		return nil
	}
	update := &Update{Revision: c.snapshotRevision, WatchedRevision: c.watchedRevision, Sequence: c.sequence, Filter: covers}
	update.Complete = sequence == 0 || sequence < c.prunedSequence
	if update.Complete {
		sequence = 0
	}
	from, _ := slices.BinarySearchFunc(c.changeLog, sequence+1, func(old change, sought uint64) int {
		return cmp.Compare(old.sequence, sought)
	})
	for _, changed := range c.changeLog[from:] {
		row := c.rows[changed.key]
		switch {
		case row.sequence != changed.sequence:
		case update.Complete && row.Deleted && row.Revision <= c.snapshotRevision:
		case covers != nil && !covers(changed.key):
		default:
			update.Rows = append(update.Rows, row.Row)
		}
	}
	return update
}
