package nodecapacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCapacityIsTheMinimumOverAllLimits guards against a capacity above what one of the limits allows.
func TestCapacityIsTheMinimumOverAllLimits(t *testing.T) {
	small := Limits{ProcessorShare: 0.192, Cores: 1, MemoryMB: 184, FileDescriptors: 4100, LinkMegabits: 10}
	large := Limits{ProcessorShare: 0.8, Cores: 1, MemoryMB: 536, FileDescriptors: 8192, LinkMegabits: 200}
	for _, test := range []struct {
		name     string
		limits   Limits
		requests float64
		scarcest Resource
	}{
		{"small", small, 96, Processor},
		{"large", large, 400, Processor},
		{"no limits", Limits{}, 0, Processor},
		{"slow link", Limits{ProcessorShare: 0.8, LinkMegabits: 1}, 15.3, Link},
		{"few descriptors", Limits{ProcessorShare: 0.8, FileDescriptors: 1480}, 10, Descriptors},
		{"no memory beside the base", Limits{ProcessorShare: 0.8, MemoryMB: 32}, 1.7, Memory},
	} {
		capacity, scarcest := test.limits.Capacity()
		assert.InDelta(t, test.requests, capacity, 0.1, test.name)
		assert.Equal(t, test.scarcest, scarcest, test.name)
		require.NoError(t, test.limits.Validate(), test.name)
	}
	assert.EqualValues(t, 192, small.Millicores())
	assert.EqualValues(t, 800, large.Millicores())
	large.LinkMegabits = 10
	assert.EqualValues(t, 305, large.Millicores(), "a large processor behind a small link")
}

// TestInvalidLimitIsNamed guards against invalid limits that are accepted, or whose error doesn't name
// them.
func TestInvalidLimitIsNamed(t *testing.T) {
	for name, limits := range map[string]Limits{
		"processor": {ProcessorShare: -0.1},
		"link":      {LinkMegabits: math.NaN()},
		"memory":    {MemoryMB: -1},
		"cores":     {Cores: -1},
		"files":     {FileDescriptors: ReservedDescriptors},
	} {
		require.ErrorContains(t, limits.Validate(), name)
	}
}

// TestPressureRisesAtOnceAndFallsLate guards against pressure that follows a rising load late, or
// oscillates.
func TestPressureRisesAtOnceAndFallsLate(t *testing.T) {
	var meter Meter
	observe := func(now time.Duration, processor float64) Pressure {
		return meter.Observe(now, Usage{Processor: processor})
	}
	assert.Equal(t, Free, observe(0, 0.7))
	assert.Equal(t, Busy, observe(time.Second, 0.8))
	assert.Equal(t, Processor, meter.ScarcestResource())
	assert.Equal(t, Busy, observe(2*time.Second, 0.5))
	assert.Equal(t, Busy, observe(3*time.Second, 0.6), "usage between the thresholds restarts the delay")
	assert.Equal(t, Busy, observe(4*time.Second, 0.5))
	assert.Equal(t, Busy, observe(7*time.Second, 0.5))
	assert.Equal(t, Free, observe(8*time.Second, 0.5))
	assert.Equal(t, Busy, observe(9*time.Second, 2), "the processor alone never makes a node full")
}

// TestNodeShortOfMemoryOrDescriptorsIsFull guards against nodes that accept requests until memory or
// descriptors are exhausted.
func TestNodeShortOfMemoryOrDescriptorsIsFull(t *testing.T) {
	for _, resource := range []Resource{Memory, Descriptors} {
		var meter Meter
		var usage Usage
		usage[resource] = 0.93
		assert.Equal(t, Full, meter.Observe(0, usage))
		usage[resource] = 0.9
		assert.Equal(t, Full, meter.Observe(time.Second, usage))
		usage[resource] = 0.5
		assert.Equal(t, Busy, meter.Observe(2*time.Second, usage), "free only after a delay")
		assert.Equal(t, resource, meter.ScarcestResource())
	}
}
