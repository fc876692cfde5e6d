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

// MaxDuration bounds a lease's duration: a row that names a longer one is
// malformed, and would overflow a time.Duration.
const MaxDuration = time.Hour

// Fractions of a lease's duration.
const (
	renewalsPerDuration = 3  // a holder renews three times within a duration
	pollsPerDuration    = 4  // a challenger reads four times within a duration
	retriesPerDuration  = 10 // a holder retries a failed renewal after this part
)

// Settings sets up an Election.
type Settings struct {
	// Key is the lease's row in the table service.
	Key string
	// Duration is how long a holder may rely on one renewal, less Margin.
	Duration time.Duration
	// Margin covers the differences between the rates of the machines' clocks.
	Margin time.Duration
	// Exclusive says that a machine runs one process at a time that takes part: a
	// lease held by an earlier run on the same machine is then free at once.
	Exclusive bool
}

// Validate returns an error if the settings can't keep two holders apart.
func (s Settings) Validate() error {
	if s.Key == "" {
		return errors.New("lease needs a key")
	}
	if s.Duration < time.Millisecond || s.Duration%time.Millisecond != 0 {
		return errors.Errorf("lease duration %s isn't a whole number of milliseconds", s.Duration)
	}
	if s.Duration > MaxDuration {
		return errors.Errorf("lease duration %s exceeds %s", s.Duration, MaxDuration)
	}
	if s.Margin <= 0 || s.Margin >= s.Duration/2 {
		return errors.Errorf("lease margin %s isn't within 0 and half the duration %s", s.Margin, s.Duration)
	}
	return nil
}
