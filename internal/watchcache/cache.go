// Package watchcache keeps a table of the store in memory and serves the changes after any position
// to watchers.
//
// A row is replaced only by a newer revision of itself, in whatever order updates arrive. A deleted
// row leaves a tombstone. Each change gets the next sequence number of the cache, so that a watcher
// that has seen all changes up to a number misses none, even if the store delivers an older
// revision late.
//
// A store that is restored from an older copy gives out revisions again, in the next epoch. Revisions
// order rows within an epoch only. Rows of different epochs are ordered by the sequence numbers that
// their writers put into them, as far as the table has any, so that a restored older row doesn't
// replace the newer one that the store has lost. See restored.go.
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

// Row is a row of a table, or the tombstone of one.
type Row struct {
	Key string
	// Revision is the store's revision at which the row was written. For a deleted row it is the
	// revision by which it was deleted.
	Revision fleet.Revision
	Value    []byte
	Deleted  bool
}

// Update is a set of changes to a table, from the store or from another cache.
type Update struct {
	// Revision is the store's revision up to which the update is valid. A complete update deletes
	// every row that it does not list, unless that row is newer.
	Revision fleet.Revision
	// Complete is set if Rows lists the whole table, rather than the changes after the requested
	// position.
	Complete bool
	Rows     []Row
	// WatchedRevision is the store's revision up to which the sending cache has watched changes; 0
	// from the store.
	WatchedRevision fleet.Revision
	// Sequence is the number of the last change in the sending cache; 0 from the store.
	Sequence uint64
	// StoreTime is the store's monotonic clock at the time of its answer; 0 if unknown.
	StoreTime time.Duration
	// Filter is set if the update covers only a part of the table, and reports whether a key
	// belongs to it. A complete update with a filter evicts all other rows without deleting them.
	Filter func(key string) bool
}

// DefaultMaxTombstones limits the tombstones of a Cache.
const DefaultMaxTombstones = 4096

// Options configures a Cache.
type Options struct {
	// MaxTombstones limits the tombstones. If it is not positive, the default applies.
	MaxTombstones int
	// WriterSequence returns the position that a row's writer has put into its value, or the zero
	// value if there is none. If nil, no row has one.
	WriterSequence func(key string, value []byte) WriterSequence
	// LostRows is what happens to rows that a restored store has lost.
	LostRows LostRows
	// RemembersStates makes the cache recognize earlier states of rows without a writer's sequence. It
	// needs memory for each change of a row. A tombstone always recognizes the row that it replaced.
	RemembersStates bool
}

// Cache is an in-memory copy of a table, or of a part of it.
type Cache struct {
	options Options

	mutex sync.Mutex
	rows  map[string]entry
	// snapshotRevision is the highest revision of a complete update; 0 before the first.
	// watchedRevision is the revision up to which changes have been watched since. Complete updates
	// carry snapshotRevision, not watchedRevision: a store that has compacted its history may skip
	// changes, and a skipped row would be deleted and never return at its own revision.
	snapshotRevision fleet.Revision
	watchedRevision  fleet.Revision
	// partial is set while only a part of the table is kept.
	partial bool
	// changeLog holds the changes in order of their sequence. It may hold outdated changes, of rows
	// that have changed again or been removed, until pruneChangeLog.
	changeLog []change
	// sequence is the number of the last change, prunedSequence that of the last pruned tombstone.
	sequence       uint64
	prunedSequence uint64
	tombstones     int
	changed        chan struct{}
}

// entry is a row and the sequence number of its last change in the cache.
type entry struct {
	Row
	sequence uint64
	// writerSequence is that of the row that a tombstone has replaced.
	writerSequence WriterSequence
	// earlier holds the last states that this one has replaced, oldest first.
	earlier []earlierState
}

// change is a sequence number and the key of the row that changed.
type change struct {
	sequence uint64
	key      string
}

// New returns an empty cache.
func New(options Options) *Cache {
	if options.MaxTombstones <= 0 {
		options.MaxTombstones = DefaultMaxTombstones
	}
	return &Cache{options: options, rows: make(map[string]entry), changed: make(chan struct{})}
}

// HasSnapshot reports whether the cache has received a complete update.
func (c *Cache) HasSnapshot() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshotRevision > 0
}

// SnapshotRevision returns the highest revision of a complete update; 0 before the first.
func (c *Cache) SnapshotRevision() fleet.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshotRevision
}

// Revision returns the store's revision from which to watch for changes; 0 before the first
// complete update.
func (c *Cache) Revision() fleet.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(c.snapshotRevision, c.watchedRevision)
}

// Advance records that changes have been watched up to a revision.
func (c *Cache) Advance(revision fleet.Revision) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchedRevision = max(c.watchedRevision, revision)
}

// IsComplete reports whether the whole table is kept.
func (c *Cache) IsComplete() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.snapshotRevision > 0 && !c.partial
}

// IsPartial reports whether only a part of the table is kept.
func (c *Cache) IsPartial() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.partial
}

// Changed returns a channel that is closed at the next change. Call it before After so as to miss
// no change.
func (c *Cache) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// DroppedRow is a row of an update that was not applied because a newer one is kept.
type DroppedRow struct {
	Key      string
	Revision fleet.Revision
	// KeptRevision is the revision of the row that is kept.
	KeptRevision fleet.Revision
}

// Result is the effect of an update.
type Result struct {
	// Changed lists the rows that changed.
	Changed []Row
	// Dropped lists the rows that are older than the kept ones.
	Dropped []DroppedRow
	// Lost lists the rows of a former epoch that a complete update of a restored store lacks. They
	// have been treated as Options.LostRows says.
	Lost []Row
}

// Apply applies an update and returns the rows that changed.
func (c *Cache) Apply(update *Update) []Row { return c.ApplyWithResult(update).Changed }

// ApplyWithResult applies an update.
func (c *Cache) ApplyWithResult(update *Update) Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var changedRows []Row
	var dropped []DroppedRow
	for _, row := range update.Rows {
		existing, found := c.rows[row.Key]
		if found && row.Revision != existing.Revision && !c.isNewer(&row, &existing, update.Complete) {
			dropped = append(dropped, DroppedRow{Key: row.Key, Revision: row.Revision, KeptRevision: existing.Revision})
		}
		if c.applyRow(row, update.Complete) {
			changedRows = append(changedRows, row)
		}
	}
	var lost []Row
	firstSnapshot := false
	if update.Complete {
		var deleted []Row
		deleted, lost = c.deleteMissing(update)
		changedRows = append(changedRows, deleted...)
		firstSnapshot = c.snapshotRevision == 0
		c.partial = update.Filter != nil
		c.snapshotRevision = max(c.snapshotRevision, update.Revision)
	}
	if len(changedRows) > 0 || firstSnapshot {
		c.pruneTombstones()
		c.pruneChangeLog()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return Result{Changed: changedRows, Dropped: dropped, Lost: lost}
}

// applyRow stores a row if it is newer than the existing one, and reports whether that changes the
// content of the table: a tombstone for an absent row does not. isListed is set for a row of a
// complete update.
func (c *Cache) applyRow(row Row, isListed bool) bool {
	existing, found := c.rows[row.Key]
	if found && !c.isNewer(&row, &existing, isListed) {
		return false
	}
	if row.Deleted {
		row.Value = nil
	}
	c.storeRow(row)
	return !row.Deleted || (found && !existing.Deleted)
}

// storeRow replaces a row, assigns the next sequence number and counts tombstones.
func (c *Cache) storeRow(row Row) {
	existing, found := c.rows[row.Key]
	if found && existing.Deleted {
		c.tombstones--
	}
	stored := entry{Row: row}
	if row.Deleted {
		c.tombstones++
		stored.writerSequence = c.writerSequenceOf(&existing)
	}
	switch {
	case existing.Deleted && row.Deleted:
		stored.earlier = existing.earlier
	case found && (c.options.RemembersStates || row.Deleted):
		stored.earlier = existing.withEarlier()
	}
	c.sequence++
	stored.sequence = c.sequence
	c.rows[row.Key] = stored
	c.changeLog = append(c.changeLog, change{sequence: c.sequence, key: row.Key})
}

// pruneChangeLog removes outdated changes once they are about half of the log.
func (c *Cache) pruneChangeLog() {
	if len(c.changeLog) <= 2*len(c.rows)+changeLogSlack {
		return
	}
	c.changeLog = slices.DeleteFunc(c.changeLog, func(candidate change) bool { return c.rows[candidate.key].sequence != candidate.sequence })
}

// changeLogSlack is the number of changes beyond twice the rows that the log may hold, so that the
// log of a small table is not pruned at each change.
const changeLogSlack = 64

// deleteMissing deletes the rows that a complete update does not list, unless they are newer than
// the update, and evicts those outside its filter. Rows that a restored store has lost are treated
// as the options say. It returns the deleted and the lost rows in order of their keys.
func (c *Cache) deleteMissing(update *Update) (deleted, lost []Row) {
	listed := make(map[string]bool, len(update.Rows))
	for _, row := range update.Rows {
		listed[row.Key] = true
	}
	for key, existing := range c.rows {
		if update.Filter != nil && !update.Filter(key) && !listed[key] {
			c.evict(key, &existing)
			continue
		}
		if existing.Deleted || listed[key] || existing.Revision > update.Revision {
			continue
		}
		if existing.Revision.Epoch() != update.Revision.Epoch() {
			lost = append(lost, existing.Row)
			if c.options.LostRows != DeleteLostRows {
				continue
			}
		}
		deleted = append(deleted, Row{Key: key, Revision: max(update.Revision, existing.Revision+1), Deleted: true})
	}
	sortByKey(deleted)
	sortByKey(lost)
	for _, row := range deleted {
		c.storeRow(row)
	}
	if c.options.LostRows == EvictLostRows {
		for _, row := range lost {
			c.evict(row.Key, &entry{Row: row})
		}
	}
	return deleted, lost
}

func sortByKey(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// evict removes a row without a tombstone: it is not deleted, but no longer kept.
func (c *Cache) evict(key string, existing *entry) {
	if existing.Deleted {
		c.tombstones--
	}
	delete(c.rows, key)
}

// pruneTombstones removes the older half of the tombstones if there are too many.
func (c *Cache) pruneTombstones() {
	if c.tombstones <= c.options.MaxTombstones {
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

// After returns the changes after a sequence number, in order. If these are no longer known, or the
// number is 0, it returns a complete update. It returns nil before the first complete update.
func (c *Cache) After(sequence uint64) *Update { return c.AfterMatching(sequence, nil) }

// AfterMatching is like After, restricted to the keys for which filter returns true; nil matches
// all. Its cost grows with the number of changes, not with the size of the table.
func (c *Cache) AfterMatching(sequence uint64, filter func(key string) bool) *Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.snapshotRevision == 0 {
		return nil
	}
	update := &Update{Revision: c.snapshotRevision, WatchedRevision: c.watchedRevision, Sequence: c.sequence, Filter: filter}
	update.Complete = sequence == 0 || sequence < c.prunedSequence
	if update.Complete {
		sequence = 0
	}
	from, _ := slices.BinarySearchFunc(c.changeLog, sequence+1, func(candidate change, sought uint64) int {
		return cmp.Compare(candidate.sequence, sought)
	})
	for _, changed := range c.changeLog[from:] {
		row := c.rows[changed.key]
		switch {
		case row.sequence != changed.sequence:
		case update.Complete && row.Deleted && row.Revision <= c.snapshotRevision:
		case filter != nil && !filter(changed.key):
		default:
			update.Rows = append(update.Rows, row.Row)
		}
	}
	return update
}
