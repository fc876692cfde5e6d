package router

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// describedName finds the name in the text of a metric's description, which
// shows it no other way.
var describedName = regexp.MustCompile(`fqName: "(tillerfall_[a-z_]+)"`)

func registeredMetrics(registry *prometheus.Registry) []string {
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

// TestPageNamesTheRoutersMetrics compares docs/OPERATIONS.md with what a router
// registers.
func TestPageNamesTheRoutersMetrics(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	registered := registeredMetrics(newTestFleet(t, 0).startRouter("r").metrics.registry)
	for _, name := range registered {
		assert.Contains(t, string(data), "\n| `"+name+"` |")
	}
	for _, name := range regexp.MustCompile("tillerfall_[a-z_]+").FindAllString(string(data), -1) {
		if !strings.HasPrefix(name, "tillerfall_agent_") && !strings.HasPrefix(name, "tillerfall_gateway_") {
			assert.Contains(t, registered, name)
		}
	}
}
