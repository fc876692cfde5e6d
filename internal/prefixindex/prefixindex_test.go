package prefixindex

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

func testRun(engine, incarnation int) fleet.EngineRun {
	return fleet.EngineRun{
		Engine:      fleet.EngineID(fmt.Sprintf("engine-%03d", engine)),
		Incarnation: fleet.Incarnation(incarnation),
	}
}

func testHashes(from, count int) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, count)
	for offset := range hashes {
		hashes[offset] = fleet.BlockHash(from + offset)
	}
	return hashes
}

// model is a reference implementation of the index with maps of sets.
type model map[fleet.EngineRun]map[fleet.BlockHash]bool

func (m model) lookup(hashes []fleet.BlockHash) map[fleet.EngineRun]int {
	matches := make(map[fleet.EngineRun]int)
	for run, held := range m {
		blocks := 0
		for blocks < len(hashes) && held[hashes[blocks]] {
			blocks++
		}
		if blocks > 0 {
			matches[run] = blocks
		}
	}
	return matches
}

func (m model) distinct() int {
	all := make(map[fleet.BlockHash]bool)
	for _, held := range m {
		for hash := range held {
			all[hash] = true
		}
	}
	return len(all)
}

func checkAgainstModel(t *rapid.T, index *Index, expected model) {
	hashes := testHashes(rapid.IntRange(0, 40).Draw(t, "lookup"), 12)
	matches := index.Lookup(hashes, nil)
	found := make(map[fleet.EngineRun]int)
	for position, match := range matches {
		found[match.Run] = match.Blocks
		if position > 0 {
			assert.Negative(t, compareMatches(matches[position-1], match))
		}
	}
	assert.Equal(t, expected.lookup(hashes), found)
	for run, held := range expected {
		assert.Equal(t, len(held), index.BlocksOf(run))
	}
	assert.GreaterOrEqual(t, index.Blocks(), expected.distinct())
}

// TestIndexMatchesModel guards against an index that differs from plain sets in random histories
// with engine restarts and many shared blocks.
func TestIndexMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, expected := New(Options{}), model{}
		incarnations := [5]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			engine := rapid.IntRange(0, len(incarnations)-1).Draw(t, "engine")
			run := testRun(engine, incarnations[engine])
			hashes := testHashes(rapid.IntRange(0, 48).Draw(t, "from"), rapid.IntRange(0, 16).Draw(t, "count"))
			switch rapid.IntRange(0, 8).Draw(t, "operation") {
			case 0:
				index.AddRun(run)
				if expected[run] == nil {
					expected[run] = make(map[fleet.BlockHash]bool)
				}
			case 1:
				index.RemoveRun(run)
				delete(expected, run)
				incarnations[engine]++
			case 2:
				index.Clear(run)
				clear(expected[run])
			case 3:
				index.Replace(run, hashes)
				clear(expected[run])
				expected.add(run, hashes)
			case 8:
				replaceInPieces(index, run, hashes)
				clear(expected[run])
				expected.add(run, hashes)
			case 4:
				index.Remove(run, hashes)
				for _, hash := range hashes {
					delete(expected[run], hash)
				}
			default:
				index.Store(run, hashes)
				expected.add(run, hashes)
			}
			checkAgainstModel(t, index, expected)
		}
		index.Reclaim()
		assert.Equal(t, expected.distinct(), index.Blocks())
		checkAgainstModel(t, index, expected)
	})
}

func replaceInPieces(index *Index, run fleet.EngineRun, hashes []fleet.BlockHash) {
	replacement := index.BeginReplace(run)
	half := len(hashes) / 2
	replacement.Store(hashes[:half])
	index.Remove(run, hashes)
	replacement.Store(hashes[half:])
	replacement.Commit()
}

func (m model) add(run fleet.EngineRun, hashes []fleet.BlockHash) {
	if m[run] == nil {
		return
	}
	for _, hash := range hashes {
		m[run][hash] = true
	}
}

func TestLookupStopsAtMissingParent(t *testing.T) {
	index := New(Options{})
	index.AddRun(testRun(1, 1))
	index.Store(testRun(1, 1), testHashes(0, 10))
	index.Remove(testRun(1, 1), testHashes(4, 1))
	assert.Equal(t, []Match{{Run: testRun(1, 1), Blocks: 4}}, index.Lookup(testHashes(0, 10), nil))
	index.Correct(testRun(1, 1), testHashes(0, 10), 2)
	assert.Equal(t, 2, index.BlocksOf(testRun(1, 1)))
}

// TestReusedSlotNeverMatchesOldBlocks guards against blocks of a removed run that match the next
// run in its slot.
func TestReusedSlotNeverMatchesOldBlocks(t *testing.T) {
	index := New(Options{})
	index.AddRun(testRun(0, 1))
	index.Store(testRun(0, 1), testHashes(0, 5))
	for incarnation := range 5 * slotsPerBank {
		run := testRun(1, incarnation)
		index.AddRun(run)
		require.Empty(t, index.HoldersOf(fleet.BlockHash(1000)))
		require.Zero(t, index.BlocksOf(run))
		index.Store(run, testHashes(1000, 50))
		require.Equal(t, []fleet.EngineRun{run}, index.HoldersOf(fleet.BlockHash(1000)))
		index.RemoveRun(run)
		index.Store(run, testHashes(1000, 50))
		require.Empty(t, index.Lookup(testHashes(1000, 50), nil))
	}
	index.Reclaim()
	assert.Equal(t, 5, index.Blocks())
	assert.Len(t, index.banks, 1)
}

func TestMoreRunsThanOneBank(t *testing.T) {
	index := New(Options{})
	for engine := range 3 * slotsPerBank {
		index.AddRun(testRun(engine, 1))
		index.Store(testRun(engine, 1), testHashes(0, 1+engine%3))
	}
	matches := index.Lookup(testHashes(0, 3), nil)
	require.Len(t, matches, 3*slotsPerBank)
	assert.Equal(t, Match{Run: testRun(2, 1), Blocks: 3}, matches[0])
	assert.Len(t, index.HoldersOf(2), slotsPerBank)
}

func TestMaxBlocksEvictsAndCounts(t *testing.T) {
	const limit = 500
	index := New(Options{MaxBlocks: limit})
	for engine := range 4 {
		index.AddRun(testRun(engine, 1))
		index.Store(testRun(engine, 1), testHashes(0, 100))
	}
	for from := 1000; from < 11000; from += 100 {
		index.Store(testRun(0, 1), testHashes(from, 100))
		require.LessOrEqual(t, index.Blocks(), limit)
	}
	assert.EqualValues(t, 100+10000-limit, index.Evicted())
	total := index.BlocksOf(testRun(1, 1))
	assert.Greater(t, total, 50, "shared blocks are evicted last")
	assert.Equal(t, limit, index.BlocksOf(testRun(0, 1)))
}
