package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
)

// Descriptions of the metrics read from the placement core.
var (
	waitingDescription = prometheus.NewDesc(metricsNamespace+"_waiting",
		"Waiting requests by class.", []string{"class"}, nil)
	enginesDescription = prometheus.NewDesc(metricsNamespace+"_engines",
		"Listed engines by condition.", []string{"condition"}, nil)
	ownedDescription = prometheus.NewDesc(metricsNamespace+"_owned_engines",
		"Listed engines that this router indexes and places on, by condition.", []string{"condition"}, nil)
	inFlightDescription = prometheus.NewDesc(metricsNamespace+"_in_flight",
		"Grants that aren't known to have ended.", nil, nil)
	lostGrantsDescription = prometheus.NewDesc(metricsNamespace+"_lost_grants_total",
		"Grants whose end was never reported.", nil, nil)
	indexBlocksDescription = prometheus.NewDesc(metricsNamespace+"_index_blocks",
		"Blocks in the prefix index.", nil, nil)
	indexBytesDescription = prometheus.NewDesc(metricsNamespace+"_index_bytes",
		"Memory of the prefix index in bytes.", nil, nil)
	distrustedDescription = prometheus.NewDesc(metricsNamespace+"_distrusted_caches",
		"Owned engines whose cache events have a gap.", nil, nil)
	revisionDescription = prometheus.NewDesc(metricsNamespace+"_configuration_revision",
		"Configuration revision in force; 0 before the first.", nil, nil)
)

// collector reads metrics from the placement core on each scrape.
type collector struct {
	placer *placer
}

// Describe implements prometheus.Collector.
func (c collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		waitingDescription, enginesDescription, ownedDescription, inFlightDescription, lostGrantsDescription,
		indexBlocksDescription, indexBytesDescription, distrustedDescription, revisionDescription,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	snapshot := c.placer.snapshot()
	gauge := func(description *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value), labels...)
	}
	waiting := make(map[fleet.ClassName]int)
	for _, class := range snapshot.Waiting {
		waiting[class.Class] += class.Waiting
	}
	for class, count := range waiting {
		gauge(waitingDescription, count, string(class))
	}
	conditions := map[placement.EngineCondition]int{
		placement.EngineReady: 0, placement.EngineLeaving: 0, placement.EngineUnreachable: 0, placement.EngineUnknown: 0,
	}
	owned := make(map[placement.EngineCondition]int)
	distrusted := 0
	for _, engine := range snapshot.Engines {
		conditions[engine.Condition]++
		if engine.Owned {
			owned[engine.Condition]++
		}
		if engine.Owned && !engine.CacheTrusted {
			distrusted++
		}
	}
	for condition, count := range conditions {
		gauge(enginesDescription, count, string(condition))
		gauge(ownedDescription, owned[condition], string(condition))
	}
	gauge(distrustedDescription, distrusted)
	gauge(inFlightDescription, snapshot.InFlight)
	gauge(indexBlocksDescription, snapshot.IndexBlocks)
	gauge(indexBytesDescription, snapshot.IndexBytes)
	gauge(revisionDescription, int(snapshot.Revision))
	metrics <- prometheus.MustNewConstMetric(lostGrantsDescription, prometheus.CounterValue, float64(snapshot.LostGrants))
}

// snapshot returns the state of the placement core.
func (p *placer) snapshot() placement.Snapshot {
	var snapshot placement.Snapshot
	p.do(func(now time.Duration, core *placement.Core) { snapshot = core.Snapshot(now) })
	return snapshot
}
