package router

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

const metricsNamespace = "tillerfall_router"

// Values of the outcome label.
const (
	outcomeGranted    = "granted"
	outcomeHandedBack = "handed_back"
	outcomeRefused    = "refused"
)

// metrics holds a router's counters and histograms. The collector reads gauges from the placement
// core on each scrape.
type metrics struct {
	registry       *prometheus.Registry
	outcomes       *prometheus.CounterVec
	queueWait      *prometheus.HistogramVec
	decisionTime   prometheus.Histogram
	withdrawn      prometheus.Counter
	eventsReceived prometheus.Counter
	resyncs        prometheus.Counter
	engineErrors   *prometheus.CounterVec
	platformErrors *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "outcomes_total",
			Help: "Placement calls by class, outcome and result code.",
		}, []string{"class", "outcome", "code"}),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "queue_wait_seconds",
			Help:    "Time from a placement call to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"class"}),
		decisionTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "decision_seconds",
			Help:    "Time that the core takes for one submitted request.",
			Buckets: prometheus.ExponentialBuckets(0.000005, 2, 16),
		}),
		withdrawn: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "withdrawn_total",
			Help: "Placement calls that the agent gave up.",
		}),
		eventsReceived: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "cache_events_total",
			Help: "Cache events received from engines.",
		}),
		resyncs: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "cache_resyncs_total",
			Help: "Whole caches fetched from engines, at the start of a run and after lost events.",
		}),
		engineErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "engine_errors_total",
			Help: "Failed calls to engines by kind.",
		}, []string{"call"}),
		platformErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "platform_errors_total",
			Help: "Failed calls to the platform by kind.",
		}, []string{"call"}),
	}
	m.registry.MustRegister(m.outcomes, m.queueWait, m.decisionTime, m.withdrawn, m.eventsReceived, m.resyncs, m.engineErrors, m.platformErrors,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) observeOutcome(class fleet.ClassName, outcome placement.Outcome, wait time.Duration) {
	kind, code := outcomeGranted, resultcode.OK
	switch outcome := outcome.(type) {
	case placement.Refusal:
		kind, code = outcomeRefused, outcome.Code
	case placement.HandBack:
		kind = outcomeHandedBack
	}
	m.outcomes.WithLabelValues(string(class), kind, strconv.Itoa(int(code))).Inc()
	m.queueWait.WithLabelValues(string(class)).Observe(wait.Seconds())
}
