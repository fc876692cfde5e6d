package backends

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// collidingNames returns two identifiers with the same hash.
func collidingNames(t *testing.T) (one, other fleet.EngineID) {
	seen := make(map[uint32]fleet.EngineID)
	for number := range 1 << 20 {
		id := fleet.EngineID(fmt.Sprint("worker-", number))
		if before, known := seen[shortName(id)]; known {
			return before, id
		}
		seen[shortName(id)] = id
	}
	require.Fail(t, "no two identifiers have the same hash")
	return "", ""
}

func TestCollidingShortNamesAreNotUsed(t *testing.T) {
	one, other := collidingNames(t)
	registry := New(Options{})
	loads := []Load{{Engine: one}, {Engine: other}, {Engine: "third"}, {Engine: "unknown"}}
	registry.Observe(1, Worker{ID: one})
	registry.Observe(2, Worker{ID: "third"})
	assert.Equal(t, []uint32{shortName(one), 0, shortName("third"), 0}, registry.ShortNames(loads), "the hash belongs to a known worker")
	assert.Equal(t, []fleet.EngineID{one, "third", ""}, registry.FullNames([]uint32{shortName(one), shortName("third"), 7}))
	registry.Observe(3, Worker{ID: other})
	assert.Equal(t, []uint32{0, 0, shortName("third"), 0}, registry.ShortNames(loads), "the hash is ambiguous")
	assert.Equal(t, []fleet.EngineID{""}, registry.FullNames([]uint32{shortName(one)}))
	registry.ObserveGone(time.Minute, 4, one)
	registry.Forget(time.Hour, time.Second)
	registry.Forget(3*time.Hour, time.Second)
	assert.Equal(t, []fleet.EngineID{other}, registry.FullNames([]uint32{shortName(one)}), "the other worker was forgotten")
	assert.NotContains(t, registry.FullNames([]uint32{0}), one)
}
