package peer

import "github.com/prometheus/client_golang/prometheus"

// Label values.
const (
	directionSent     = "sent"
	directionReceived = "received"
	kindPull          = "PULL"
)

// metrics counts the messages of a peer. Bytes are those of the protocol, without HTTP's overhead.
type metrics struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
	failed   prometheus.Counter
	dropped  prometheus.Counter
	members  prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_peer_messages_total", Help: "Messages between routers.",
		}, []string{"direction", "kind"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tillerfall_peer_bytes_total", Help: "Bytes of messages between routers, without HTTP's own.",
		}, []string{"direction"}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tillerfall_peer_calls_failed_total", Help: "Calls to other routers that failed.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tillerfall_peer_calls_dropped_total", Help: "Calls to other routers dropped because too many waited.",
		}),
		members: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "tillerfall_members", Help: "Routers that aren't dead, self included.",
		}),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) error {
	if registerer == nil {
		return nil
	}
	for _, collector := range []prometheus.Collector{m.messages, m.bytes, m.failed, m.dropped, m.members} {
		if err := registerer.Register(collector); err != nil {
			return err
		}
	}
	return nil
}

func (m *metrics) count(direction, kind string, size int) {
	m.messages.WithLabelValues(direction, kind).Inc()
	m.bytes.WithLabelValues(direction).Add(float64(size))
}
