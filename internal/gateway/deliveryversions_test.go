package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

func workerRow(id fleet.EngineID, version fleet.SoftwareVersion) WorkerRow {
	return WorkerRow{Worker: backends.Worker{ID: id, Service: "app", Software: version}}
}

// Workers of a new version that are listed before its order must get no requests yet if the
// settings enable deliveries.
func TestNewVersionIsHeldUntilItsOrder(t *testing.T) {
	for _, bounded := range []bool{true, false} {
		g := newTestGateway(t)
		settings := *g.settings()
		settings.Deliveries = bounded
		g.currentSettings.Store(&settings)
		g.observeVersions(0, []WorkerRow{workerRow("old", "v1")})
		allows := func(now time.Duration, worker fleet.EngineID, version fleet.SoftwareVersion) bool {
			return g.deliveries.versionFilter(now, "app", delivery.RouteName("route"), 0.5, false).Allows(worker, version)
		}
		assert.True(t, allows(0, "old", "v1"))
		g.observeVersions(time.Second, []WorkerRow{workerRow("new", "v2")})
		assert.True(t, allows(time.Second, "old", "v1"))
		assert.Equal(t, !bounded, allows(time.Second, "new", "v2"))
		assert.True(t, allows(10*time.Second, "new", "v2"), "no order arrived")
	}
}

// The versions of one read must be reported as new only once.
func TestRepeatedVersionsAreNotNew(t *testing.T) {
	seen := make(seenVersions)
	rows := []WorkerRow{workerRow("old", "v1"), workerRow("new", "v2"), {Deleted: true}}
	assert.Equal(t, []fleet.PoolName{"app"}, seen.add(rows))
	assert.Equal(t, []fleet.SoftwareVersion{"v1", "v2"}, seen["app"])
	assert.Empty(t, seen.add(rows))
}
