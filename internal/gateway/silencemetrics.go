package gateway

import "github.com/prometheus/client_golang/prometheus"

// silenceMetrics are the metrics of engines that fall silent.
type silenceMetrics struct {
	silentEngines prometheus.Gauge
	probes        *prometheus.CounterVec
	moves         *prometheus.CounterVec
}

func newSilenceMetrics(registry *prometheus.Registry) silenceMetrics {
	m := silenceMetrics{
		silentEngines: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tillerfall_gateway_silent_engines", Help: "Engines from which nothing comes although requests are under way there.",
		}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_engine_probes_total", Help: "Probes of suspected engines, by outcome.",
		}, []string{"outcome"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_moved_sends_total", Help: "Sends at silent engines that were to go elsewhere, by outcome.",
		}, []string{"outcome"}),
	}
	if registry != nil {
		registry.MustRegister(m.silentEngines, m.probes, m.moves)
	}
	return m
}
