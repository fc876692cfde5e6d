package affinity

import (
	"slices"

	"github.com/tillerfall/tillerfall/internal/membership"
)

// Choice is how one prompt is routed.
type Choice struct {
	// keys are the prompt's keys, spreads the numbers of routers that those
	// after the first are spread over; none when width is 1.
	keys    []uint64
	width   int
	spreads []int
	// tieBreaker picks among routers that are as good as each other.
	tieBreaker uint64
}

// Key ranks the routers; see membership.Rank.
func (c Choice) Key() uint64 { return c.keys[0] }

// Width is the number of routers that serve the prompts with this first key.
func (c Choice) Width() int { return c.width }

// Order returns the routers in the order in which they are asked, given their
// rank for Key, of which the first serving ones may be used as long as they
// answer: the one chosen; then, for the case that it is saturated, those that a
// doubled width would add; then the rest.
func (c Choice) Order(ranked []membership.Member, serving int) []membership.Member {
	if len(ranked) == 0 {
		return nil
	}
	serving = min(max(serving, 1), len(ranked))
	width := min(max(c.width, 1), serving)
	last := c.keys[len(c.keys)-1]
	within := c.orderWithinWidth(ranked[:width])
	wider := min(2*width, serving)
	ordered := make([]membership.Member, 0, len(ranked))
	ordered = append(ordered, within[0])
	ordered = append(ordered, membership.Rank(last, "", ranked[width:wider])...)
	ordered = append(ordered, within[1:]...)
	return append(ordered, ranked[wider:]...)
}

// orderWithinWidth orders the routers within the width, the one orderWithinWidth first. Each longer
// key narrows them down to the first of its own rank.
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
