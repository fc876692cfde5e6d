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

// TestVersionThatComesBeforeItsOrderGetsNothingYet has workers of a new version be listed
// before the order to deliver it is heard of, with and without settings that bound
// deliveries.
func TestVersionThatComesBeforeItsOrderGetsNothingYet(t *testing.T) {
	for _, bounded := range []bool{true, false} {
		g := newTestGateway(t)
		settings := *g.settings()
		settings.Deliveries = bounded
		g.currentSettings.Store(&settings)
		g.noteVersions(0, []WorkerRow{workerRow("old", "v1")})
		allows := func(now time.Duration, worker fleet.EngineID, version fleet.SoftwareVersion) bool {
			return g.deliveries.choose(now, "app", delivery.RouteName("route"), 0.5, false).Allows(worker, version)
		}
		assert.True(t, allows(0, "old", "v1"))
		g.noteVersions(time.Second, []WorkerRow{workerRow("new", "v2")})
		assert.True(t, allows(time.Second, "old", "v1"))
		assert.Equal(t, !bounded, allows(time.Second, "new", "v2"))
		assert.True(t, allows(10*time.Second, "new", "v2"), "no order came")
	}
}

// TestVersionsOfTheFirstReadAreNoNews has a node begin with two versions side by side.
func TestVersionsOfTheFirstReadAreNoNews(t *testing.T) {
	seen := make(seenVersions)
	rows := []WorkerRow{workerRow("old", "v1"), workerRow("new", "v2"), {Deleted: true}}
	assert.Equal(t, []fleet.PoolName{"app"}, seen.add(rows))
	assert.Equal(t, []fleet.SoftwareVersion{"v1", "v2"}, seen["app"])
	assert.Empty(t, seen.add(rows))
}
