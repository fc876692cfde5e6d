package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// simultaneousStart starts nodes within the given time, each with three seeds. It returns the time
// from the last start until all nodes have the full membership, and the bytes that all nodes and
// the busiest one have sent by then.
func simultaneousStart(t testing.TB, seed uint64, nodes int, spread time.Duration) (took time.Duration, bytes, busiest int) {
	network := newNetwork(t, seed, 1)
	network.counting = true
	for index := range nodes {
		member := network.member(index)
		member.Zone = fleet.ZoneName(fmt.Sprint("zone-", index%5))
		network.startNode(member)
		network.advance(spread / time.Duration(nodes))
	}
	took = network.advanceUntil(time.Minute, func() bool {
		for _, started := range network.running() {
			if len(started.core.Members()) != nodes {
				return false
			}
		}
		return true
	})
	for _, started := range network.running() {
		bytes += started.bytes
		busiest = max(busiest, started.bytes)
	}
	return took, bytes, busiest
}

// TestSimultaneousStartConverges guards against slow convergence when a whole fleet starts at once:
// until then nodes disagree on who reads the store and who serves.
func TestSimultaneousStartConverges(t *testing.T) {
	for seed := range uint64(5) {
		took, bytes, _ := simultaneousStart(t, seed, 195, 300*time.Millisecond)
		t.Logf("seed %d: %s, %d bytes per node", seed, took, bytes/195)
		assert.Less(t, took, 2500*time.Millisecond, "seed %d", seed)
		assert.Less(t, bytes/195, 200_000, "seed %d", seed)
	}
}

// TestGossipSubsidesAfterMassStart guards against members being gossiped for long after a mass
// start has converged.
func TestGossipSubsidesAfterMassStart(t *testing.T) {
	const nodes, probes = 300, 20
	network := newNetwork(t, 1, 1)
	for index := range nodes {
		network.startNode(network.member(index))
		network.advance(time.Millisecond)
	}
	network.advance(10 * time.Second)
	_, bytes := network.measure(probes * time.Second)
	t.Logf("%.0f bytes per node-second", bytes)
	assert.Less(t, bytes, 1000.0)
}

// TestSeedTrafficGrowsLinearlyAtMassStart guards against seed traffic that grows with the square of
// the fleet size at a mass start, as it would if each joining node received the full membership.
func TestSeedTrafficGrowsLinearlyAtMassStart(t *testing.T) {
	sent := make(map[int]int)
	for _, nodes := range []int{300, 600} {
		took, bytes, busiest := simultaneousStart(t, 1, nodes, 300*time.Millisecond)
		t.Logf("%d nodes: %s, %d bytes per node, %d for the busiest", nodes, took, bytes/nodes, busiest)
		assert.Less(t, took, 4*time.Second)
		sent[nodes] = busiest
	}
	assert.Less(t, float64(sent[600]), 2.2*float64(sent[300]))
	// 600 joins answered with 96 members of 85 bytes, and eight full exchanges.
	assert.Less(t, sent[600], 600*joinSampleSize*85+8*2*600*85)
}
