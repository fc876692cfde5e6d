package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
)

// Ranges of the prefill factors that engines are counted in. A factor of 1 is the median engine.
const (
	rangeFast  = "faster"
	rangeUsual = "usual"
	rangeSlow  = "slower"
	// verySlowFactor is the factor from which an engine counts as much slower.
	verySlowFactor = 2
	rangeVerySlow  = "much_slower"
)

// Reasons why reported speeds are left out: the engine is unknown here, or the report is invalid.
const (
	rejectedUnknown = "unknown"
	rejectedInvalid = "invalid"
)

// predictionBuckets are the bucket bounds of the ratio of the measured to the predicted time to the
// first token.
var predictionBuckets = []float64{.25, .5, .8, 1, 1.2, 1.5, 2, 4, 8}

// engineSpeedMetrics are the metrics of engines' speeds. They have no series per engine.
type engineSpeedMetrics struct {
	engines     *prometheus.GaugeVec
	predictions prometheus.Histogram
	changes     prometheus.Counter
	rejected    *prometheus.CounterVec
}

func newEngineSpeedMetrics(registry *prometheus.Registry) *engineSpeedMetrics {
	m := &engineSpeedMetrics{
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_engines_by_speed", Help: "Engines with a measured speed, by prefill time relative to the median.",
		}, []string{"speed"}),
		predictions: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "tillerfall_gateway_first_token_over_predicted", Help: "Measured time to the first token over the predicted one.",
			Buckets: predictionBuckets,
		}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tillerfall_gateway_engine_speed_changes_total", Help: "Considerable changes of an engine's measured speed.",
		}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_engine_speeds_rejected_total", Help: "Speeds reported by peers that were left out, by reason.",
		}, []string{"reason"}),
	}
	if registry != nil {
		registry.MustRegister(m.engines, m.predictions, m.changes, m.rejected)
	}
	return m
}

// setFactors counts the engines by factor.
func (m *engineSpeedMetrics) setFactors(factors []enginespeed.Factors) {
	counts := map[string]int{rangeFast: 0, rangeUsual: 0, rangeSlow: 0, rangeVerySlow: 0}
	for _, factor := range factors {
		counts[speedRange(factor.Prefill)]++
	}
	for speed, count := range counts {
		m.engines.WithLabelValues(speed).Set(float64(count))
	}
}

// speedRange returns the range of a prefill factor. Small differences have a factor of 1.
func speedRange(factor float64) string {
	switch {
	case factor < 1:
		return rangeFast
	case factor >= verySlowFactor:
		return rangeVerySlow
	case factor > 1:
		return rangeSlow
	default:
		return rangeUsual
	}
}
