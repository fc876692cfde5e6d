package gateway

import "github.com/prometheus/client_golang/prometheus"

// streamOriginMetrics are the metrics of resumed streams and of the records of where they began.
type streamOriginMetrics struct {
	// resumptions counts the requests that resume a stream, by how its origin was found.
	resumptions *prometheus.CounterVec
	// records counts the records that other gateways hold, by whether one did before the first event went
	// to the caller.
	records *prometheus.CounterVec
}

func newStreamOriginMetrics(registry *prometheus.Registry) *streamOriginMetrics {
	m := &streamOriginMetrics{
		resumptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_stream_resumptions_total", Help: "Requests that resume a stream, by how its origin was found.",
		}, []string{"origin"}),
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_gateway_stream_records_total", Help: "Records of streams' origins for other nodes, by whether one held it in time.",
		}, []string{"result"}),
	}
	if registry != nil {
		registry.MustRegister(m.resumptions, m.records)
	}
	return m
}
