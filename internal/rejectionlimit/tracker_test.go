package rejectionlimit

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestSharesAddUpToTheSlots guards against nodes that together have more requests in flight than a worker
// has slots, and against slots that nobody uses or that few nodes have.
func TestSharesAddUpToTheSlots(t *testing.T) {
	const workers = 12
	for _, nodes := range []int{1, 5, 7, 195, 985} {
		for _, slots := range []int{0, 1, 2, 6, 48, 64, 1000} {
			totals := make([]int, nodes)
			for worker := range workers {
				sum := 0
				for node := range nodes {
					share := Share(slots, worker*slots, nodes, node)
					totals[node] += share
					sum += share
				}
				assert.Equal(t, slots, sum, "%d nodes", nodes)
			}
			assert.LessOrEqual(t, slices.Max(totals)-slices.Min(totals), 1, "%d nodes, %d slots", nodes, slots)
		}
	}
	assert.Zero(t, Share(6, 0, 0, 0))
}

// TestAdvertisementLapsesWithoutAnswers guards against a limit that holds for ever after its workers have
// recovered or gone, and against one that nodes keep alive among themselves.
func TestAdvertisementLapsesWithoutAnswers(t *testing.T) {
	m := New()
	assert.True(t, m.Observe(0, Advertisement{Service: "app", Rejections: 3, At: 0}))
	assert.False(t, m.Observe(time.Second, Advertisement{Service: "app", Rejections: 3, At: time.Second}))
	assert.True(t, m.IsActive(advertisementLifetime, "app"))
	for _, said := range m.Advertisements(advertisementLifetime) {
		m.Observe(advertisementLifetime, said)
	}
	assert.False(t, m.IsActive(time.Second+advertisementLifetime, "app"))
	assert.Equal(t, []fleet.PoolName{"app"}, m.Sweep(time.Second+advertisementLifetime))
	assert.True(t, m.IsEmpty())
	assert.False(t, m.IsActive(time.Second, "other"))
}

// TestRejectingWorkerIsLeftAlone guards against a second rejection by the same worker within the second
// that it counts, and against a pause without end.
func TestRejectingWorkerIsLeftAlone(t *testing.T) {
	m := New()
	m.Rejected(0, "w")
	assert.Equal(t, closedAfterRejection, m.ClosedFor(0, "w"))
	assert.Zero(t, m.ClosedFor(closedAfterRejection, "w"))
	assert.Zero(t, m.ClosedFor(0, "other"))
	for range 10 {
		m.Rejected(2*time.Second, "w")
	}
	assert.Equal(t, maxClosed, m.ClosedFor(2*time.Second, "w"))
	m.Sweep(2*time.Second + 2*maxClosed)
	m.Rejected(20*time.Second, "w")
	assert.Equal(t, closedAfterRejection, m.ClosedFor(20*time.Second, "w"))
}
