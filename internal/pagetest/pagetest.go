// Package pagetest helps tests to hold pages of docs/ to the code.
package pagetest

import (
	"regexp"

	"github.com/prometheus/client_golang/prometheus"
)

// describedName finds the name in the text of a metric's description, which
// shows it no other way.
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
