package backends

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// collidingNames returns two names with the same hash.
func collidingNames(t *testing.T) (one, other fleet.EngineID) {
	seen := make(map[uint32]fleet.EngineID)
	for number := range 1 << 20 {
		id := fleet.EngineID(fmt.Sprint("worker-", number))
		if before, known := seen[shortName(id)]; known {
			return before, id
		}
		seen[shortName(id)] = id
	}
	require.Fail(t, "no clash")
	return "", ""
}

func TestCollidingShortNamesAreNotUsed(t *testing.T) {
	one, other := collidingNames(t)
	registry := New(Options{})
	loads := []Load{{Engine: one}, {Engine: other}, {Engine: "third"}, {Engine: "unknown"}}
	registry.Observe(1, Worker{ID: one})
	registry.Observe(2, Worker{ID: "third"})
	assert.Equal(t, []uint32{shortName(one), 0, shortName("third"), 0}, registry.ShortNames(loads), "another's name isn't used")
	assert.Equal(t, []fleet.EngineID{one, "third", ""}, registry.FullNames([]uint32{shortName(one), shortName("third"), 7}))
	registry.Observe(3, Worker{ID: other})
	assert.Equal(t, []uint32{0, 0, shortName("third"), 0}, registry.ShortNames(loads), "either could be meant")
	assert.Equal(t, []fleet.EngineID{""}, registry.FullNames([]uint32{shortName(one)}))
	registry.ObserveGone(time.Minute, 4, one)
	registry.Forget(time.Hour, time.Second)
	registry.Forget(3*time.Hour, time.Second)
	assert.Equal(t, []fleet.EngineID{other}, registry.FullNames([]uint32{shortName(one)}), "the other one is gone")
	assert.NotContains(t, registry.FullNames([]uint32{0}), one)
}
