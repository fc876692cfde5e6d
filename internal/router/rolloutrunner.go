package router

import (
	"fmt"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/placement"
)

// rolloutRunner turns the configuration into orders to engines while this
// router holds the lease.
type rolloutRunner struct {
	router *Router
}

func newRolloutRunner(r *Router) (*rolloutRunner, error) { return &rolloutRunner{router: r}, nil }

func (r *rolloutRunner) start() {}
func (r *rolloutRunner) stop()  {}

// ReadyToPromote implements operator.Readiness.
func (r *rolloutRunner) ReadyToPromote(_ config.Document, weights fleet.Weights) error {
	loaded, total := 0, 0
	for _, engine := range r.router.placer.snapshot().Engines {
		if engine.Condition != placement.EngineReady {
			continue
		}
		total++
		for _, held := range engine.Loaded {
			if held == weights {
				loaded++
			}
		}
	}
	if loaded*2 <= total {
		return errors.New(fmt.Sprintf("%d of %d engines have version %q loaded", loaded, total, weights.Version))
	}
	return nil
}
