package reachability

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

const second = time.Second

// TestFewLostLinksAreNoPartition guards against a node that gives up its own links since a few workers
// are cut off from it.
func TestFewLostLinksAreNoPartition(t *testing.T) {
	m := New()
	assert.Equal(t, Unchanged, m.LinkLost(1*second, "a", 20))
	assert.Equal(t, Unchanged, m.LinkLost(1*second, "b", 20))
	assert.Equal(t, Unchanged, m.Connected(2*second, "c"))
	assert.Equal(t, Unchanged, m.LinkLost(3*second, "d", 20), "connected to another worker meanwhile")
	assert.False(t, m.IsPartitioned())
	assert.True(t, m.IsLinkLost("a"))
	assert.False(t, m.IsLinkLost("c"))
}

// TestLossOfAllLinksIsAPartition guards against a node that takes its own failure for that of the
// workers, in a large fleet and in one of few workers.
func TestLossOfAllLinksIsAPartition(t *testing.T) {
	for known, needed := range map[int]int{1: 1, 2: 2, 3: 3, 9998: 3} {
		m := New()
		m.Connected(second, "a")
		for lost := 1; lost < needed; lost++ {
			assert.Equal(t, Unchanged, m.LinkLost(2*second, fleet.EngineID(strconv.Itoa(lost)), known))
		}
		assert.Equal(t, Partitioned, m.LinkLost(2*second, fleet.EngineID(strconv.Itoa(needed)), known), "of %d workers", known)
		assert.True(t, m.IsLinkLost("another"))
		assert.Equal(t, Unchanged, m.LinkLost(3*second, "another", known), "known already")
	}
}

// TestOneConnectionHealsAPartition guards against links that stay unused after they have healed.
func TestOneConnectionHealsAPartition(t *testing.T) {
	m := New()
	for _, worker := range []string{"a", "b", "c"} {
		m.LinkLost(second, fleet.EngineID(worker), 3)
	}
	assert.Equal(t, Healed, m.Connected(2*second, "b"))
	assert.False(t, m.IsPartitioned())
	assert.False(t, m.IsLinkLost("a"), "tried again by the next request")
	_, due := m.NextCheck(3 * second)
	assert.False(t, due)
}

// TestLostLinksAreCheckedInTurn guards against checks by each request, and against a worker that is
// never checked.
func TestLostLinksAreCheckedInTurn(t *testing.T) {
	m := New()
	m.LinkLost(1*second, "a", 20)
	m.LinkLost(2*second, "b", 20)
	var checked []string
	checks := 0
	for now := 3 * second; now < 7*second; now += 50 * time.Millisecond {
		if worker, due := m.NextCheck(now); due {
			checked = append(checked, string(worker))
			m.StillLost(now, worker)
			checks++
		}
	}
	assert.Equal(t, []string{"a", "b", "a", "b"}, checked[:4])
	assert.LessOrEqual(t, checks, int(4*second/checkInterval))
}
