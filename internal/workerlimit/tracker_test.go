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

func TestObservationOfALimitHoldsUntilANewerOne(t *testing.T) {
	for name, test := range map[string]struct {
		observations []Observation
		limited      bool
		rate         Rate
	}{
		"none named":                    {observations: []Observation{unlimitedAt(0, second)}},
		"named":                         {observations: []Observation{limitedAt(2, 0, second)}, limited: true, rate: 2},
		"ended":                         {observations: []Observation{limitedAt(2, 0, second), unlimitedAt(second, 2*second)}},
		"ended by one that began then":  {observations: []Observation{limitedAt(2, 0, 2*second), unlimitedAt(second, 3*second)}, limited: true, rate: 2},
		"head of before comes late":     {observations: []Observation{limitedAt(2, 2*second, 3*second), unlimitedAt(0, second)}, limited: true, rate: 2},
		"lower, crossing":               {observations: []Observation{limitedAt(5, 0, 2*second), limitedAt(2, second, 3*second)}, limited: true, rate: 2},
		"higher, crossing":              {observations: []Observation{limitedAt(2, 0, 2*second), limitedAt(5, second, 3*second)}, limited: true, rate: 2},
		"higher, newer":                 {observations: []Observation{limitedAt(2, 0, second), limitedAt(5, second, 3*second)}, limited: true, rate: 5},
		"lower, older":                  {observations: []Observation{limitedAt(5, 2*second, 3*second), limitedAt(2, 0, second)}, limited: true, rate: 5},
		"named again after its end":     {observations: []Observation{limitedAt(2, 0, second), unlimitedAt(second, 2*second), limitedAt(3, 2*second, 3*second)}, limited: true, rate: 3},
		"old limit after its end":       {observations: []Observation{limitedAt(2, 0, second), unlimitedAt(2*second, 3*second), limitedAt(2, 0, second)}},
		"renewed, end began in between": {observations: []Observation{limitedAt(2, 0, second), limitedAt(2, 3*second, 4*second), unlimitedAt(2*second, 5*second)}, limited: true, rate: 2},
		"takes nothing":                 {observations: []Observation{limitedAt(0, 0, second)}, limited: true},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewTracker()
			for _, observation := range test.observations {
				ledger.Observe(observation)
			}
			rate, limited := ledger.Limit("w", 0)
			assert.Equal(t, test.limited, limited)
			assert.Equal(t, test.rate, rate)
		})
	}
}

func TestLimitBelongsToARun(t *testing.T) {
	ledger := NewTracker()
	first := limitedAt(2, 0, second)
	first.StartTime = 100
	ledger.Observe(first)
	_, limited := ledger.Limit("w", 0)
	assert.True(t, limited, "the start of the run asked about isn't known")
	_, limited = ledger.Limit("w", 200)
	assert.False(t, limited, "another run")
	next := unlimitedAt(second, 2*second)
	next.StartTime = 200
	assert.Equal(t, LimitRemoved, ledger.Observe(next))
	late := limitedAt(1, 5*second, 6*second)
	late.StartTime = 100
	assert.Equal(t, Unchanged, ledger.Observe(late), "an answer of the run before, though it comes later")
	_, limited = ledger.Limit("w", 200)
	assert.False(t, limited)
}

func TestLedgerHoldsNothingWhenNothingIsLimited(t *testing.T) {
	ledger := NewTracker()
	ledger.Observe(unlimitedAt(0, second))
	assert.True(t, ledger.IsEmpty())
	ledger.Observe(limitedAt(2, 0, second))
	ledger.Observe(unlimitedAt(second, 2*second))
	assert.Len(t, ledger.Observations(2*second), 1, "the end is told")
	assert.Empty(t, ledger.Observations(2*second+removalRetention))
	assert.True(t, ledger.IsEmpty())
}

// In whatever order observations come, one that was asked for after all others were answered holds.
func TestNewestObservationHoldsInAnyOrder(t *testing.T) {
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
		ledger := NewTracker()
		for _, observation := range observations {
			ledger.Observe(observation)
		}
		rate, limited := ledger.Limit("w", 0)
		assert.True(t, limited)
		assert.Equal(t, last.Rate, rate)
	}
}
