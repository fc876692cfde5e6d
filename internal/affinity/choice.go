package affinity

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/membership"
)

// Choice is the routing of one prompt.
type Choice struct {
	// keys are the prompt's keys. spreads holds the number of routers for each key after the first;
	// empty if width is 1.
	keys    []uint64
	width   int
	spreads []int
	// tieBreaker selects among equally suitable routers.
	tieBreaker uint64
}

// Key returns the prompt's first key, which ranks the routers; see membership.Rank.
func (c Choice) Key() uint64 { return c.keys[0] }

// Width returns the number of routers that serve the prompts with this first key.
func (c Choice) Width() int { return c.width }

// Order returns the routers in the order in which to ask them. ranked is their rank for Key, of
// which the first serving routers serve the pool. The chosen router comes first; then those that a
// doubled width would add, in case the first is saturated; then the rest.
func (c Choice) Order(ranked []membership.Member, serving int) []membership.Member {
	if len(ranked) == 0 {
		return nil
	}
	serving = min(max(serving, 1), len(ranked))
	width := min(max(c.width, 1), serving)
	last := c.keys[len(c.keys)-1]
	inWidth := c.orderWithinWidth(ranked[:width])
	wider := min(2*width, serving)
	ordered := make([]membership.Member, 0, len(ranked))
	ordered = append(ordered, inWidth[0])
	ordered = append(ordered, membership.Rank(last, "", ranked[width:wider])...)
	ordered = append(ordered, inWidth[1:]...)
	return append(ordered, ranked[wider:]...)
}

// orderWithinWidth orders the routers within the width, the chosen one first. Each longer key
// narrows them to the first of its own rank.
func (c Choice) orderWithinWidth(routers []membership.Member) []membership.Member {
	ordered := slices.Clone(routers)
	count := len(ordered)
	for level, spread := range c.spreads {
		if count == 1 {
			break
		}
		copy(ordered, membership.Rank(c.keys[level+1], "", ordered[:count]))
		count = min(spread, count)
	}
	picked := int(c.tieBreaker % uint64(count))
	ordered[0], ordered[picked] = ordered[picked], ordered[0]
	return ordered
}
