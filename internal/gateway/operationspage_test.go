package gateway

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPageNamesTheGatewaysMetrics compares docs/OPERATIONS.md with what a gateway
// registers.
func TestPageNamesTheGatewaysMetrics(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	registry := prometheus.NewRegistry()
	newMetrics(registry)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	var registered []string
	for description := range descriptions {
		name := regexp.MustCompile(`fqName: "([a-z_]+)"`).FindStringSubmatch(description.String())
		require.NotNil(t, name, description.String())
		registered = append(registered, name[1])
		assert.Contains(t, string(data), "\n| `"+name[1]+"` |")
	}
	for _, name := range regexp.MustCompile("tillerfall_gateway_[a-z_]+").FindAllString(string(data), -1) {
		assert.Contains(t, registered, name)
	}
}
