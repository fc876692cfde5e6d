package agent

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tillerfall/tillerfall/internal/attempt"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

const metricsNamespace = "tillerfall_agent"

// firstTokenBuckets are histogram buckets in seconds.
var firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8, 25.6, 60}

// abortedLabel is the code label of requests whose caller disconnected.
const abortedLabel = "caller_gone"

type metrics struct {
	requests       *prometheus.CounterVec
	firstToken     *prometheus.HistogramVec
	promptTokens   prometheus.Counter
	cachedTokens   prometheus.Counter
	outputTokens   prometheus.Counter
	retries        prometheus.Counter
	resumes        prometheus.Counter
	droppedEvents  prometheus.Counter
	droppedReports prometheus.Counter
	running        prometheus.Gauge
	revision       prometheus.Gauge
	routerFailures prometheus.Counter
	spills         prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "requests_total", Help: "Requests by result code and class.",
		}, []string{"code", "class"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Name: "time_to_first_token_seconds",
			Help: "Time from a request's arrival to its first token.", Buckets: firstTokenBuckets,
		}, []string{"class"}),
		promptTokens:   newCounter("prompt_tokens_total", "Prompt tokens of finished requests."),
		cachedTokens:   newCounter("cached_tokens_total", "Prompt tokens that engines took from their caches."),
		outputTokens:   newCounter("output_tokens_total", "Tokens passed on to callers."),
		retries:        newCounter("retries_total", "Attempts drawn from the retry budget."),
		resumes:        newCounter("resumes_total", "Resumes of streams."),
		droppedEvents:  newCounter("dropped_events_total", "Answers and frames that came for closed operations."),
		droppedReports: newCounter("dropped_reports_total", "Reports to routers that were given up."),
		running:        newGauge("running_requests", "Unfinished requests."),
		revision:       newGauge("configuration_revision", "Revision of the configuration in force."),
		routerFailures: newCounter("router_failures_total", "Calls to routers that got no answer."),
		spills:         newCounter("spills_total", "Requests handed back by saturated routers."),
	}
	registry.MustRegister(m.requests, m.firstToken, m.promptTokens, m.cachedTokens, m.outputTokens, m.retries,
		m.resumes, m.droppedEvents, m.droppedReports, m.running, m.revision, m.routerFailures, m.spills)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

func (m *metrics) countResult(code resultcode.Code, class fleet.ClassName) {
	m.requests.WithLabelValues(code.String(), string(class)).Inc()
}

func (m *metrics) countAborted(class fleet.ClassName) {
	m.requests.WithLabelValues(abortedLabel, string(class)).Inc()
}

func (m *metrics) observeFirstToken(class fleet.ClassName, after time.Duration) {
	m.firstToken.WithLabelValues(string(class)).Observe(after.Seconds())
}

func (m *metrics) addStats(stats attempt.Stats) {
	m.retries.Add(float64(stats.Retries))
	m.resumes.Add(float64(stats.Resumes))
	m.droppedEvents.Add(float64(stats.DroppedEvents))
}
