package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// A complete update must not be encoded from cached changes: the watcher would drop workers that
// are still there.
func TestCompleteUpdateIsNotCachedAsChanges(t *testing.T) {
	followed := &table{name: TableWorkers, cache: watchcache.New(watchcache.Options{})}
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
