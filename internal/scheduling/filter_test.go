package scheduling

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestFilters guards against a filter that doesn't remove an ineligible endpoint, or is reported
// under the wrong name.
func TestFilters(t *testing.T) {
	mutations := map[string]func(*Request, *Endpoint){
		"":                 func(*Request, *Endpoint) {},
		FilterPool:         func(_ *Request, e *Endpoint) { e.Pool = "other" },
		FilterReady:        func(_ *Request, e *Endpoint) { e.Ready = false },
		FilterDraining:     func(_ *Request, e *Endpoint) { e.Draining = true },
		FilterExcluded:     func(r *Request, e *Endpoint) { r.Excluded = []fleet.EngineRun{e.Run} },
		FilterModelVersion: func(r *Request, _ *Endpoint) { r.ModelVersion.Version = "v2" },
		FilterStreams:      func(_ *Request, e *Endpoint) { e.InFlight = e.MaxStreams },
	}
	for name, mutate := range mutations {
		t.Run("removed by "+name, func(t *testing.T) {
			request, endpoint := testRequest(), testEndpoint(1)
			mutate(&request, &endpoint)
			assert.Equal(t, name, removedBy(&request, &endpoint))
		})
	}
}

func TestExclusionAppliesToOneRun(t *testing.T) {
	request, endpoint := testRequest(), testEndpoint(1)
	request.Excluded = []fleet.EngineRun{endpoint.Run}
	endpoint.Run.Incarnation++
	assert.True(t, notExcluded(&request, &endpoint))
}
