package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// TestFailedMoveIsRepeatedAtOnce guards against a request that no other engine takes and that is moved again with
// each evaluation, or never again.
func TestFailedMoveIsRepeatedAtOnce(t *testing.T) {
	const movableAt = 2 * time.Second
	monitor := New()
	run := monitor.Begin(0, Send{Engine: "dark", Expected: 50 * time.Millisecond, Deadline: time.Minute, Repeatable: true})
	live := monitor.Begin(0, Send{Engine: "live"})
	var moves []time.Duration
	for now := 50 * time.Millisecond; now < movableAt+500*time.Millisecond; now += 50 * time.Millisecond {
		monitor.Head(now, live)
		for range monitor.Evaluate(now).Moves {
			moves = append(moves, now)
			monitor.Moved(run)
			monitor.Stay(run, movableAt)
		}
	}
	require.NotEmpty(t, moves)
	assert.Less(t, moves[0], time.Second)
	assert.GreaterOrEqual(t, moves[1], movableAt)
	assert.True(t, monitor.IsSilent(run))
	monitor.Head(movableAt, run)
	assert.False(t, monitor.IsSilent(run))
}
