package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rollout"
)

// rolloutLeaseKey is the key of the rollout lease in the table service.
const rolloutLeaseKey = "lease/rollout"

// rolloutCandidates is the number of routers that poll the lease, which limits the load on the
// table service.
const rolloutCandidates = 3

// rolloutRunner sends rollout orders to engines while this router holds the lease.
type rolloutRunner struct {
	router     *Router
	keeper     *lease.Keeper
	controller *rollout.Controller
}

func newRolloutRunner(r *Router) (*rolloutRunner, error) {
	settings := lease.Settings{
		Key:      rolloutLeaseKey,
		Duration: time.Duration(r.options.Settings.LeaseDuration),
		Margin:   time.Duration(r.options.Settings.LeaseMargin),
	}
	election, err := lease.NewElection(settings, lease.NewHolderID(r.node, rand.Uint64()), newRandom())
	if err != nil {
		return nil, errors.Wrap(err, "configure rollout lease")
	}
	runner := &rolloutRunner{router: r, keeper: lease.NewKeeper(election, r.options.Tables, r.clock, r.logger)}
	runner.controller = rollout.NewController(rollout.ControllerOptions{
		Lease:    runner.keeper,
		Orderer:  runner,
		Document: r.document,
		Engines:  func() []rollout.Engine { return r.engines.freshStatuses(r.tomb.Context(context.Background())) },
		Planner:  rollout.NewPlanner(rollout.PlannerSettings{}),
		Clock:    r.clock,
		Logger:   r.logger,
	})
	return runner, nil
}

func (r *rolloutRunner) start() {
	r.keeper.Start()
	r.controller.Start()
}

// stop waits for orders in flight and then releases the lease.
func (r *rolloutRunner) stop() {
	_ = r.controller.Stop()
	_ = r.keeper.Stop()
}

// setRouters updates whether this router is a candidate for the lease.
func (r *rolloutRunner) setRouters(routable []membership.Member) {
	candidates := membership.Owners(rolloutLeaseKey, routable, rolloutCandidates)
	r.keeper.SetEligible(slices.Contains(candidates, r.router.node))
}

// Order implements rollout.Orderer.
func (r *rolloutRunner) Order(ctx context.Context, id fleet.EngineID, order engine.Order) error {
	client, release, found := r.router.engines.client(id)
	if !found {
		return errors.Errorf("engine %q is no longer listed", id)
	}
	defer release()
	return client.SendOrder(ctx, order)
}

// ReadyToPromote implements operator.Readiness.
func (r *rolloutRunner) ReadyToPromote(document config.Document, modelVersion fleet.ModelVersion) error {
	engines := r.router.engines.freshStatuses(r.router.tomb.Context(context.Background()))
	ready, loaded, wanted := rollout.ReadyToPromote(&document, engines, modelVersion.Model, modelVersion.Adapter, modelVersion.Version)
	if ready {
		return nil
	}
	return errors.Errorf("%d of %d engines have version %q loaded", loaded, wanted, modelVersion.Version)
}

// document returns the current configuration, or nil if none is known.
func (r *Router) document() *config.Document {
	view := r.holder.Current()
	if view == nil {
		return nil
	}
	document := view.Document()
	return &document
}
