package lease

import (
	"time"

	"github.com/go-faster/errors"
)

// Defaults of Settings.
const (
	DefaultDuration = 6 * time.Second
	DefaultMargin   = time.Second
)

// MaxDuration is the longest allowed lease duration. A row with a longer one is malformed,
// and its duration could overflow a time.Duration.
const MaxDuration = time.Hour

// Calls per lease duration.
const (
	renewalsPerDuration = 3  // renewals by a holder
	pollsPerDuration    = 4  // reads by a challenger
	retriesPerDuration  = 10 // retries of a failed renewal by a holder
)

// Settings configures an Election.
type Settings struct {
	// Key is the key of the lease row in the table service.
	Key string
	// Duration is the lease duration, in whole milliseconds. A holder relies on one renewal for
	// Duration minus Margin.
	Duration time.Duration
	// Margin allows for differences between the rates of the machines' clocks. It must be less than
	// half of Duration.
	Margin time.Duration
	// Exclusive declares that at most one participating process runs on a machine at a time. A
	// lease held by an earlier run on the same machine is then free immediately.
	Exclusive bool
	// NeverHeld declares that no process has held the lease so far. A missing row is then free
	// immediately.
	NeverHeld bool
}

// Validate returns an error if the settings cannot guarantee a single holder.
func (s Settings) Validate() error {
	if s.Key == "" {
		return errors.New("lease key is empty")
	}
	if s.Duration < time.Millisecond || s.Duration%time.Millisecond != 0 {
		return errors.Errorf("lease duration %s is not a positive whole number of milliseconds", s.Duration)
	}
	if s.Duration > MaxDuration {
		return errors.Errorf("lease duration %s exceeds %s", s.Duration, MaxDuration)
	}
	if s.Margin <= 0 || s.Margin >= s.Duration/2 {
		return errors.Errorf("lease margin %s is not between 0 and half of the duration %s", s.Margin, s.Duration)
	}
	return nil
}
