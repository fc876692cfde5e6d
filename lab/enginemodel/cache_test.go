package enginemodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestCacheIsNotSharedAcrossScopes guards against cache hits across tenants, adapters or versions.
func TestCacheIsNotSharedAcrossScopes(t *testing.T) {
	adapter := engine.ModelVersion{Model: "sahayak", Adapter: "flags", Version: "v1"}
	newer := engine.ModelVersion{Model: "sahayak", Version: "v2"}
	config := testConfig()
	config.Loaded = append(config.Loaded, adapter, newer)
	e := New(config)
	text := repeatedPrompt("p", 40)
	require.NoError(t, e.Dispatch(0, request(e, "warm", text, 1)))
	runToIdle(e)
	for name, change := range map[string]struct {
		tenant  fleet.TenantName
		weights engine.ModelVersion
		cached  int
	}{
		"same":    {"ward", testWeights, 39},
		"tenant":  {"shop", testWeights, 0},
		"adapter": {"ward", adapter, 0},
		"version": {"ward", newer, 0},
	} {
		body := request(e, fleet.StreamID(name), text, 1)
		body.Tenant, body.ModelVersion = change.tenant, change.weights
		require.NoError(t, e.Dispatch(e.now, body))
		runToIdle(e)
		frames, _, err := e.Frames(body.StreamID, 1)
		require.NoError(t, err)
		assert.Equal(t, change.cached, frames[0].CachedTokens, name)
	}
}

// TestEvictionIsLRUAndSparesPinnedBlocks guards against eviction out of order or of blocks in use.
func TestEvictionIsLRUAndSparesPinnedBlocks(t *testing.T) {
	config := testConfig()
	config.CacheBlocks = 26
	e := New(config)
	text := map[string]string{}
	for _, letter := range []string{"a", "b", "c"} {
		text[letter] = repeatedPrompt(letter, 40)
	}
	cached := func(letter string) int { return e.CachedPrefix(blockHashes("ward", testWeights, text[letter])) }
	require.NoError(t, e.Dispatch(0, request(e, "a", text["a"], 1)))
	runToIdle(e)
	require.NoError(t, e.Dispatch(e.now, request(e, "b", text["b"], 1)))
	runToIdle(e)
	require.NoError(t, e.Dispatch(e.now, request(e, "a2", text["a"], 1)))
	runToIdle(e)
	// "b" is now the least recently used prefix; "c" evicts blocks from its end.
	require.NoError(t, e.Dispatch(e.now, request(e, "c", text["c"], 20)))
	e.Advance(e.now + 15*time.Millisecond)
	assert.Equal(t, 10, cached("a"))
	assert.Equal(t, 1, cached("b"))
	assert.Equal(t, 10, cached("c"))
	// The blocks of "c" are pinned while it runs.
	require.NoError(t, e.Dispatch(e.now, request(e, "b2", text["b"], 1)))
	e.Advance(e.now + 30*time.Millisecond)
	assert.Equal(t, 10, cached("c"))
	runToIdle(e)
	assert.EqualValues(t, len(e.blocks.index), 26-e.blocks.available()+countUnpinned(e))
}

func countUnpinned(e *Engine) int {
	count := 0
	for position := e.blocks.slab[sentinel].next; position != sentinel; position = e.blocks.slab[position].next {
		count++
	}
	return count
}

// TestIdleBlocksExpire guards against blocks that expire while in use, too early or not at all.
func TestIdleBlocksExpire(t *testing.T) {
	config := testConfig()
	config.BlockIdleTTL = 2 * time.Second
	e := New(config)
	hashes := blockHashes("ward", testWeights, repeatedPrompt("a", 40))
	require.NoError(t, e.Dispatch(0, request(e, "a", repeatedPrompt("a", 40), 200)))
	ended := runToIdle(e)
	require.Greater(t, ended, 2*time.Second, "blocks in use do not expire")
	assert.Equal(t, 10, e.CachedPrefix(hashes))
	e.Advance(ended + 1999*time.Millisecond)
	assert.Equal(t, 10, e.CachedPrefix(hashes))
	e.Advance(ended + 2*time.Second)
	assert.Zero(t, e.CachedPrefix(hashes))
}

// TestPromptLargerThanTheCacheStillRuns guards against a prompt that waits forever because it
// exceeds the cache.
func TestPromptLargerThanTheCacheStillRuns(t *testing.T) {
	config := testConfig()
	config.CacheBlocks = 5
	e := New(config)
	require.NoError(t, e.Dispatch(0, request(e, "big", repeatedPrompt("b", 400), 30)))
	require.NoError(t, e.Dispatch(0, request(e, "small", repeatedPrompt("s", 8), 2)))
	runToIdle(e)
	assert.Len(t, outputTokens(t, e, "big"), 30)
	assert.Len(t, outputTokens(t, e, "small"), 2)
	assert.LessOrEqual(t, len(e.blocks.index), 5)
}

// TestCacheEventsAreDelayedAndLost guards against events that become visible early, twice or
// without configured losses.
func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	config := testConfig()
	config.EventDelay = 300 * time.Millisecond
	config.EventLoss = 0.5
	config.Random = rand.New(rand.NewPCG(3, 4))
	e := New(config)
	require.NoError(t, e.Dispatch(0, request(e, "a", repeatedPrompt("a", 390), 1)))
	ended := runToIdle(e)
	assert.Empty(t, e.TakeCacheEvents(200*time.Millisecond))
	due, found := e.NextCacheEvent()
	require.True(t, found)
	assert.Empty(t, e.TakeCacheEvents(due-1))
	events := e.TakeCacheEvents(ended + time.Second)
	assert.Less(t, uint64(len(events)), e.EventSequence(), "some events are lost")
	assert.NotEmpty(t, events)
	assert.Empty(t, e.TakeCacheEvents(ended+time.Second), "each event is taken once")
	assert.Equal(t, events, e.CacheEventsAfter(e.now, 0))
	assert.Equal(t, e.EventSequence(), e.CacheSnapshot(e.now).Sequence)
}

// TestExportAndImportCheckScopeAndChecksum guards against KV blocks that cross tenants or versions,
// or arrive corrupted.
func TestExportAndImportCheckScopeAndChecksum(t *testing.T) {
	text := repeatedPrompt("k", 40)
	source := New(testConfig())
	require.NoError(t, source.Dispatch(0, request(source, "a", text, 1)))
	foreign := request(source, "b", text, 1)
	foreign.Tenant = "shop"
	require.NoError(t, source.Dispatch(0, foreign))
	runToIdle(source)
	hashes := blockHashes("ward", testWeights, text)
	exported, err := source.Export(source.now, engine.KVExportRequest{Tenant: "shop", ModelVersion: testWeights, Hashes: hashes})
	require.NoError(t, err)
	assert.Empty(t, exported.Hashes, "blocks of another tenant are not exported")
	bundle, err := source.Export(source.now, engine.KVExportRequest{Tenant: "ward", ModelVersion: testWeights, Hashes: hashes})
	require.NoError(t, err)
	require.Equal(t, hashes, bundle.Hashes)

	target := New(testConfig())
	relabelled := bundle
	relabelled.Tenant = "shop"
	_, err = target.Import(0, relabelled)
	requireCode(t, engine.ErrorChecksum, err)
	older := bundle
	older.ModelVersion.Version = "v0"
	older.Checksum = older.ComputeChecksum()
	_, err = target.Import(0, older)
	requireCode(t, engine.ErrorVersionNotLoaded, err)
	readyAt, err := target.Import(0, bundle)
	require.NoError(t, err)
	assert.Equal(t, 10*time.Millisecond, readyAt)
	target.Advance(readyAt - 1)
	assert.Zero(t, target.CachedPrefix(hashes))
	target.Advance(readyAt)
	assert.Equal(t, 10, target.CachedPrefix(hashes))
}

// TestRandomOperationsKeepInvariants guards against leaked reservations, memory beyond the bound,
// and events that do not rebuild the cache.
func TestRandomOperationsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.CacheBlocks = rapid.IntRange(1, 60).Draw(t, "blocks")
		config.MaxRunning = rapid.IntRange(1, 4).Draw(t, "running")
		config.BlockIdleTTL = time.Duration(rapid.IntRange(0, 200).Draw(t, "ttl")) * time.Millisecond
		e := New(config)
		mirror := map[fleet.BlockHash]bool{}
		prompts := map[fleet.StreamID]string{}
		live := map[fleet.StreamID]bool{}
		for i := range rapid.IntRange(1, 40).Draw(t, "operations") {
			now := e.now + time.Duration(rapid.IntRange(0, 60).Draw(t, "pause"))*time.Millisecond
			id := fleet.StreamID(fmt.Sprint(i))
			if rapid.IntRange(0, 4).Draw(t, "kind") > 0 {
				prompts[id] = repeatedPrompt(rapid.StringMatching("[abc]").Draw(t, "letter"), rapid.IntRange(1, 120).Draw(t, "length"))
				body := request(e, id, prompts[id], rapid.IntRange(1, 12).Draw(t, "output"))
				body.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				require.NoError(t, e.Dispatch(now, body))
				live[id] = true
			} else {
				victim := fleet.StreamID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "victim")))
				outcome, err := e.Cancel(now, victim, 1)
				require.NoError(t, err)
				if outcome.State != engine.CancelFinished {
					delete(live, victim)
				}
			}
			checkInvariants(t, e, mirror)
		}
		runToIdle(e)
		checkInvariants(t, e, mirror)
		require.Zero(t, e.blocks.pinned+e.blocks.reserved+e.QueuedPrefillTokens()+len(e.blocks.scheduled))
		for id := range live {
			require.NoError(t, VerifyOutput(prompts[id], outputTokens(t, e, id)))
		}
	})
}

func checkInvariants(t *rapid.T, e *Engine, mirror map[fleet.BlockHash]bool) {
	for _, event := range e.TakeCacheEvents(e.now) {
		for _, hash := range event.Hashes {
			if event.Kind == engine.BlockStored {
				mirror[hash] = true
			} else {
				delete(mirror, hash)
			}
		}
	}
	rebuilt := make([]fleet.BlockHash, 0, len(mirror))
	for hash := range mirror {
		rebuilt = append(rebuilt, hash)
	}
	slices.Sort(rebuilt)
	require.Equal(t, e.CacheSnapshot(e.now).Hashes, rebuilt)
	require.LessOrEqual(t, len(e.blocks.index)+e.blocks.reserved, e.config.CacheBlocks)
	require.Equal(t, len(e.blocks.index), e.blocks.pinned+countUnpinned(e))
}
