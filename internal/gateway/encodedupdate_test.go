package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// Within seconds of the start of 79 nodes most of them took 31 workers for gone that were there,
// and later 26 and 8 more, until the node that orders new weights knew 25 of 90 engines; the others
// kept theirs. The rows of the store hadn't gone. What was told as complete lacked just the rows of
// the first read:
//
//	event=worker_changed change=added revision=2 … 32 (31 rows) node=front-paldi-hall-4
//	event=worker_changed change=gone revision=52 (31 rows) node=front-paldi-hall-4
//
// A watcher that had seen 31 changes and asked for another part of the table was to be told
// everything, and got the compressed rows that had been made a moment before for one that had
// seen 31 changes of the same part: the newer rows alone, marked as complete.
func TestCompleteUpdateIsNotMadeOfChangesForAnother(t *testing.T) {
	followed := &table{name: TableWorkers, cache: watchcache.New(0)}
	value := make([]byte, 100)
	write := func(from, to int) {
		update := &watchcache.Update{}
		for revision := from; revision <= to; revision++ {
			update.Rows = append(update.Rows, watchcache.Row{Key: fmt.Sprintf("w-%03d", revision), Revision: fleet.Revision(revision), Value: value})
		}
		update.Complete, update.Revision = from == 1, fleet.Revision(to)
		followed.cache.Apply(update)
	}
	write(1, 31)
	write(32, 60)
	const seen, part = 31, 7
	changes, err := decodeUpdate(followed.encode(seen, followed.cache.After(seen), part))
	require.NoError(t, err)
	assert.Len(t, changes.Rows, 29)
	assert.False(t, changes.Complete)
	complete, err := decodeUpdate(followed.encode(seen, followed.cache.After(0), part))
	require.NoError(t, err)
	assert.True(t, complete.Complete)
	assert.Len(t, complete.Rows, 60)
}
