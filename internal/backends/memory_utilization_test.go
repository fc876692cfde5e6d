package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// A gateway ended by itself on a day of 40, while it asked how busy the engines are before it
// ordered one to take new weights. Reports of other nodes that had become too old were taken
// out of the sum in the middle of that look, which moved engines to other levels of the lists
// that were being walked: the walk came to a place that had just been emptied.
func TestMemoryUtilizationToleratesExpiringReports(t *testing.T) {
	const workers = 40
	for older := range 20 {
		registry := newTestRegistry()
		for number := range workers {
			registry.Observe(fleet.Revision(number+1), engineWorker(number, 1))
		}
		for node, receivedAt := range map[fleet.NodeID]time.Duration{"one": 0, "other": time.Duration(older+1) * 20 * time.Millisecond} {
			report := PeerReport{}
			for number := range workers {
				report.Loads = append(report.Loads, Load{
					Engine: engineWorker(number, 1).ID, InFlight: 1 + number%8, PrefillTokens: 300 * (number % 12), MemoryTokens: 100,
				})
			}
			registry.ObservePeer(receivedAt, node, report)
		}
		registry.InFlight(time.Second, "e0")
		assert.NotPanics(t, func() { registry.MemoryUtilization(peerReportValidity+time.Millisecond, "e0") })
	}
}
