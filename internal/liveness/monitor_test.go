package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestLongQueueHidesDarkEngine guards against a long predicted time that delays the probe of an engine
// beyond what its callers can wait, and against a peer's word that isn't checked by a probe.
func TestLongQueueHidesDarkEngine(t *testing.T) {
	probedAt := func(peerSuspects bool) time.Duration {
		monitor := New()
		monitor.Begin(0, Send{Engine: "e", Expected: 2 * time.Second, Deadline: time.Minute, Repeatable: true})
		if peerSuspects {
			monitor.PeerSuspects("e")
		}
		for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
			verdict := monitor.Evaluate(now)
			assert.Empty(t, verdict.Silences)
			if len(verdict.Probes) > 0 {
				assert.Equal(t, []fleet.EngineID{"e"}, verdict.Probes)
				return now
			}
		}
		return time.Second
	}
	assert.Equal(t, suspicionCeiling, probedAt(false))
	assert.Equal(t, lateCeiling, probedAt(true))
}
