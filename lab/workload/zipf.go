package workload

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipf draws variants with a probability proportional to rank to the power of -skew.
type zipf struct {
	cumulative []float64
}

func newZipf(level Level) *zipf {
	z := &zipf{cumulative: make([]float64, level.Variants)}
	total := 0.0
	for i := range z.cumulative {
		total += math.Pow(float64(i+1), -level.Skew)
		z.cumulative[i] = total
	}
	return z
}

func (z *zipf) draw(random *rand.Rand) int {
	target := random.Float64() * z.cumulative[len(z.cumulative)-1]
	return sort.SearchFloat64s(z.cumulative, target)
}
