package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestMemoryUtilizationToleratesExpiringReports guards against a panic when peer reports expire
// while MemoryUtilization iterates over the workers, which moves workers between the lists.
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
