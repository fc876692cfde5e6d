package workload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func options() Options {
	return Options{Seed: 1, Rate: 50, Duration: 20 * time.Second, ShiftAt: 10 * time.Second, ShiftFraction: 0.6}
}

// TestGenerateIsDeterministic guards against traces that differ between runs with the same seed.
func TestGenerateIsDeterministic(t *testing.T) {
	first := Generate(AhdWestFleet(), options())
	second := Generate(AhdWestFleet(), options())
	require.Equal(t, first, second)
	require.InDelta(t, 1000, len(first.Requests), 150)
}

// TestPromptsShareBlocksOfCommonPrefix guards against block hashes shared beyond the common prefix
// or across tenants.
func TestPromptsShareBlocksOfCommonPrefix(t *testing.T) {
	long := Request{Tenant: "a", Segments: []Segment{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 60}, {ID: 3, Tokens: 40}}}
	sibling := Request{Tenant: "a", Segments: []Segment{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 60}, {ID: 4, Tokens: 40}}}
	otherTenant := sibling
	otherTenant.Tenant = "b"
	left, right, foreign := long.Blocks(16), sibling.Blocks(16), otherTenant.Blocks(16)
	require.Len(t, left, 12)
	assert.Equal(t, left[:10], right[:10])
	assert.NotEqual(t, left[10], right[10])
	assert.NotEqual(t, right[0], foreign[0])
}

// TestShiftMovesMostLongPromptsToTheNewPrefix guards against a shift that does not move its
// fraction of the long prompts.
func TestShiftMovesMostLongPromptsToTheNewPrefix(t *testing.T) {
	trace := Generate(WPColomboFleet(), options())
	newTop, long := 0, 0
	for _, request := range trace.Requests {
		if request.Kind == KindLookup || request.At < 10*time.Second {
			continue
		}
		long++
		variants := uint64(trace.Fleet.Traffic.Top.Variants)
		if request.Segments[0].ID == segmentID(request.Tenant, levelTop, variants, 0) {
			newTop++
		}
	}
	assert.InDelta(t, 0.6, float64(newTop)/float64(long), 0.1)
}
