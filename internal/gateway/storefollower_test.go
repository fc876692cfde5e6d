package gateway

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// A change that is read after a gap must be dated by the kind of the gap.
func TestChangeTimeAfterGap(t *testing.T) {
	const now = time.Minute
	for name, test := range map[string]struct {
		since    gap
		provenAt time.Duration
		proven   bool
		at       time.Duration
		known    bool
	}{
		"no gap":                      {gapNone, now - 4*time.Second, true, now, true},
		"history dropped":             {gapHistoryExpired, now - 2*time.Second, true, now, true},
		"only this node disconnected": {gapUnreachable, now - 2*time.Second, true, now - 2*time.Second, true},
		"store unreachable for all":   {gapUnreachable, now - 6*time.Second, true, now, true},
		"just started":                {gapUnreachable, 0, false, now, false},
	} {
		g := &Gateway{freshness: routes.NewFreshness()}
		if test.proven {
			g.freshness.Prove(test.provenAt)
		}
		at, known := g.changeTime(now, test.since)
		assert.Equal(t, test.at, at, name)
		assert.Equal(t, test.known, known, name)
	}
}

func TestGapAfterError(t *testing.T) {
	assert.Equal(t, gapHistoryExpired, gapAfterFailure(ErrHistoryExpired, 0, time.Second))
	assert.Equal(t, gapUnreachable, gapAfterFailure(ErrHistoryExpired, 0, minHistoryRetention))
	assert.Equal(t, gapUnreachable, gapAfterFailure(ErrHistoryExpired, 1, time.Second))
	assert.Equal(t, gapUnreachable, gapAfterFailure(errors.New("no response"), 0, time.Second))
}

// Every peer must be reached within a few rounds of exchanges.
func TestExchangesRotateThroughPeers(t *testing.T) {
	members := make([]membership.Member, 30)
	for index := range members {
		members[index].Incarnation = 1
		members[index].Node = "n"
	}
	assert.Len(t, rotatingSubset(members, 3, 40), 30)
	numbers := make([]int, 30)
	for index := range numbers {
		numbers[index] = index
	}
	reached := map[int]bool{}
	for round := range 3 {
		chosen := rotatingSubset(numbers, round, 12)
		assert.Len(t, chosen, 12)
		for _, number := range chosen {
			reached[number] = true
		}
	}
	assert.Len(t, reached, 30, "all reached within three rounds")
}

func TestStoreReadsRenewProofInTime(t *testing.T) {
	assert.Equal(t, operatorWait, operatorWaitFor(5*time.Second))
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		counts := time.Duration(float64(bound) * freshnessFraction)
		assert.Less(t, 2*operatorWaitFor(bound), counts, "bound %s", bound)
	}
}

// Requests must not be refused for a stale configuration while the store answers.
func TestWatchCallsRenewProofInTime(t *testing.T) {
	assert.Equal(t, watchWait, watchWaitFor(5*time.Second))
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		counts := time.Duration(float64(bound) * freshnessFraction)
		oldest := operatorWaitFor(bound) + watchWaitFor(bound) + watchBatchDelayFor(bound)
		assert.Less(t, oldest, counts*3/4, "bound %s: a quarter must be left for the calls", bound)
		assert.Greater(t, staleAfterFor(bound), operatorWaitFor(bound), "bound %s: reading node must not be dropped", bound)
		assert.Less(t, staleAfterFor(bound)+watchWaitFor(bound), counts, "bound %s", bound)
	}
}
