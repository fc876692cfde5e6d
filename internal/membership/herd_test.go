package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// herdStart starts many nodes within a spread of time, each with three seeds, and
// returns how long after the last start all know each other.
func herdStart(t testing.TB, seed uint64, nodes int, spread time.Duration) (took time.Duration, bytes int) {
	network := newNetwork(t, seed, 1)
	network.count = true
	for index := range nodes {
		member := network.member(index)
		member.Zone = fleet.ZoneName(fmt.Sprint("zone-", index%5))
		network.run(member)
		network.pass(spread / time.Duration(nodes))
	}
	took = network.until(time.Minute, func() bool {
		for _, started := range network.running() {
			if len(started.core.Members()) != nodes {
				return false
			}
		}
		return true
	})
	for _, started := range network.running() {
		bytes += started.bytes
	}
	return took, bytes
}

// TestHerdKnowsAllMembersSoon starts a whole fleet at once: until nodes know each
// other, they don't agree on who reads the store and who serves.
func TestHerdKnowsAllMembersSoon(t *testing.T) {
	for seed := range uint64(5) {
		took, bytes := herdStart(t, seed, 195, 300*time.Millisecond)
		t.Logf("seed %d: %s, %d bytes a node", seed, took, bytes/195)
		assert.Less(t, took, 2500*time.Millisecond, "seed %d", seed)
		assert.Less(t, bytes/195, 200_000, "seed %d", seed)
	}
}
