package experiment

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/lab/emulator"
	"github.com/tillerfall/tillerfall/lab/workload"
)

const (
	// requiredFraction is the fraction of all requests that must meet the objective of their class
	// at capacity.
	requiredFraction = 0.99
	// Bounds and resolution of the search, in requests per second.
	calibrationLow  = 50
	calibrationHigh = 1000
	calibrationStep = 5
)

// Calibrate finds the capacity of each fleet by bisection and writes it to progress. The capacity
// is the highest rate at which the clairvoyant router serves 99 % of all requests within the
// objective of their class.
func Calibrate(seed uint64, progress io.Writer) error {
	for _, description := range fleets() {
		low, high := float64(calibrationLow), float64(calibrationHigh)
		for high-low > calibrationStep {
			rate := (low + high) / 2
			fraction, err := fractionWithinObjective(description, rate, seed)
			if err != nil {
				return errors.Wrap(err, description.Name)
			}
			_, _ = fmt.Fprintf(progress, "%s rate=%.1f served_well=%.4f\n", description.Name, rate, fraction)
			if fraction >= requiredFraction {
				low = rate
			} else {
				high = rate
			}
		}
		_, _ = fmt.Fprintf(progress, "fleet=%s capacity=%.0f\n", description.Name, low)
	}
	return nil
}

// fractionWithinObjective returns the fraction of requests that the clairvoyant router serves
// within their objective.
func fractionWithinObjective(description workload.Fleet, rate float64, seed uint64) (float64, error) {
	trace := workload.Generate(description, workload.Options{Seed: seed, Rate: rate, Duration: runDuration})
	result, err := emulator.Run(Case{}.emulatorOptions(trace, emulator.Clairvoyant(), seed))
	if err != nil {
		return 0, err
	}
	return result.Goodput * (runDuration - warmup).Seconds() / float64(result.Requests), nil
}
