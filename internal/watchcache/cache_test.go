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
	cache := New(0)
	assert.Nil(t, cache.After(0), "nothing is known")
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
	assert.Equal(t, []string{"b", "-a", "c"}, keys(all.Rows), "a went after the last complete update")
}

// TestEmptyTableCountsAsSnapshot has watchers told of a table without rows.
func TestEmptyTableCountsAsSnapshot(t *testing.T) {
	cache := New(0)
	changed := cache.Changed()
	cache.Apply(completeUpdate(3))
	<-changed
	assert.True(t, cache.HasSnapshot())
	assert.True(t, cache.After(0).Complete)
}

// TestStaleUpdatesAreIgnored has late and stale updates arrive.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	cache := New(0)
	cache.Apply(completeUpdate(9, presentRow("a", 9), presentRow("b", 4)))
	assert.Equal(t, []string{"-b"}, keys(cache.Apply(completeUpdate(6, presentRow("a", 2)))), "b went before 6, a is newer")
	assert.Empty(t, cache.Apply(incrementalUpdate(8, deletedRow("a", 8))))
	assert.Equal(t, []byte("a9"), cache.After(0).Rows[0].Value)
}

// TestLateOlderRevisionReachesWatchers has a change missed that the
// store tells of after newer ones.
func TestLateOlderRevisionReachesWatchers(t *testing.T) {
	cache, watcher := New(0), New(0)
	cache.Apply(completeUpdate(5, presentRow("a", 5)))
	cache.Apply(incrementalUpdate(9, presentRow("b", 9)))
	seen := cache.After(0)
	watcher.Apply(seen)
	cache.Apply(incrementalUpdate(9, presentRow("a", 7)))
	assert.Equal(t, []string{"a"}, keys(watcher.Apply(cache.After(seen.Sequence))))
}

// TestCompleteUpdateDeletesMissingRows, by the store's word or by a cache's.
func TestCompleteUpdateDeletesMissingRows(t *testing.T) {
	cache, other := New(0), New(0)
	cache.Apply(completeUpdate(5, presentRow("a", 5), presentRow("b", 5), presentRow("c", 5)))
	cache.Apply(incrementalUpdate(8, presentRow("c", 8)))
	assert.Equal(t, []string{"-b"}, keys(cache.Apply(completeUpdate(7, presentRow("a", 5)))), "c is newer than the read")
	other.Apply(completeUpdate(5, presentRow("a", 5), presentRow("b", 5)))
	other.Apply(incrementalUpdate(9, presentRow("d", 9)))
	assert.Equal(t, []string{"c", "-b"}, keys(other.Apply(cache.After(0))), "d is newer than what the cache was told whole")
}

func TestPrunedTombstonesForceCompleteUpdate(t *testing.T) {
	cache := New(4)
	cache.Apply(completeUpdate(1, presentRow("x", 1)))
	numbers := []uint64{cache.After(0).Sequence}
	for revision := fleet.Revision(2); revision < 12; revision++ {
		cache.Apply(incrementalUpdate(revision, presentRow("k"+strconv.Itoa(int(revision)), revision)))
		cache.Apply(incrementalUpdate(revision, deletedRow("k"+strconv.Itoa(int(revision)), revision+100)))
		numbers = append(numbers, cache.After(0).Sequence)
	}
	assert.True(t, cache.After(numbers[0]).Complete)
	latest := cache.After(numbers[len(numbers)-2])
	assert.False(t, latest.Complete)
	assert.Equal(t, []string{"-k11"}, keys(latest.Rows))
}

// TestChainedCachesConverge has a second cache follow the first, and a third
// the second, with updates that are lost, repeated and reordered.
func TestChainedCachesConverge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := New(0)
		store.Apply(completeUpdate(1))
		chain := []*Cache{store, New(0), New(0)}
		positions := make([]uint64, len(chain))
		var delayed []*Update
		var delayedTo []int
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
					delayed, delayedTo = append(delayed, update), append(delayedTo, to)
				default:
					chain[to].Apply(update)
					positions[to] = update.Sequence
				}
			}
			if len(delayed) > 0 && random.IntN(2) == 0 {
				pick := random.IntN(len(delayed))
				chain[delayedTo[pick]].Apply(delayed[pick])
			}
		}
		for to := 1; to < len(chain); to++ {
			chain[to].Apply(chain[to-1].After(positions[to]))
			require.ElementsMatch(t, presentRows(store), presentRows(chain[to]), "seed %d", seed)
		}
	}
}

// presentRows returns the rows that aren't gone.
func presentRows(cache *Cache) []Row {
	var rows []Row
	for _, row := range cache.After(0).Rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// TestFilteredUpdateEvictsWithoutDeleting has a cache be told of a part only: the rest isn't
// gone, and comes back whole.
func TestFilteredUpdateEvictsWithoutDeleting(t *testing.T) {
	cache := New(0)
	cache.Apply(completeUpdate(9, presentRow("a1", 1), presentRow("a2", 2), presentRow("b1", 3), deletedRow("b2", 4)))
	assert.True(t, cache.IsComplete())
	ofA := func(key string) bool { return key[0] == 'a' }
	told := cache.AfterMatching(0, ofA)
	assert.Equal(t, []string{"a1", "a2"}, keys(told.Rows))
	part := completeUpdate(10, presentRow("a2", 2))
	part.Filter = ofA
	assert.Equal(t, []string{"-a1"}, keys(cache.Apply(part)), "b1 isn't gone")
	assert.True(t, cache.IsPartial())
	assert.False(t, cache.IsComplete())
	assert.Equal(t, []string{"b1"}, keys(cache.Apply(completeUpdate(11, presentRow("a2", 2), presentRow("b1", 3)))))
	assert.True(t, cache.IsComplete())
}

// TestRevisionNeverDecreases without a gap, and never goes back.
func TestRevisionNeverDecreases(t *testing.T) {
	cache := New(0)
	cache.Apply(completeUpdate(9, presentRow("a", 1)))
	assert.EqualValues(t, 9, cache.Revision())
	cache.Advance(12)
	cache.Advance(10)
	assert.EqualValues(t, 12, cache.Revision())
	assert.EqualValues(t, 12, cache.After(0).WatchedRevision)
	assert.EqualValues(t, 9, cache.After(0).Revision, "the word on what is gone is as old as the whole read")
}

// TestRowSkippedByWatchIsNotDeleted has a store forget its history: it tells one reader
// of no change up to 20, though b began at 15, which another reader has seen. Who asks the
// first after the second must not take b for gone up to 20: it would never come back.
func TestRowSkippedByWatchIsNotDeleted(t *testing.T) {
	first, follower := New(0), New(0)
	first.Apply(completeUpdate(10, presentRow("a", 1)))
	first.Advance(20)
	follower.Apply(completeUpdate(16, presentRow("a", 1), presentRow("b", 15)))
	assert.Empty(t, follower.Apply(first.After(0)))
	first.Apply(incrementalUpdate(21, presentRow("b", 15)))
	assert.Equal(t, []string{"a", "b"}, keys(follower.After(0).Rows))
}

// TestAfterMatchesFullScan compares the answers of a cache, through drawn updates,
// with what a look at all of its rows says.
func TestAfterMatchesFullScan(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		cache := New(8)
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
			told := cache.After(after)
			var expected []string
			for _, held := range cache.rows {
				if told.Complete && held.Deleted && held.Revision <= cache.snapshotRevision || !told.Complete && held.sequence <= after {
					continue
				}
				name := held.Key
				if held.Deleted {
					name = "-" + name
				}
				expected = append(expected, name)
			}
			require.ElementsMatch(t, expected, keys(told.Rows), "seed %d step %d", seed, step)
		}
		assert.LessOrEqual(t, len(cache.changeLog), 2*len(cache.rows)+changeLogSlack)
	}
}
