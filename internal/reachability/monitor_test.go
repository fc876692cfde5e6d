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

// TestOneConnectionHealsAPartition guards against links that stay unused after they have healed, and
// against requests that try each lost link again while only some have healed.
func TestOneConnectionHealsAPartition(t *testing.T) {
	m := New()
	for _, worker := range []string{"a", "b", "c"} {
		m.LinkLost(second, fleet.EngineID(worker), 20)
	}
	assert.Equal(t, Healed, m.Connected(2*second, "b"))
	assert.False(t, m.IsPartitioned())
	assert.False(t, m.IsLinkLost("b"))
	assert.False(t, m.IsLinkLost("d"), "never found lost")
	assert.True(t, m.IsLinkLost("a"))
	assert.Equal(t, []fleet.EngineID{"a", "c"}, m.NextChecks(2*second, 4), "due at once")
}

// TestLostLinksAreCheckedInTurn guards against checks by each request, and against a worker that is
// never checked.
func TestLostLinksAreCheckedInTurn(t *testing.T) {
	m := New()
	for _, worker := range []string{"a", "b", "c", "d", "e"} {
		m.LinkLost(second, fleet.EngineID(worker), 20)
	}
	checks := map[fleet.EngineID]int{}
	for now := 2 * second; now < 6*second; now += 250 * time.Millisecond {
		due := m.NextChecks(now, 2)
		assert.LessOrEqual(t, len(due), 2)
		for _, worker := range due {
			checks[worker]++
		}
	}
	assert.Len(t, checks, 5)
	for worker, count := range checks {
		assert.LessOrEqual(t, count, int(4*second/checkInterval), worker)
		assert.GreaterOrEqual(t, count, 3, worker)
	}
}

// TestNoneIsReachableUntilOneIs guards against requests that wait though no node reaches any worker, and
// against a node that goes on refusing once one is reached, by any way.
func TestNoneIsReachableUntilOneIs(t *testing.T) {
	for name, reach := range map[string]func(m *Monitor){
		"connected": func(m *Monitor) { m.Connected(second, "z") },
		"relayed":   func(m *Monitor) { m.LinkLost(second, "z", 20) },
		"heard":     func(m *Monitor) { m.Reached() },
	} {
		m := New()
		assert.False(t, m.Unreached("a", 20))
		assert.False(t, m.Unreached("a", 20), "the same worker")
		assert.False(t, m.Unreached("b", 20))
		assert.True(t, m.Unreached("c", 20))
		assert.False(t, m.Unreached("d", 20), "known already")
		assert.True(t, m.IsNoneReachable())
		assert.True(t, m.HasLostLinks())
		reach(m)
		assert.False(t, m.IsNoneReachable(), name)
	}
	assert.True(t, New().Unreached("a", 1), "the only worker")
}
