package agent

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/pagetest"
)

// TestOperationsPageListsAgentMetrics guards against differences between docs/OPERATIONS.md and the
// registered metrics.
func TestOperationsPageListsAgentMetrics(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	registry := prometheus.NewRegistry()
	newMetrics(registry)
	registered := pagetest.MetricNames(registry)
	require.NotEmpty(t, registered)
	for _, name := range registered {
		assert.Contains(t, string(data), "\n| `"+name+"` |")
	}
	for _, name := range regexp.MustCompile("tillerfall_agent_[a-z_]+").FindAllString(string(data), -1) {
		assert.Contains(t, registered, name)
	}
}
