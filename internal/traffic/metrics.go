package traffic

import "github.com/prometheus/client_golang/prometheus"

// Collector exports a meter's counts.
type Collector struct {
	meter *Meter
	bytes *prometheus.Desc
}

var _ prometheus.Collector = (*Collector)(nil)

// NewCollector returns a collector that exports a meter's counts as the metric name.
func NewCollector(meter *Meter, name string) *Collector {
	return &Collector{
		meter: meter,
		bytes: prometheus.NewDesc(name, "Bytes on connections, by what they are for, how far they go and the direction.",
			[]string{"purpose", "distance", "direction"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.bytes }

// Collect implements prometheus.Collector.
func (c *Collector) Collect(collected chan<- prometheus.Metric) {
	for _, count := range c.meter.Counts() {
		collected <- prometheus.MustNewConstMetric(c.bytes, prometheus.CounterValue, float64(count.Bytes),
			count.Purpose.String(), count.Distance.String(), count.Direction.String())
	}
}
