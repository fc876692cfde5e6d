package workerlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const second = time.Second

func limitedAt(rate Rate, asked, answered time.Duration) Observation {
	return Observation{Worker: "w", Limited: true, Rate: rate, RequestedAt: asked, AnsweredAt: answered}
}

func unlimitedAt(asked, answered time.Duration) Observation {
	return Observation{Worker: "w", RequestedAt: asked, AnsweredAt: answered}
}

// TestLimitAppliesUntilANewerObservation guards against older or overlapping observations that replace
// a newer or stricter limit.
func TestLimitAppliesUntilANewerObservation(t *testing.T) {
	for name, test := range map[string]struct {
		observations []Observation
		limited      bool
		rate         Rate
	}{
		"no limit":                    {observations: []Observation{unlimitedAt(0, second)}},
		"limited":                     {observations: []Observation{limitedAt(2, 0, second)}, limited: true, rate: 2},
		"removed":                     {observations: []Observation{limitedAt(2, 0, second), unlimitedAt(second, 2*second)}},
		"removal overlaps limit":      {observations: []Observation{limitedAt(2, 0, 2*second), unlimitedAt(second, 3*second)}, limited: true, rate: 2},
		"older header arrives late":   {observations: []Observation{limitedAt(2, 2*second, 3*second), unlimitedAt(0, second)}, limited: true, rate: 2},
		"lower, overlapping":          {observations: []Observation{limitedAt(5, 0, 2*second), limitedAt(2, second, 3*second)}, limited: true, rate: 2},
		"higher, overlapping":         {observations: []Observation{limitedAt(2, 0, 2*second), limitedAt(5, second, 3*second)}, limited: true, rate: 2},
		"higher, newer":               {observations: []Observation{limitedAt(2, 0, second), limitedAt(5, second, 3*second)}, limited: true, rate: 5},
		"lower, older":                {observations: []Observation{limitedAt(5, 2*second, 3*second), limitedAt(2, 0, second)}, limited: true, rate: 5},
		"limited again after removal": {observations: []Observation{limitedAt(2, 0, second), unlimitedAt(second, 2*second), limitedAt(3, 2*second, 3*second)}, limited: true, rate: 3},
		"old limit after removal":     {observations: []Observation{limitedAt(2, 0, second), unlimitedAt(2*second, 3*second), limitedAt(2, 0, second)}},
		"renewed, removal overlaps":   {observations: []Observation{limitedAt(2, 0, second), limitedAt(2, 3*second, 4*second), unlimitedAt(2*second, 5*second)}, limited: true, rate: 2},
		"limit of zero":               {observations: []Observation{limitedAt(0, 0, second)}, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for _, observation := range test.observations {
				tracker.Observe(observation)
			}
			rate, limited := tracker.Limit("w", 0)
			assert.Equal(t, test.limited, limited)
			assert.Equal(t, test.rate, rate)
		})
	}
}

// TestLimitBelongsToARun guards against limits of an earlier run that apply to the next one.
func TestLimitBelongsToARun(t *testing.T) {
	tracker := NewTracker()
	first := limitedAt(2, 0, second)
	first.StartTime = 100
	tracker.Observe(first)
	_, limited := tracker.Limit("w", 0)
	assert.True(t, limited, "a run with an unknown start time")
	_, limited = tracker.Limit("w", 200)
	assert.False(t, limited, "another run")
	next := unlimitedAt(second, 2*second)
	next.StartTime = 200
	assert.Equal(t, LimitRemoved, tracker.Observe(next))
	late := limitedAt(1, 5*second, 6*second)
	late.StartTime = 100
	assert.Equal(t, Unchanged, tracker.Observe(late), "a late answer of the previous run")
	_, limited = tracker.Limit("w", 200)
	assert.False(t, limited)
}

// TestTrackerIsEmptyWithoutLimits guards against entries of workers without a limit that are never
// dropped.
func TestTrackerIsEmptyWithoutLimits(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(unlimitedAt(0, second))
	assert.True(t, tracker.IsEmpty())
	tracker.Observe(limitedAt(2, 0, second))
	tracker.Observe(unlimitedAt(second, 2*second))
	assert.Len(t, tracker.Observations(2*second), 1, "the removal is reported")
	assert.Empty(t, tracker.Observations(2*second+removalRetention))
	assert.True(t, tracker.IsEmpty())
}

// TestNewestObservationWinsInAnyOrder guards against results that depend on the order of observations
// if one was requested after all others were answered.
func TestNewestObservationWinsInAnyOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		observations := make([]Observation, 2+random.IntN(5))
		for index := range observations {
			asked := time.Duration(random.Int64N(int64(5 * second)))
			observations[index] = unlimitedAt(asked, asked+time.Duration(random.Int64N(int64(3*second))))
			if random.IntN(2) == 0 {
				observations[index].Limited, observations[index].Rate = true, Rate(1+random.IntN(3))
			}
		}
		last := limitedAt(7, 9*second, 10*second)
		observations = append(observations, last)
		random.Shuffle(len(observations), func(i, j int) { observations[i], observations[j] = observations[j], observations[i] })
		tracker := NewTracker()
		for _, observation := range observations {
			tracker.Observe(observation)
		}
		rate, limited := tracker.Limit("w", 0)
		assert.True(t, limited)
		assert.Equal(t, last.Rate, rate)
	}
}
