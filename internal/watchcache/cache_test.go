package watchcache

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func presentRow(key string, revision fleet.Revision) Row {
	return Row{Key: key, Revision: revision, Value: []byte(key + strconv.Itoa(int(revision)))}
}

func deletedRow(key string, revision fleet.Revision) Row {
	return Row{Key: key, Revision: revision, Deleted: true}
}

func completeUpdate(revision fleet.Revision, rows ...Row) *Update {
	return &Update{Revision: revision, Complete: true, Rows: rows}
}

func incrementalUpdate(revision fleet.Revision, rows ...Row) *Update {
	return &Update{Revision: revision, Rows: rows}
}

func keys(rows []Row) []string {
	var names []string
	for _, row := range rows {
		name := row.Key
		if row.Deleted {
			name = "-" + name
		}
		names = append(names, name)
	}
	return names
}

func TestAfterReturnsChangesSinceSequence(t *testing.T) {
	cache := New(Options{})
	assert.Nil(t, cache.After(0), "no snapshot yet")
	changed := cache.Changed()
	assert.Equal(t, []string{"a", "b"}, keys(cache.Apply(completeUpdate(5, presentRow("a", 3), presentRow("b", 5)))))
	<-changed
	first := cache.After(0).Sequence
	cache.Apply(incrementalUpdate(7, deletedRow("a", 6), presentRow("c", 7)))
	later := cache.After(first)
	assert.False(t, later.Complete)
	assert.Equal(t, []string{"-a", "c"}, keys(later.Rows))
	assert.Empty(t, cache.After(later.Sequence).Rows)
	all := cache.After(0)
	assert.True(t, all.Complete)
	assert.Equal(t, []string{"b", "-a", "c"}, keys(all.Rows), "a was deleted after the last complete update")
}

// A complete update without rows must count as a snapshot and notify watchers.
func TestEmptyTableCountsAsSnapshot(t *testing.T) {
	cache := New(Options{})
	changed := cache.Changed()
	cache.Apply(completeUpdate(3))
	<-changed
	assert.True(t, cache.HasSnapshot())
	assert.True(t, cache.After(0).Complete)
}

// Late and stale updates must not replace newer rows.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	cache := New(Options{})
	cache.Apply(completeUpdate(9, presentRow("a", 9), presentRow("b", 4)))
	assert.Equal(t, []string{"-b"}, keys(cache.Apply(completeUpdate(6, presentRow("a", 2)))), "b was deleted before 6, a is newer")
	assert.Empty(t, cache.Apply(incrementalUpdate(8, deletedRow("a", 8))))
	assert.Equal(t, []byte("a9"), cache.After(0).Rows[0].Value)
}

// A change that the store delivers after newer ones must still reach watchers.
func TestLateOlderRevisionReachesWatchers(t *testing.T) {
	cache, watcher := New(Options{}), New(Options{})
	cache.Apply(completeUpdate(5, presentRow("a", 5)))
	cache.Apply(incrementalUpdate(9, presentRow("b", 9)))
	seen := cache.After(0)
	watcher.Apply(seen)
	cache.Apply(incrementalUpdate(9, presentRow("a", 7)))
	assert.Equal(t, []string{"a"}, keys(watcher.Apply(cache.After(seen.Sequence))))
}

// A complete update must delete the older rows that it does not list, whether it comes from the
// store or from a cache.
func TestCompleteUpdateDeletesMissingRows(t *testing.T) {
	cache, other := New(Options{}), New(Options{})
	cache.Apply(completeUpdate(5, presentRow("a", 5), presentRow("b", 5), presentRow("c", 5)))
	cache.Apply(incrementalUpdate(8, presentRow("c", 8)))
	assert.Equal(t, []string{"-b"}, keys(cache.Apply(completeUpdate(7, presentRow("a", 5)))), "c is newer than the update")
	other.Apply(completeUpdate(5, presentRow("a", 5), presentRow("b", 5)))
	other.Apply(incrementalUpdate(9, presentRow("d", 9)))
	assert.Equal(t, []string{"c", "-b"}, keys(other.Apply(cache.After(0))), "d is newer than the snapshot of the cache")
}

func TestPrunedTombstonesForceCompleteUpdate(t *testing.T) {
	cache := New(Options{MaxTombstones: 4})
	cache.Apply(completeUpdate(1, presentRow("x", 1)))
	sequences := []uint64{cache.After(0).Sequence}
	for revision := fleet.Revision(2); revision < 12; revision++ {
		cache.Apply(incrementalUpdate(revision, presentRow("k"+strconv.Itoa(int(revision)), revision)))
		cache.Apply(incrementalUpdate(revision, deletedRow("k"+strconv.Itoa(int(revision)), revision+100)))
		sequences = append(sequences, cache.After(0).Sequence)
	}
	assert.True(t, cache.After(sequences[0]).Complete)
	latest := cache.After(sequences[len(sequences)-2])
	assert.False(t, latest.Complete)
	assert.Equal(t, []string{"-k11"}, keys(latest.Rows))
}

// Caches that follow each other must converge though updates are lost, repeated and reordered.
func TestChainedCachesConverge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := New(Options{})
		store.Apply(completeUpdate(1))
		chain := []*Cache{store, New(Options{}), New(Options{})}
		positions := make([]uint64, len(chain))
		var delayed []*Update
		var delayedTargets []int
		for revision := fleet.Revision(2); revision < 60; revision++ {
			changed := presentRow("k"+strconv.Itoa(random.IntN(6)), revision)
			changed.Deleted = random.IntN(3) == 0
			store.Apply(incrementalUpdate(revision, changed))
			for to := 1; to < len(chain); to++ {
				update := chain[to-1].After(positions[to])
				if update == nil {
					continue
				}
				switch random.IntN(4) {
				case 0:
				case 1:
					delayed, delayedTargets = append(delayed, update), append(delayedTargets, to)
				default:
					chain[to].Apply(update)
					positions[to] = update.Sequence
				}
			}
			if len(delayed) > 0 && random.IntN(2) == 0 {
				pick := random.IntN(len(delayed))
				chain[delayedTargets[pick]].Apply(delayed[pick])
			}
		}
		for to := 1; to < len(chain); to++ {
			chain[to].Apply(chain[to-1].After(positions[to]))
			require.ElementsMatch(t, presentRows(store), presentRows(chain[to]), "seed %d", seed)
		}
	}
}

// presentRows returns the rows that are not deleted.
func presentRows(cache *Cache) []Row {
	var rows []Row
	for _, row := range cache.After(0).Rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// An update with a filter must evict the other rows without deleting them, so that they can return
// at their own revision.
func TestFilteredUpdateEvictsWithoutDeleting(t *testing.T) {
	cache := New(Options{})
	cache.Apply(completeUpdate(9, presentRow("a1", 1), presentRow("a2", 2), presentRow("b1", 3), deletedRow("b2", 4)))
	assert.True(t, cache.IsComplete())
	hasPrefixA := func(key string) bool { return key[0] == 'a' }
	update := cache.AfterMatching(0, hasPrefixA)
	assert.Equal(t, []string{"a1", "a2"}, keys(update.Rows))
	part := completeUpdate(10, presentRow("a2", 2))
	part.Filter = hasPrefixA
	assert.Equal(t, []string{"-a1"}, keys(cache.Apply(part)), "b1 is evicted, not deleted")
	assert.True(t, cache.IsPartial())
	assert.False(t, cache.IsComplete())
	assert.Equal(t, []string{"b1"}, keys(cache.Apply(completeUpdate(11, presentRow("a2", 2), presentRow("b1", 3)))))
	assert.True(t, cache.IsComplete())
}

// The revision to watch from must never decrease, and the snapshot's revision must not follow it.
func TestRevisionNeverDecreases(t *testing.T) {
	cache := New(Options{})
	cache.Apply(completeUpdate(9, presentRow("a", 1)))
	assert.EqualValues(t, 9, cache.Revision())
	cache.Advance(12)
	cache.Advance(10)
	assert.EqualValues(t, 12, cache.Revision())
	assert.EqualValues(t, 12, cache.After(0).WatchedRevision)
	assert.EqualValues(t, 9, cache.After(0).Revision, "the snapshot is as old as the last complete update")
}

// A row that the store skipped in a watch, after compacting its history, must not be taken for
// deleted by a follower that already has it: it could never return at its own revision.
func TestRowSkippedByWatchIsNotDeleted(t *testing.T) {
	first, follower := New(Options{}), New(Options{})
	first.Apply(completeUpdate(10, presentRow("a", 1)))
	first.Advance(20)
	follower.Apply(completeUpdate(16, presentRow("a", 1), presentRow("b", 15)))
	assert.Empty(t, follower.Apply(first.After(0)))
	first.Apply(incrementalUpdate(21, presentRow("b", 15)))
	assert.Equal(t, []string{"a", "b"}, keys(follower.After(0).Rows))
}

// The changes returned from the log must match those found by a scan of all rows.
func TestAfterMatchesFullScan(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		cache := New(Options{MaxTombstones: 8})
		cache.Apply(completeUpdate(1))
		for step := range 300 {
			key := strconv.Itoa(random.IntN(30))
			revision := fleet.Revision(2 + step)
			if random.IntN(4) == 0 {
				cache.Apply(incrementalUpdate(revision, deletedRow(key, revision)))
			} else {
				cache.Apply(incrementalUpdate(revision, presentRow(key, revision)))
			}
			after := cache.sequence - min(cache.sequence, uint64(random.IntN(40)))
			update := cache.After(after)
			var expected []string
			for _, existing := range cache.rows {
				if update.Complete && existing.Deleted && existing.Revision <= cache.snapshotRevision || !update.Complete && existing.sequence <= after {
					continue
				}
				name := existing.Key
				if existing.Deleted {
					name = "-" + name
				}
				expected = append(expected, name)
			}
			require.ElementsMatch(t, expected, keys(update.Rows), "seed %d step %d", seed, step)
		}
		assert.LessOrEqual(t, len(cache.changeLog), 2*len(cache.rows)+changeLogSlack)
	}
}

func TestDroppedRowsAreReported(t *testing.T) {
	cache := New(Options{})
	cache.Apply(completeUpdate(9, presentRow("a", 9), presentRow("b", 4)))
	result := cache.ApplyWithResult(incrementalUpdate(9, presentRow("a", 7), presentRow("b", 4), presentRow("c", 8)))
	assert.Equal(t, []string{"c"}, keys(result.Changed))
	assert.Equal(t, []DroppedRow{{Key: "a", Revision: 7, KeptRevision: 9}}, result.Dropped, "b is the row that is kept")
}
