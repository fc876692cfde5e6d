package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// Long responses must not count as slow.
func TestExpectedResponseTimeGrowsWithLength(t *testing.T) {
	engine := &backends.EnginePlacement{Baseline: 20 * time.Millisecond}
	current := &callerRequest{service: &routes.Service{Engine: &routes.EngineService{EventTokens: 7}}}
	assert.Equal(t, engine.Baseline, expectedResponseTime(current, engine))
	current.eventCount = 10
	assert.Equal(t, engine.Baseline+70*backends.DefaultStep, expectedResponseTime(current, engine))
	current.service.Engine.EventTokens = 0
	assert.Equal(t, engine.Baseline+10*backends.DefaultStep, expectedResponseTime(current, engine))
	assert.Zero(t, expectedResponseTime(current, &backends.EnginePlacement{}), "continued run")
}

// A single high ratio must not decide the mean.
func TestGeometricMeanAveragesRatios(t *testing.T) {
	took := geometricMean(40*time.Millisecond, 900*time.Millisecond)
	predicted := geometricMean(10*time.Millisecond, 100*time.Millisecond)
	assert.InDelta(t, 6, float64(took)/float64(predicted), 0.001, "mean of 4 and 9")
	assert.Zero(t, geometricMean(0, time.Second))
}
