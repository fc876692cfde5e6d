package prefixindex

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestSegmentMatchesMap guards against errors of overlapping and wrapping probe sequences in a
// crowded segment.
func TestSegmentMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table segment
		expected := make(map[fleet.BlockHash]uint64)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			hash := fleet.BlockHash(rapid.IntRange(0, 60).Draw(t, "hash"))
			position, found := table.find(hash, mix(hash))
			require.Equal(t, expected[hash] != 0, found)
			switch {
			case rapid.IntRange(0, 40).Draw(t, "sweep") == 0:
				require.Equal(t, sweepMap(expected, 1), table.sweep(1))
			case found:
				table.delete(position)
				delete(expected, hash)
			default:
				expected[hash] = rapid.Uint64Range(1, 3).Draw(t, "holders")
				table.insert(hash, mix(hash), expected[hash])
			}
			require.Equal(t, len(expected), table.used)
			for hash := fleet.BlockHash(0); hash <= 60; hash++ {
				require.Equal(t, expected[hash], table.holders(hash, mix(hash)))
			}
		}
	})
}

func sweepMap(holders map[fleet.BlockHash]uint64, dead uint64) int {
	removed := 0
	for hash := range holders {
		holders[hash] &^= dead
		if holders[hash] == 0 {
			delete(holders, hash)
			removed++
		}
	}
	return removed
}
