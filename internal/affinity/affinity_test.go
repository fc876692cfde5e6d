package affinity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

func newTable(options Options) *Table {
	options.Random = rand.New(rand.NewPCG(1, 2))
	return New(options)
}

func routers(count int) []membership.Member {
	list := make([]membership.Member, count)
	for number := range list {
		list[number] = membership.Member{Node: fleet.NodeID(fmt.Sprintf("router-%d", number)), State: membership.Alive}
	}
	return list
}

// blocks returns a prompt of 80 blocks: the first 8 are common to the family, those up to 32 to the
// child, the rest are specific to the request.
func blocks(family, child, request uint64) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, 80)
	for position := range hashes {
		hash := family<<40 | uint64(position)
		if position >= 8 {
			hash |= child << 24
		}
		if position >= 32 {
			hash |= request << 8
		}
		hashes[position] = fleet.BlockHash(hash * 0x9e3779b97f4a7c15)
	}
	return hashes
}

// widen grows the width of a family's first key by recorded spills.
func widen(table *Table, family uint64, times int) time.Duration {
	var now time.Duration
	for range times {
		now += DefaultGrowInterval
		table.RecordSpill(now, table.Choose(now, blocks(family, 0, 0), 0), 64)
	}
	return now
}

func TestColdPrefixStaysAtOneRouterUntracked(t *testing.T) {
	table, list := newTable(Options{}), routers(16)
	for request := range uint64(100) {
		choice := table.Choose(0, blocks(1, request%5, request), 0)
		ranked := membership.Rank(choice.Key(), "", list)
		assert.Equal(t, ranked, choice.Order(ranked, 16))
	}
	assert.Zero(t, table.Len())
	assert.Equal(t, uint64(7), table.Choose(0, nil, 7).Key())
}

func TestWidthDoublesOncePerIntervalAndDecays(t *testing.T) {
	table := newTable(Options{})
	prompt := blocks(1, 1, 1)
	narrow := table.Choose(0, prompt, 0)
	for range 50 {
		table.RecordSpill(0, narrow, 16)
	}
	two := table.Choose(0, prompt, 0)
	require.Equal(t, 2, two.Width(), "a burst of hand-backs doubles the width once")
	table.RecordSpill(DefaultGrowInterval, narrow, 16)
	require.Equal(t, 2, table.Choose(DefaultGrowInterval, prompt, 0).Width(), "a choice hashes before the width grew is ignored")
	table.RecordSpill(DefaultGrowInterval/2, two, 16)
	require.Equal(t, 2, table.Choose(DefaultGrowInterval, prompt, 0).Width(), "the interval hasn't passed")
	table.RecordSpill(DefaultGrowInterval, two, 3)
	require.Equal(t, 3, table.Choose(DefaultGrowInterval, prompt, 0).Width(), "the number of routers bounds the width")
	assert.Equal(t, 2, table.Choose(DefaultGrowInterval+DefaultHalfLife, prompt, 0).Width())
	assert.Equal(t, 1, table.Choose(10*DefaultHalfLife, prompt, 0).Width())
	assert.NotContains(t, table.entries.Keys(), two.Key(), "a key that needs one router isn't tracked")
}

// TestPrefixFamilyIsSplitByLongerPrefixes guards against spreading a longer prefix over several
// routers. A family of forty equal children has four routers.
func TestPrefixFamilyIsSplitByLongerPrefixes(t *testing.T) {
	table, list := newTable(Options{}), routers(16)
	now := widen(table, 1, 2)
	used := make(map[fleet.NodeID]int)
	homes := make(map[uint64][]fleet.NodeID)
	for request := range uint64(4000) {
		child := request % 40
		choice := table.Choose(now, blocks(1, child+1, request), 0)
		require.Equal(t, 4, choice.Width())
		node := choice.Order(membership.Rank(choice.Key(), "", list), 16)[0].Node
		if request < 400 {
			continue
		}
		used[node]++
		if !slices.Contains(homes[child], node) {
			homes[child] = append(homes[child], node)
		}
	}
	assert.Len(t, used, 4)
	for child, nodes := range homes {
		assert.Len(t, nodes, 1, "child %d", child)
	}
}

// TestHotPrefixIsSpreadEvenly guards against overloading one of four routers that share a long
// common prefix.
func TestHotPrefixIsSpreadEvenly(t *testing.T) {
	table, list := newTable(Options{}), routers(16)
	now := widen(table, 1, 2)
	used := make(map[fleet.NodeID]int)
	const requests = 4000
	for request := range uint64(requests) {
		choice := table.Choose(now, blocks(1, 1, request), 0)
		used[choice.Order(membership.Rank(choice.Key(), "", list), 16)[0].Node]++
	}
	require.Len(t, used, 4)
	for node, count := range used {
		assert.InDelta(t, requests/4, count, requests/16, node)
	}
}

func TestTableIsBoundedByMaxKeys(t *testing.T) {
	table := newTable(Options{MaxKeys: 10})
	for family := range uint64(100) {
		widen(table, family, 3)
	}
	assert.Equal(t, 10, table.Len())
}

// TestOrderAsksEveryRouterOnce guards against missing or duplicate routers in the failover order,
// and against a second choice outside the doubled width.
func TestOrderAsksEveryRouterOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(Options{})
		list := routers(rapid.IntRange(1, 20).Draw(t, "routers"))
		now := widen(table, 1, rapid.IntRange(0, 6).Draw(t, "doublings"))
		choice := table.Choose(now, blocks(1, rapid.Uint64Range(0, 3).Draw(t, "child"), 1), 0)
		ranked := membership.Rank(choice.Key(), "", list)
		serving := rapid.IntRange(1, len(list)).Draw(t, "serving")
		ordered := choice.Order(ranked, serving)
		require.ElementsMatch(t, ranked, ordered)
		width := min(choice.Width(), serving)
		require.Contains(t, ranked[:width], ordered[0])
		if width < serving {
			require.Contains(t, ranked[width:min(2*width, serving)], ordered[1])
		}
		require.ElementsMatch(t, ranked[:serving], ordered[:serving], "serving routers come first")
		require.Empty(t, choice.Order(nil, 0))
	})
}
