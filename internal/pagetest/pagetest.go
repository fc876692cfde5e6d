// Package pagetest helps tests to compare the pages in docs with the code.
package pagetest

import (
	"regexp"

	"github.com/prometheus/client_golang/prometheus"
)

// describedName matches the metric name in the text of a prometheus.Desc, which has no accessor for
// it.
var describedName = regexp.MustCompile(`fqName: "(tillerfall_[a-z_]+)"`)

// MetricNames returns the names of the metrics that a registry describes.
func MetricNames(registry *prometheus.Registry) []string {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var names []string
	for description := range descriptions {
		if found := describedName.FindStringSubmatch(description.String()); found != nil {
			names = append(names, found[1])
		}
	}
	return names
}
