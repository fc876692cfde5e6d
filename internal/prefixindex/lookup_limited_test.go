package prefixindex

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestLookupLimitedAgreesWithLookup guards against LookupLimited and CachedPrefix differing from
// Lookup over random indexes of several banks.
func TestLookupLimitedAgreesWithLookup(t *testing.T) {
	t.Run("all banks", func(t *testing.T) { testLookupLimited(t, false) })
	t.Run("directory", func(t *testing.T) { testLookupLimited(t, true) })
}

func testLookupLimited(t *testing.T, directed bool) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 20 {
		index := New(Options{Directory: directed})
		prompt := []fleet.BlockHash{11, 22, 33, 44}
		runs := make([]fleet.EngineRun, 700)
		for number := range runs {
			runs[number] = fleet.EngineRun{Engine: fleet.EngineID(fmt.Sprint("e", number))}
			index.AddRun(runs[number])
			for _, hash := range prompt {
				if random.IntN(10) < 2+round/2 {
					index.Store(runs[number], []fleet.BlockHash{hash})
				}
			}
		}
		index.RemoveRun(runs[0])
		index.Remove(runs[1], prompt[:1])
		assert.Equal(t, directed, index.directory != nil)
		all := index.Lookup(prompt, nil)
		assert.Equal(t, all, index.LookupLimited(prompt, len(runs), random.IntN(100), nil))
		held := make(map[fleet.EngineRun]int)
		lengths := make(map[int]int)
		for _, match := range all {
			held[match.Run] = match.Blocks
			lengths[match.Blocks]++
		}
		for _, run := range runs {
			assert.Equal(t, held[run], index.CachedPrefix(run, prompt))
		}
		const limit = 3
		counts := make(map[int]int)
		for _, match := range index.LookupLimited(prompt, limit, random.IntN(100), nil) {
			assert.Equal(t, held[match.Run], match.Blocks)
			counts[match.Blocks]++
		}
		for length, count := range lengths {
			assert.Equal(t, min(count, limit), counts[length], "of length %d", length)
		}
	}
}

// TestOffsetsFindDifferentHolders guards against lookups that always return the same holders of a
// block that all runs hold.
func TestOffsetsFindDifferentHolders(t *testing.T) {
	index := New(Options{})
	for number := range 4 * slotsPerBank {
		run := fleet.EngineRun{Engine: fleet.EngineID(fmt.Sprint("e", number))}
		index.AddRun(run)
		index.Store(run, []fleet.BlockHash{7})
	}
	found := make(map[fleet.EngineID]bool)
	for offset := range 4 {
		for _, match := range index.LookupLimited([]fleet.BlockHash{7}, 2, offset, nil) {
			found[match.Run.Engine] = true
		}
	}
	assert.Len(t, found, 8)
}

// TestDirectoryStaysSmall guards against a directory that grows with removed blocks.
func TestDirectoryStaysSmall(t *testing.T) {
	index := New(Options{Directory: true})
	runs := make([]fleet.EngineRun, minDirectoryBanks*slotsPerBank)
	for number := range runs {
		runs[number] = fleet.EngineRun{Engine: fleet.EngineID(fmt.Sprint("e", number))}
		index.AddRun(runs[number])
	}
	for number := range 5 * directorySlack {
		run := runs[number%len(runs)]
		hash := []fleet.BlockHash{fleet.BlockHash(number + 1)}
		index.Store(run, hash)
		assert.Len(t, index.LookupLimited(hash, 1, number, nil), 1)
		index.Remove(run, hash)
		assert.Empty(t, index.LookupLimited(hash, 1, number, nil))
	}
	assert.LessOrEqual(t, len(index.directory), directorySlack+2)
}
