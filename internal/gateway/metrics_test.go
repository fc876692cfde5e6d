package gateway

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/pagetest"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// TestOperationsPageListsMetrics guards against differences between the metrics in
// docs/OPERATIONS.md and those that a gateway registers.
func TestOperationsPageListsMetrics(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	registry := prometheus.NewRegistry()
	newMetrics(registry, &traffic.Meter{})
	registerTicketMetrics(registry, newReturnTickets())
	registered := pagetest.MetricNames(registry)
	require.NotEmpty(t, registered)
	for _, name := range registered {
		assert.Contains(t, string(data), "\n| `"+name+"` |")
	}
	for _, name := range regexp.MustCompile("tillerfall_gateway_[a-z_]+").FindAllString(string(data), -1) {
		assert.Contains(t, registered, name)
	}
}
