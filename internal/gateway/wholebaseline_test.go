package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/routes"
)

// TestWholeAnswersAreComparedByTheirLength so that long ones aren't taken for slow.
func TestWholeAnswersAreComparedByTheirLength(t *testing.T) {
	engine := &backends.EnginePlacement{Baseline: 20 * time.Millisecond}
	current := &carried{service: &routes.Service{Engine: &routes.EngineService{EventTokens: 7}}}
	assert.Equal(t, engine.Baseline, wholeBaseline(current, engine))
	current.events = 10
	assert.Equal(t, engine.Baseline+70*backends.DefaultStep, wholeBaseline(current, engine))
	current.service.Engine.EventTokens = 0
	assert.Equal(t, engine.Baseline+10*backends.DefaultStep, wholeBaseline(current, engine))
	assert.Zero(t, wholeBaseline(current, &backends.EnginePlacement{}), "a run that goes on from a copy")
}
