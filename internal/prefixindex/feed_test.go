package prefixindex

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

func storedEvent(sequence uint64) engine.CacheEvent {
	return engine.CacheEvent{
		Sequence: sequence,
		Kind:     engine.BlockStored,
		Hashes:   []fleet.BlockHash{fleet.BlockHash(sequence)},
	}
}

func newTestFeed() (*Index, *Feed) {
	index := New(Options{})
	feed := NewFeed(index, testRun(1, 7), FeedOptions{ReorderWindow: 4, ReplayLimit: 16})
	feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: 7})
	return index, feed
}

func apply(feed *Feed, now time.Duration, events ...engine.CacheEvent) bool {
	return feed.Apply(now, engine.CacheEvents{Incarnation: 7, Events: events})
}

func TestFeedReordersWithinWindow(t *testing.T) {
	index, feed := newTestFeed()
	removed := engine.CacheEvent{Sequence: 3, Kind: engine.BlockRemoved, Hashes: []fleet.BlockHash{2}}
	require.True(t, apply(feed, 0, removed, storedEvent(1), storedEvent(1), storedEvent(2), removed))
	assert.False(t, feed.IsOutOfSync())
	assert.Empty(t, index.HoldersOf(2), "the removal takes effect after the store")
	assert.EqualValues(t, 3, feed.LastReceived())
	assert.EqualValues(t, 2, feed.Counts().Duplicates)
}

func TestNewFeedRequestsSnapshot(t *testing.T) {
	index := New(Options{})
	feed := NewFeed(index, testRun(1, 7), FeedOptions{})
	apply(feed, 0, storedEvent(41))
	assert.Equal(t, 1, index.BlocksOf(testRun(1, 7)), "events are applied before the snapshot")
	require.True(t, feed.RequestSnapshot(0))
	feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: 7, Sequence: 40, Hashes: testHashes(0, 3)})
	assert.False(t, feed.IsOutOfSync())
	assert.Equal(t, 4, index.BlocksOf(testRun(1, 7)))
}

func TestFeedRejectsOtherIncarnations(t *testing.T) {
	index, feed := newTestFeed()
	stale := engine.CacheEvents{Incarnation: 6, Events: []engine.CacheEvent{storedEvent(1)}}
	assert.False(t, feed.Apply(0, stale))
	assert.False(t, feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: 8, Sequence: 9}))
	assert.Zero(t, index.Blocks())
	assert.EqualValues(t, 2, feed.Counts().StaleRuns)
}

func TestFeedIsOutOfSyncAfterGap(t *testing.T) {
	index, feed := newTestFeed()
	apply(feed, 0, storedEvent(1), storedEvent(3))
	assert.False(t, feed.IsOutOfSync(), "event 2 may still arrive")
	feed.Tick(DefaultGapTimeout)
	require.True(t, feed.IsOutOfSync())
	assert.Equal(t, 2, index.BlocksOf(testRun(1, 7)))
	assert.True(t, feed.RequestSnapshot(time.Second))
	assert.False(t, feed.RequestSnapshot(time.Second+1), "a snapshot has been requested already")
	assert.True(t, feed.RequestSnapshot(2*time.Second), "a lost response is requested again")
}

func TestFeedSnapshotDropsOlderAndReplaysLater(t *testing.T) {
	index, feed := newTestFeed()
	apply(feed, 0, storedEvent(1), storedEvent(6), storedEvent(7), storedEvent(8))
	require.True(t, feed.IsOutOfSync())
	snapshot := engine.CacheSnapshot{Incarnation: 7, Sequence: 7, Hashes: []fleet.BlockHash{50}}
	require.True(t, feed.ApplySnapshot(0, snapshot))
	assert.False(t, feed.IsOutOfSync())
	assert.Equal(t, 2, index.BlocksOf(testRun(1, 7)), "the snapshot and event 8")
	apply(feed, 0, storedEvent(6))
	assert.Empty(t, index.HoldersOf(6))
	assert.False(t, feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: 7, Sequence: 7}))
	assert.Equal(t, 2, index.BlocksOf(testRun(1, 7)))
}

func TestFeedSnapshotInPieces(t *testing.T) {
	index, feed := newTestFeed()
	run := testRun(1, 7)
	apply(feed, 0, storedEvent(1))
	snapshot := engine.CacheSnapshot{Incarnation: 7, Sequence: 2, Hashes: testHashes(100, 10)}
	require.True(t, feed.BeginSnapshot(snapshot))
	require.False(t, feed.ContinueSnapshot(0, 6))
	apply(feed, 0, storedEvent(2), storedEvent(3))
	assert.Equal(t, 3, index.BlocksOf(run), "the old set stays valid")
	assert.Empty(t, index.Lookup(testHashes(100, 1), nil), "the new set isn't valid yet")
	assert.False(t, feed.RequestSnapshot(time.Hour))
	require.True(t, feed.ContinueSnapshot(0, 6))
	assert.False(t, feed.IsOutOfSync())
	assert.Equal(t, 11, index.BlocksOf(run), "the snapshot and event 3")
	assert.Empty(t, index.HoldersOf(1))

	require.True(t, feed.BeginSnapshot(engine.CacheSnapshot{Incarnation: 7, Sequence: 9, Hashes: testHashes(0, 4)}))
	index.RemoveRun(run)
	assert.False(t, feed.ContinueSnapshot(0, 4), "the run was removed meanwhile")
	index.Reclaim()
	assert.Zero(t, index.Blocks())
}

func TestFeedStaysOutOfSyncWhenSnapshotPredatesLoss(t *testing.T) {
	_, feed := newTestFeed()
	apply(feed, 0, storedEvent(1), storedEvent(9))
	require.True(t, feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: 7, Sequence: 3}))
	assert.True(t, feed.IsOutOfSync())
	require.True(t, feed.ApplySnapshot(0, engine.CacheSnapshot{Incarnation: 7, Sequence: 8}))
	assert.False(t, feed.IsOutOfSync())
	assert.EqualValues(t, 9, feed.LastReceived())
}

// TestFeedConvergesAfterLoss guards against an index that differs from the engine's cache after
// lost, duplicated and reordered events, a snapshot and the remaining events.
func TestFeedConvergesAfterLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, feed := newTestFeed()
		cache := make(map[fleet.BlockHash]bool)
		var delayed []engine.CacheEvent
		total := rapid.IntRange(1, 60).Draw(t, "events")
		for sequence := 1; sequence <= total; sequence++ {
			event := engine.CacheEvent{Sequence: uint64(sequence), Kind: engine.BlockStored}
			hash := fleet.BlockHash(rapid.IntRange(0, 9).Draw(t, "hash"))
			event.Hashes = []fleet.BlockHash{hash}
			if cache[hash] {
				event.Kind = engine.BlockRemoved
			}
			cache[hash] = !cache[hash]
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				continue
			case 1:
				delayed = append(delayed, event)
			default:
				apply(feed, 0, append([]engine.CacheEvent{event, event}, delayed...)...)
				delayed = nil
			}
		}
		apply(feed, 0, delayed...)
		end := engine.CacheEvent{Sequence: uint64(total) + 100, Kind: engine.BlockStored}
		apply(feed, 0, end)
		require.True(t, feed.IsOutOfSync())
		snapshot := engine.CacheSnapshot{Incarnation: 7, Sequence: end.Sequence}
		for hash := fleet.BlockHash(0); hash < 10; hash++ {
			if cache[hash] {
				snapshot.Hashes = append(snapshot.Hashes, hash)
			}
		}
		require.True(t, feed.ApplySnapshot(0, snapshot))
		require.False(t, feed.IsOutOfSync())
		for hash, held := range cache {
			assert.Equal(t, held, len(index.HoldersOf(hash)) == 1, "block %d", hash)
		}
	})
}
