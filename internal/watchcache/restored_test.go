package watchcache

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// inEpoch returns the revision with a number of an epoch.
func inEpoch(epoch fleet.StoreEpoch, number uint64) fleet.Revision { return epoch.Revision(number) }

// sequencedRow returns a row whose value holds the writer's sequence number.
func sequencedRow(key string, revision fleet.Revision, sequence int) Row {
	return Row{Key: key, Revision: revision, Value: []byte(strconv.Itoa(sequence))}
}

// sequenceInValue is the writer's sequence of sequencedRow.
func sequenceInValue(_ string, value []byte) WriterSequence {
	number, err := strconv.Atoi(string(value))
	if err != nil {
		return WriterSequence{}
	}
	return WriterSequence{Number: uint64(number)}
}

func valueOf(t *testing.T, cache *Cache, key string) string {
	for _, row := range cache.After(0).Rows {
		if row.Key == key && !row.Deleted {
			return string(row.Value)
		}
	}
	require.Fail(t, "no row", key)
	return ""
}

// A row that is written after the store was restored has a lower number than the one that the store
// has lost.
func TestRowWrittenAfterRestoreReplacesLostOne(t *testing.T) {
	cache := New(Options{})
	cache.Apply(completeUpdate(inEpoch(1, 57), presentRow("a", inEpoch(1, 57))))
	assert.Equal(t, []string{"a"}, keys(cache.Apply(incrementalUpdate(inEpoch(2, 52), presentRow("a", inEpoch(2, 52))))))
	assert.Empty(t, cache.Apply(incrementalUpdate(inEpoch(1, 58), presentRow("a", inEpoch(1, 58)))), "former epoch")
	assert.Equal(t, inEpoch(1, 57), cache.Revision(), "watched from there")
	cache.Apply(completeUpdate(inEpoch(2, 53), presentRow("a", inEpoch(2, 52))))
	assert.Equal(t, inEpoch(2, 53), cache.Revision())
}

// The copy from which the store is restored holds older rows than those that are kept.
func TestRestoredOlderRowDoesNotReplaceNewerOne(t *testing.T) {
	cache := New(Options{WriterSequence: sequenceInValue})
	cache.Apply(completeUpdate(inEpoch(1, 57), sequencedRow("a", inEpoch(1, 57), 21), sequencedRow("b", inEpoch(1, 30), 4)))
	result := cache.ApplyWithResult(completeUpdate(inEpoch(2, 48), sequencedRow("a", inEpoch(2, 45), 9), sequencedRow("b", inEpoch(2, 30), 4)))
	assert.Equal(t, []DroppedRow{{Key: "a", Revision: inEpoch(2, 45), KeptRevision: inEpoch(1, 57)}}, result.Dropped)
	assert.Equal(t, []string{"b"}, keys(result.Changed), "b has moved to the new epoch")
	assert.Equal(t, "21", valueOf(t, cache, "a"))
	assert.Equal(t, []string{"a"}, keys(cache.Apply(incrementalUpdate(inEpoch(2, 50), sequencedRow("a", inEpoch(2, 50), 21)))), "written again")
	assert.Equal(t, []string{"a"}, keys(cache.Apply(incrementalUpdate(inEpoch(2, 52), sequencedRow("a", inEpoch(2, 52), 25)))))
	assert.Equal(t, "25", valueOf(t, cache, "a"))
}

// A row that was deleted after the copy was made is in the copy.
func TestRestoredRowDoesNotUndoDeletion(t *testing.T) {
	cache := New(Options{WriterSequence: sequenceInValue})
	cache.Apply(completeUpdate(inEpoch(1, 50), sequencedRow("a", inEpoch(1, 50), 7)))
	cache.Apply(incrementalUpdate(inEpoch(1, 57), deletedRow("a", inEpoch(1, 57))))
	assert.Empty(t, cache.Apply(completeUpdate(inEpoch(2, 52), sequencedRow("a", inEpoch(2, 50), 7))))
	assert.Equal(t, []string{"a"}, keys(cache.Apply(incrementalUpdate(inEpoch(2, 53), sequencedRow("a", inEpoch(2, 53), 7)))), "written again after the read")
	cache.Apply(incrementalUpdate(inEpoch(2, 54), deletedRow("a", inEpoch(2, 54))))
	assert.Equal(t, []string{"a"}, keys(cache.Apply(completeUpdate(inEpoch(3, 54), sequencedRow("a", inEpoch(3, 54), 8)))), "its writer lives")
}

// Rows without a writer's sequence are recognized by the revisions and values that they had before. A
// new value at a number that is given out again is new.
func TestEarlierStateIsRecognized(t *testing.T) {
	row := func(key string, revision fleet.Revision, value string) Row {
		return Row{Key: key, Revision: revision, Value: []byte(value)}
	}
	cache := New(Options{LostRows: KeepLostRows, RemembersStates: true})
	cache.Apply(completeUpdate(inEpoch(1, 40), row("a", inEpoch(1, 40), "first"), row("b", inEpoch(1, 41), "b"), row("c", inEpoch(1, 42), "first")))
	cache.Apply(incrementalUpdate(inEpoch(1, 57), row("a", inEpoch(1, 57), "second"), deletedRow("b", inEpoch(1, 56)), row("c", inEpoch(1, 58), "second")))
	assert.Empty(t, cache.Apply(completeUpdate(inEpoch(2, 48), row("a", inEpoch(2, 40), "first"), row("b", inEpoch(2, 41), "b"), row("c", inEpoch(2, 42), "first"))))
	assert.Equal(t, "second", valueOf(t, cache, "a"))
	changed := cache.Apply(incrementalUpdate(inEpoch(2, 50), row("a", inEpoch(2, 49), "third"), row("b", inEpoch(2, 50), "b"), row("c", inEpoch(2, 42), "third")))
	assert.Equal(t, []string{"a", "b", "c"}, keys(changed))
	for number := range uint64(20) {
		cache.Apply(incrementalUpdate(inEpoch(2, 60+number), presentRow("a", inEpoch(2, 60+number))))
	}
	assert.Len(t, cache.rows["a"].earlier, maxEarlierStates)
}

// A writer may raise its sequence without a new revision of the row. The copy's row of a deleted one has
// a higher sequence then.
func TestRestoredRowWithLaterSequenceDoesNotUndoDeletion(t *testing.T) {
	cache := New(Options{WriterSequence: sequenceInValue})
	cache.Apply(completeUpdate(inEpoch(1, 50), sequencedRow("a", inEpoch(1, 50), 7)))
	cache.Apply(incrementalUpdate(inEpoch(1, 57), deletedRow("a", inEpoch(1, 57))))
	cache.Apply(incrementalUpdate(inEpoch(1, 58), deletedRow("a", inEpoch(1, 58))))
	for _, update := range []*Update{
		completeUpdate(inEpoch(2, 52), sequencedRow("a", inEpoch(2, 50), 9)),
		incrementalUpdate(inEpoch(2, 52), sequencedRow("a", inEpoch(2, 50), 9)),
	} {
		assert.Empty(t, cache.Apply(update), "complete %t", update.Complete)
	}
}

// A writer that starts anew under the same key counts from the start.
func TestLaterRunOfWriterReplacesRow(t *testing.T) {
	cache := New(Options{WriterSequence: func(_ string, value []byte) WriterSequence {
		run, number, _ := strings.Cut(string(value), ".")
		return WriterSequence{Run: sequenceInValue("", []byte(run)).Number, Number: sequenceInValue("", []byte(number)).Number}
	}})
	cache.Apply(completeUpdate(inEpoch(1, 57), Row{Key: "a", Revision: inEpoch(1, 57), Value: []byte("1.90")}))
	cache.Apply(completeUpdate(inEpoch(2, 48), Row{Key: "a", Revision: inEpoch(2, 48), Value: []byte("2.1")}))
	assert.Equal(t, "2.1", valueOf(t, cache, "a"))
}

func TestLostRowsAreTreatedAsConfigured(t *testing.T) {
	for treatment, remaining := range map[LostRows][]string{
		DeleteLostRows: {"b"}, KeepLostRows: {"a", "b"}, EvictLostRows: {"b"},
	} {
		cache := New(Options{LostRows: treatment})
		cache.Apply(completeUpdate(inEpoch(1, 57), presentRow("a", inEpoch(1, 57)), presentRow("b", inEpoch(1, 40))))
		result := cache.ApplyWithResult(completeUpdate(inEpoch(2, 48), presentRow("b", inEpoch(2, 40))))
		assert.Equal(t, []string{"a"}, keys(result.Lost), "%d", treatment)
		assert.Equal(t, treatment == DeleteLostRows, len(keys(result.Changed)) == 2, "%d: %v", treatment, keys(result.Changed))
		assert.ElementsMatch(t, remaining, keys(presentRows(cache)), "%d", treatment)
		cache.Apply(incrementalUpdate(inEpoch(2, 49), presentRow("a", inEpoch(2, 49))))
		assert.ElementsMatch(t, []string{"a", "b"}, keys(presentRows(cache)), "%d: written again", treatment)
	}
}

// Caches that follow each other must converge though the store is restored, again and again, while
// some are cut off.
func TestChainedCachesConvergeAfterRestores(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		store := newRestorableTable(random)
		caches := []*Cache{New(Options{WriterSequence: sequenceInValue}), New(Options{WriterSequence: sequenceInValue}), New(Options{WriterSequence: sequenceInValue})}
		positions := make([]uint64, len(caches))
		newest := 0
		for range 80 {
			store.step()
			if random.IntN(3) > 0 {
				store.update(caches[0])
			}
			for to := 1; to < len(caches); to++ {
				if update := caches[to-1].After(positions[to]); update != nil && random.IntN(3) > 0 {
					caches[to].Apply(update)
					positions[to] = update.Sequence
				}
			}
			if value := keptValue(caches[2], store.keys[0]); value > 0 {
				require.GreaterOrEqual(t, value, newest, "seed %d: went back", seed)
				newest = value
			}
		}
		store.rewrite()
		store.update(caches[0])
		for to := 1; to < len(caches); to++ {
			caches[to].Apply(caches[to-1].After(positions[to]))
			require.ElementsMatch(t, values(caches[0]), values(caches[to]), "seed %d", seed)
		}
		require.ElementsMatch(t, store.values(), values(caches[0]), "seed %d", seed)
	}
}

// restorableTable is a table of a store that is restored from earlier copies. Its writers write each
// row's next number, and write lost ones again.
type restorableTable struct {
	random  *rand.Rand
	keys    []string
	epoch   fleet.StoreEpoch
	number  uint64
	rows    map[string]Row
	copies  []map[string]Row
	numbers []uint64
	written map[string]int
}

func newRestorableTable(random *rand.Rand) *restorableTable {
	return &restorableTable{random: random, keys: []string{"a", "b", "c"}, epoch: 1, rows: map[string]Row{}, written: map[string]int{}}
}

func (r *restorableTable) write(key string, sequence int) {
	r.number++
	r.rows[key] = sequencedRow(key, inEpoch(r.epoch, r.number), sequence)
}

// step writes a row, makes a copy or restores one.
func (r *restorableTable) step() {
	key := r.keys[r.random.IntN(len(r.keys))]
	switch draw := r.random.IntN(10); {
	case draw < 7:
		r.written[key]++
		r.write(key, r.written[key])
	case draw == 7:
		r.rewriteRow(key)
	case draw == 8:
		r.copies, r.numbers = append(r.copies, r.clone()), append(r.numbers, r.number)
	case len(r.copies) > 0:
		pick := r.random.IntN(len(r.copies))
		r.rows, r.number = r.copies[pick], r.numbers[pick]
		r.epoch++
		r.copies, r.numbers = nil, nil
		for key, row := range r.rows {
			row.Revision = inEpoch(r.epoch, row.Revision.Number())
			r.rows[key] = row
		}
	}
}

func (r *restorableTable) clone() map[string]Row {
	rows := make(map[string]Row, len(r.rows))
	for key, row := range r.rows {
		rows[key] = row
	}
	return rows
}

// rewriteRow writes the newest value of a row again if the store has lost it.
func (r *restorableTable) rewriteRow(key string) {
	row, found := r.rows[key]
	if r.written[key] > 0 && (!found || string(row.Value) != strconv.Itoa(r.written[key])) {
		r.write(key, r.written[key])
	}
}

func (r *restorableTable) rewrite() {
	for _, key := range r.keys {
		r.rewriteRow(key)
	}
}

// update passes the whole table to a cache.
func (r *restorableTable) update(cache *Cache) {
	update := completeUpdate(inEpoch(r.epoch, r.number+1))
	for _, row := range r.rows {
		update.Rows = append(update.Rows, row)
	}
	cache.Apply(update)
}

func (r *restorableTable) values() []string {
	var all []string
	for key, row := range r.rows {
		all = append(all, key+"="+string(row.Value))
	}
	return all
}

// values returns the keys and values of a cache's rows.
func values(cache *Cache) []string {
	var all []string
	for _, row := range presentRows(cache) {
		all = append(all, row.Key+"="+string(row.Value))
	}
	return all
}

// keptValue returns the number in a row, 0 if there is no row.
func keptValue(cache *Cache, key string) int {
	update := cache.After(0)
	if update == nil {
		return 0
	}
	for _, row := range update.Rows {
		if row.Key == key && !row.Deleted {
			return int(sequenceInValue("", row.Value).Number)
		}
	}
	return 0
}
