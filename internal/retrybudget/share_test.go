package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// later is a time at which the counts have settled.
const later = settlingTime + time.Second

// TestSharesOfAnUndisturbedFleetAddUp guards against a slack of which little is used, or too much.
func TestSharesOfAnUndisturbedFleetAddUp(t *testing.T) {
	for _, test := range []struct{ members, serving int }{{8, 8}, {79, 12}, {985, 20}, {985, 985}} {
		total := 0.0
		for number := range test.members {
			share := NewShare(true)
			total += share.At(later, Counts{Members: test.members, Serving: test.serving, Serves: number < test.serving})
		}
		assert.InDelta(t, 0.95, total, 0.01, "%d of %d serve", test.serving, test.members)
	}
}

// TestLostMembersKeepTheirShares guards against a gateway that takes over the shares of others that it
// has lost from sight.
func TestLostMembersKeepTheirShares(t *testing.T) {
	share := NewShare(true)
	before := share.At(later, Counts{Members: 80, Serving: 12, Serves: true})
	assert.InDelta(t, before/2, share.At(later+time.Second, Counts{Members: 40, Serving: 12, Serves: true}), 1e-9)
	assert.InDelta(t, before, share.At(later+2*time.Second, Counts{Members: 80, Serving: 12, Serves: true}), 1e-9, "they are back")
	after := later + 2*peakMemory + time.Minute
	share.At(after-peakMemory, Counts{Members: 40, Serving: 12, Serves: true})
	assert.InDelta(t, before, share.At(after, Counts{Members: 40, Serving: 12, Serves: true}), 1e-9, "they are gone for good")
}

// TestRestartedGatewayHasNoShareUntilToldTheCounts guards against a gateway that takes the part of the
// fleet that it sees for the whole.
func TestRestartedGatewayHasNoShareUntilToldTheCounts(t *testing.T) {
	counts := Counts{Members: 4, Serving: 4, Serves: true}
	share := NewShare(false)
	assert.Zero(t, share.At(later, counts))
	_, known := share.Peaks(later)
	assert.False(t, known, "it has nothing to tell")
	share.Learn(later, Counts{Members: 80, Serving: 12})
	assert.InDelta(t, servingSlackFraction*4/80/12, share.At(later, counts), 1e-9)
	peaks, known := share.Peaks(later)
	assert.True(t, known)
	assert.Equal(t, Counts{Members: 80, Serving: 12}, peaks)
	assert.Positive(t, NewShare(false).At(peakMemory, counts), "after a long time it has seen the fleet")
}

// TestCountsAreLearnedOnce guards against high counts that gateways tell each other for ever.
func TestCountsAreLearnedOnce(t *testing.T) {
	share := NewShare(false)
	share.Learn(later, Counts{Members: 80, Serving: 12})
	share.Learn(later, Counts{Members: 900, Serving: 20})
	peaks, _ := share.Peaks(later)
	assert.Equal(t, 80, peaks.Members)
}

// TestGatewayHasNoShareAtItsStart guards against a share beside that of the process before, which may
// still be finishing its requests.
func TestGatewayHasNoShareAtItsStart(t *testing.T) {
	counts := Counts{Members: 8, Serving: 8, Serves: true}
	share := NewShare(false)
	share.Learn(time.Second, counts)
	assert.Zero(t, share.At(settlingTime-time.Millisecond, counts))
	assert.Positive(t, share.At(settlingTime, counts))
	assert.Zero(t, NewShare(true).At(0, counts))
	assert.Positive(t, NewShareOfOne().At(0, Counts{Members: 1, Serving: 1, Serves: true}))
}
