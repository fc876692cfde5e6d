package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/lab/workload"
)

// smallOptions returns a short run of a small fleet under the conditions of the performance targets.
func smallOptions(policy Policy, rate float64) Options {
	description := workload.AhdWestFleet()
	description.Engines = 4
	trace := workload.Generate(description, workload.Options{Seed: 3, Rate: rate, Duration: 4 * time.Second})
	return Options{
		Trace:      trace,
		Policy:     policy,
		Seed:       5,
		Warmup:     time.Second,
		EventDelay: DefaultEventDelay,
		EventLoss:  TargetEventLoss,
		LoadLag:    TargetLoadLag,
	}
}

// TestRunIsDeterministic guards against results that depend on map order or on randomness outside
// the seed.
func TestRunIsDeterministic(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			first, err := Run(smallOptions(policy, 60))
			require.NoError(t, err)
			second, err := Run(smallOptions(policy, 60))
			require.NoError(t, err)
			assert.Equal(t, first, second)
		})
	}
}

// TestEachRequestHasExactlyOneEnding guards against requests that are lost or counted twice under
// overload and an engine crash.
func TestEachRequestHasExactlyOneEnding(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			options := smallOptions(policy, 120) // far above capacity
			options.Warmup = 0
			options.Crash = &Crash{Engine: 1, At: 2 * time.Second, Down: time.Second}
			result, err := Run(options)
			require.NoError(t, err)
			require.Equal(t, len(options.Trace.Requests), result.Requests)
			total := 0
			for _, ending := range []Ending{EndingFinished, EndingRefused, EndingExpired, EndingFailed} {
				total += result.Endings[ending]
			}
			assert.Equal(t, result.Requests, total)
			assert.Positive(t, result.Endings[EndingFinished])
		})
	}
}
