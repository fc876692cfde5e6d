package capacity

import (
	"math"

	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/stat"
)

// Growth is the function of the size to which a slope is fitted.
type Growth string

// Supported growth functions.
const (
	GrowthLinear       Growth = "n"
	GrowthLogarithmic  Growth = "log2 n"
	GrowthLinearithmic Growth = "n log2 n"
)

// minimumPoints is the minimum number of sizes at which a quantity is measured. With fewer the
// residual wouldn't show a wrong growth function.
const minimumPoints = 3

// apply returns the value of the growth function at a size.
func (g Growth) apply(size float64) float64 {
	switch g {
	case GrowthLogarithmic:
		return math.Log2(size)
	case GrowthLinearithmic:
		return size * math.Log2(size)
	default:
		return size
	}
}

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a quantity measured at several sizes, with its least-squares fit
// Intercept + PerUnit * Growth(size).
type Slope struct {
	Name string `json:"name"`
	// Size names what a point's size counts, Unit the unit of its value.
	Size      string  `json:"size"`
	Unit      string  `json:"unit"`
	Growth    Growth  `json:"growth"`
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	// Residual is the root mean square error of the fit, relative to the mean value. A large
	// residual means that the quantity doesn't follow Growth.
	Residual float64 `json:"residual"`
}

// At returns the fitted value at a size.
func (s *Slope) At(size float64) float64 { return s.Intercept + s.PerUnit*s.Growth.apply(size) }

// fit computes the least-squares fit of the slope's points.
func (s *Slope) fit() error {
	if len(s.Points) < minimumPoints {
		return errors.Errorf("%s: got %d points, want %d", s.Name, len(s.Points), minimumPoints)
	}
	sizes := make([]float64, len(s.Points))
	values := make([]float64, len(s.Points))
	for i, point := range s.Points {
		sizes[i] = s.Growth.apply(point.Size)
		values[i] = point.Value
	}
	s.Intercept, s.PerUnit = stat.LinearRegression(sizes, values, nil, false)
	squares := 0.0
	for i := range sizes {
		residual := values[i] - s.Intercept - s.PerUnit*sizes[i]
		squares += residual * residual
	}
	if mean := stat.Mean(values, nil); mean != 0 {
		s.Residual = math.Sqrt(squares/float64(len(values))) / math.Abs(mean)
	}
	return nil
}

// quantity is a value to measure at several sizes.
type quantity struct {
	name   string
	size   string
	unit   string
	growth Growth
	sizes  []int
	// measure returns the value at one size.
	measure func(size int) (float64, error)
}

// sweep measures a quantity at each of its sizes and fits the results.
func sweep(q quantity) (Slope, error) {
	slope := Slope{Name: q.name, Size: q.size, Unit: q.unit, Growth: q.growth}
	for _, size := range q.sizes {
		value, err := q.measure(size)
		if err != nil {
			return slope, errors.Wrapf(err, "%s at %d", q.name, size)
		}
		slope.Points = append(slope.Points, Point{Size: float64(size), Value: value})
	}
	return slope, slope.fit()
}

// sweepAll measures quantities one after the other.
func sweepAll(quantities ...quantity) ([]Slope, error) {
	slopes := make([]Slope, 0, len(quantities))
	for _, q := range quantities {
		slope, err := sweep(q)
		if err != nil {
			return slopes, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}
