package eventqueue

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestEventsRunByTimeThenInsertion guards against events that run out of order.
func TestEventsRunByTimeThenInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.IntRange(0, 20), 0, 200).Draw(t, "times")
		queue := New(1)
		type scheduled struct{ at, number int }
		var ran, expected []scheduled
		for number, at := range times {
			entry := scheduled{at: at, number: number}
			expected = append(expected, entry)
			queue.At(time.Duration(at), func() {
				ran = append(ran, entry)
				assert.Equal(t, time.Duration(entry.at), queue.Now())
			})
		}
		sort.SliceStable(expected, func(i, j int) bool { return expected[i].at < expected[j].at })
		for queue.Step() {
			continue
		}
		assert.Equal(t, expected, ran)
	})
}

// TestEventsScheduledByEventsKeepOrder guards against a wrong order or clock when events schedule
// further events.
func TestEventsScheduledByEventsKeepOrder(t *testing.T) {
	queue := New(1)
	var ran []string
	queue.After(2, func() { ran = append(ran, "late") })
	queue.After(1, func() {
		queue.At(0, func() { ran = append(ran, "past counts as now") })
		queue.After(1, func() { ran = append(ran, "after late") })
	})
	queue.RunUntil(1)
	assert.Equal(t, []string{"past counts as now"}, ran)
	assert.Equal(t, time.Duration(1), queue.Now())
	queue.RunUntil(10)
	assert.Equal(t, []string{"past counts as now", "late", "after late"}, ran)
	assert.Equal(t, time.Duration(10), queue.Now())
	_, found := queue.Next()
	assert.False(t, found)
}

// TestEqualSeedsGiveEqualNumbers guards against a random generator that ignores the seed.
func TestEqualSeedsGiveEqualNumbers(t *testing.T) {
	assert.Equal(t, New(7).Random().Uint64(), New(7).Random().Uint64())
	assert.NotEqual(t, New(7).Random().Uint64(), New(8).Random().Uint64())
}
