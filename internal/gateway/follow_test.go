package gateway

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// TestWhenChangesWereMade dates what is heard of after each kind of gap.
func TestWhenChangesWereMade(t *testing.T) {
	const now = time.Minute
	for name, test := range map[string]struct {
		since    gap
		provenAt time.Duration
		proven   bool
		at       time.Duration
		known    bool
	}{
		"followed":                       {gapNone, now - 4*time.Second, true, now, true},
		"history dropped":                {gapHistoryExpired, now - 2*time.Second, true, now, true},
		"this node alone out of reach":   {gapUnreachable, now - 2*time.Second, true, now - 2*time.Second, true},
		"store out of everybody's reach": {gapUnreachable, now - 6*time.Second, true, now, true},
		"just started":                   {gapUnreachable, 0, false, now, false},
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

func TestOnlyAHistoryGoneSoonIsTheStoresOwnDoing(t *testing.T) {
	assert.Equal(t, gapHistoryExpired, gapAfterFailure(ErrHistoryExpired, 0, time.Second))
	assert.Equal(t, gapUnreachable, gapAfterFailure(ErrHistoryExpired, 0, minHistoryRetention))
	assert.Equal(t, gapUnreachable, gapAfterFailure(ErrHistoryExpired, 1, time.Second))
	assert.Equal(t, gapUnreachable, gapAfterFailure(errors.New("silent"), 0, time.Second))
}

// TestPeersTakeTurnsInLargeFleets has each met within a few rounds.
func TestPeersTakeTurnsInLargeFleets(t *testing.T) {
	members := make([]membership.Member, 30)
	for index := range members {
		members[index].Incarnation = 1
		members[index].Node = "n"
	}
	assert.Len(t, turn(members, 3, 40), 30)
	numbers := make([]int, 30)
	for index := range numbers {
		numbers[index] = index
	}
	met := map[int]bool{}
	for round := range 3 {
		chosen := turn(numbers, round, 12)
		assert.Len(t, chosen, 12)
		for _, number := range chosen {
			met[number] = true
		}
	}
	assert.Len(t, met, 30, "all are met within three rounds")
}

func TestProofsAreRenewedBeforeTheyAreTooOld(t *testing.T) {
	assert.Equal(t, operatorWait, operatorWaitFor(5*time.Second))
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		counts := time.Duration(float64(bound) * freshPart)
		assert.Less(t, 2*operatorWaitFor(bound), counts, "bound %s", bound)
	}
}

// TestProofsOfAnotherNodeAreRenewedBeforeTheyAreTooOld guards against requests that are refused for a
// configuration too old while the store answers.
func TestProofsOfAnotherNodeAreRenewedBeforeTheyAreTooOld(t *testing.T) {
	assert.Equal(t, watchWait, watchWaitFor(5*time.Second))
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		counts := time.Duration(float64(bound) * freshPart)
		oldest := operatorWaitFor(bound) + watchWaitFor(bound) + watchBatchDelayFor(bound)
		assert.Less(t, oldest, counts*3/4, "bound %s: the last quarter is for the calls", bound)
		assert.Greater(t, staleAfterFor(bound), operatorWaitFor(bound), "bound %s: a node that reads isn't left", bound)
		assert.Less(t, staleAfterFor(bound)+watchWaitFor(bound), counts, "bound %s", bound)
	}
}
