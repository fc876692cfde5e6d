package router

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/pagetest"
)

// TestOperationsPageListsRouterMetrics guards against differences between docs/OPERATIONS.md and
// the registered metrics.
func TestOperationsPageListsRouterMetrics(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	registered := pagetest.MetricNames(newTestFleet(t, 0).startRouter("r").metrics.registry)
	for _, name := range registered {
		assert.Contains(t, string(data), "\n| `"+name+"` |")
	}
	for _, name := range regexp.MustCompile("tillerfall_[a-z_]+").FindAllString(string(data), -1) {
		if !strings.HasPrefix(name, "tillerfall_agent_") && !strings.HasPrefix(name, "tillerfall_gateway_") {
			assert.Contains(t, registered, name)
		}
	}
}
