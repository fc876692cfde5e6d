// Package enginespeed estimates how fast each engine of a service is, from the times to the first
// token that this node and its peers have measured.
//
// A measurement is a ratio: the measured time over the time that an engine of the assumed speed
// would have taken. The assumed speed is the same constant at all nodes, so that their ratios can
// be compared and don't drift. The factor of an engine is its ratio relative to the median of the
// service's engines, separately for the prefill time of a token and for the time of a batch step.
// Medians ignore moments in which an engine is slowed down, as long as they are rare.
//
// The package has no I/O and no clock: callers pass in the monotonic time. It is not safe for
// concurrent use.
package enginespeed

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Kind is what a ratio measures.
type Kind int

// Kinds of ratios.
const (
	// Prefill is the prefill time of a token.
	Prefill Kind = iota
	// Step is the time of a batch step.
	Step
	kindCount
)

const (
	// halfLife is the time in which a measurement loses half of its weight. Requests come every
	// few seconds at most engines in use, and a lasting change of speed shows within a minute.
	halfLife = 30 * time.Second
	// minWeight is the weight, in measurements, below which an estimate is dropped: what two
	// half-lives leave of a single one.
	minWeight = 0.25
	// priorWeight is the weight, in measurements, of the assumption that an engine is as fast as
	// the others.
	priorWeight = 1
	// sureWeight is the weight from which an engine counts for Table.IsUneven: two measurements,
	// less what they have lost meanwhile.
	sureWeight = 1.5
	// minSureEngines is the number of such engines from which two measurements of each are enough:
	// one engine with slow moments is less than unevenShare of them.
	minSureEngines = 4
	// verySureWeight takes the place of sureWeight where there are fewer engines: four measurements,
	// of which most have to agree.
	verySureWeight = 3.5
	// evenFactor is the factor up to which a difference counts as none, in both directions. It is
	// within the variation of the prefill time with the length of the context.
	evenFactor = 1.15
	// maxFactor bounds the factors in both directions: engines of one service don't differ more by
	// their hardware, and beyond it the engine has failed rather than slowed down.
	maxFactor = 8
	// unevenShare is the share of engines with a factor other than 1 from which a service is
	// uneven. With fewer, the slowness that each node sees places requests as well.
	unevenShare = 1.0 / 3
	// evenShare is the share below which an uneven service is even again. It is lower, so that
	// choices don't change with each engine that is measured once more or less.
	evenShare = unevenShare / 2
)

// MinRatio and MaxRatio bound the valid ratios, measured over assumed time: an engine a hundred times
// as fast or slow as assumed is a wrong measurement. In thousandths, as they are sent, the lower one
// is still known to a tenth.
const (
	MinRatio = 0.01
	MaxRatio = 100
)

// Run identifies a run of an engine.
type Run struct {
	Engine fleet.EngineID
	// StartTime is the start time of the run by the engine's clock, in milliseconds; 0 if unknown.
	StartTime uint64
}

// Speed is what one node has measured of a run.
type Speed struct {
	Run
	// Ratios holds the measured ratio of each kind; 0 if it wasn't measured.
	Ratios [kindCount]float64
	// Samples is the number of measurements, with older ones counted less.
	Samples float64
}

// isValid reports whether the values are in range.
func (s *Speed) isValid() bool {
	measured := false
	for _, ratio := range s.Ratios {
		if ratio != 0 && !isValidRatio(ratio) {
			return false
		}
		measured = measured || ratio != 0
	}
	return measured && s.Samples > 0 && !math.IsInf(s.Samples, 1)
}

func isValidRatio(ratio float64) bool { return ratio >= MinRatio && ratio <= MaxRatio }

// Factors is the estimated speed of an engine relative to the median of the service's engines.
type Factors struct {
	// Prefill and Step are the relative times; below 1 is faster.
	Prefill, Step float64
	// Samples is the number of measurements behind them over all nodes, with older ones counted
	// less.
	Samples float64
}

// Unknown returns the factors of an engine without measurements.
func Unknown() Factors { return Factors{Prefill: 1, Step: 1} }

// isEven reports whether the engine counts as no faster or slower than the others.
func (f Factors) isEven() bool { return f.Prefill == 1 && f.Step == 1 }

// decayed returns a weight after some time.
func decayed(weight float64, age time.Duration) float64 {
	if age <= 0 {
		return weight
	}
	return weight * math.Exp2(-float64(age)/float64(halfLife))
}
