package backends

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSpeedEstimateToleratesSlowSamples guards against overestimates when most samples include
// unknown waits.
func TestSpeedEstimateToleratesSlowSamples(t *testing.T) {
	const first, perToken = 16 * time.Millisecond, 18 * time.Microsecond
	random := rand.New(rand.NewPCG(1, 2))
	measured := &speedEstimate{perToken: DefaultPrefillPerToken}
	for number := range 300 {
		uncached := random.IntN(6000)
		if number%2 == 0 {
			uncached = random.IntN(shortUncached)
		}
		elapsed := first + time.Duration(uncached)*perToken
		if random.IntN(3) > 0 {
			elapsed += time.Duration(random.IntN(200)) * time.Millisecond
		}
		measured.record(uncached, elapsed)
	}
	assert.InDelta(t, float64(first), float64(measured.firstToken), 0.5*float64(first))
	assert.InDelta(t, float64(perToken), float64(measured.perToken), 0.15*float64(perToken))
}

// TestSpeedIsMeasuredOnlyAtIdleEngines guards against not adapting to faster engines than assumed,
// and against using samples from busy engines.
func TestSpeedIsMeasuredOnlyAtIdleEngines(t *testing.T) {
	registry := newEngineRegistry()
	serve := func(number int, elapsed time.Duration) *Placement {
		request := engineRequest("p")
		request.Engine.Store = ""
		request.Engine.Parts[2].ID = fmt.Sprint("own", number)
		if number%2 == 0 {
			request.Engine.PromptTokens, request.Engine.Parts = 200, []Part{{"only", 200}}
		}
		placement, _ := registry.Choose(0, request)
		require.NotNil(t, placement)
		placement.FirstByte(elapsed)
		placement.End(elapsed, Succeeded)
		return placement
	}
	for number := range 40 {
		serve(number, 10*time.Millisecond+time.Duration((number%2)*30)*time.Millisecond)
	}
	assert.InDelta(t, float64(10*time.Microsecond), float64(registry.perToken("engines")), float64(2*time.Microsecond))
	busy, _ := registry.Choose(0, engineRequest("q"))
	busy.PrefillTokens = 5000
	busy.FirstByte(time.Microsecond)
	assert.Greater(t, registry.perToken("engines"), 8*time.Microsecond, "samples at busy engines don't count")
}
