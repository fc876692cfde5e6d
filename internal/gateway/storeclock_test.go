package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStoreClockTimeIsNeverLaterThanResponse guards against freshness proofs dated after the
// response, for random call durations and clock drift.
func TestStoreClockTimeIsNeverLaterThanResponse(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		rate := 1 + (random.Float64()*2-1)*maxClockDrift/2
		start := time.Duration(random.Int64N(int64(time.Hour)))
		storeTime := func(local time.Duration) time.Duration {
			return start + time.Duration(float64(local)*rate)
		}
		var clock storeClock
		now := time.Duration(0)
		for range 200 {
			callStart := now + time.Duration(random.Int64N(int64(time.Second)))
			responseTime := callStart + time.Duration(random.Int64N(int64(time.Second)))
			callEnd := responseTime + time.Duration(random.Int64N(int64(time.Second)))
			at := clock.translate(callStart, callEnd, storeTime(responseTime))
			require.LessOrEqual(t, at, responseTime, "seed %d", seed)
			require.GreaterOrEqual(t, at, callStart)
			now = callEnd
		}
	}
}

// TestStoreClockDatesLongPollAtItsResponse guards against dating the proof of a long poll at the
// start of its call, and against following jumps of the store's clock.
func TestStoreClockDatesLongPollAtItsResponse(t *testing.T) {
	var clock storeClock
	const ahead = time.Hour
	assert.Equal(t, time.Second, clock.translate(time.Second, 1010*time.Millisecond, ahead+1005*time.Millisecond))
	at := clock.translate(2*time.Second, 3010*time.Millisecond, ahead+3005*time.Millisecond)
	assert.InDelta(t, float64(3*time.Second), float64(at), float64(time.Millisecond))
	afterFreeze := clock.translate(4*time.Second, 9*time.Second, ahead+5005*time.Millisecond)
	assert.InDelta(t, float64(5*time.Second), float64(afterFreeze), float64(2*time.Millisecond), "a late call end must not make the time newer")
	assert.Equal(t, 10*time.Second, clock.translate(10*time.Second, 11*time.Second, 0), "store time unknown")
	assert.Equal(t, 12*time.Second, clock.translate(12*time.Second, 13*time.Second, 2*time.Hour), "store clock jumped ahead")
	afterReset := clock.translate(14*time.Second, 15*time.Second, time.Minute)
	assert.Equal(t, 14*time.Second, afterReset, "store clock went back")
}
