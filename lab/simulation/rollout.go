package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/rollout"
	"github.com/tillerfall/tillerfall/lab/history"
)

const (
	rolloutInterval   = 500 * time.Millisecond
	orderTimeout      = time.Second
	orderSpacing      = time.Millisecond
	rolloutCandidates = 3
	leaseCallTimeout  = 700 * time.Millisecond
)

func compareStrings[T ~string](a, b T) int { return cmp.Compare(a, b) }

// startRollout takes part in the lease election and plans the rollout while holding the lease.
func (r *router) startRollout() {
	holder := lease.NewHolderID(r.node, r.world.random.Uint64())
	election, err := lease.NewElection(leaseSettings, holder, r.world.newRandom())
	if err != nil {
		panic(err) // constant settings
	}
	r.election = election
	r.planner = rollout.NewPlanner(rollout.PlannerSettings{UnloadGrace: 3 * time.Second})
	r.updateEligibility()
	r.stepElection()
	r.runRollout()
}

func (r *router) updateEligibility() {
	candidates := membership.Owners(leaseSettings.Key, r.members.View().Routable(), rolloutCandidates)
	r.election.SetEligible(slices.Contains(candidates, r.node))
}

// stepElection performs the election's next action.
func (r *router) stepElection() {
	if r.electing {
		return
	}
	action := r.election.Next(r.now())
	service := r.world.tables
	switch action.Kind {
	case lease.ActionDone:
	case lease.ActionWait:
		r.after(max(action.Until-r.now(), time.Millisecond), r.stepElection)
	case lease.ActionRead:
		r.electing = true
		serve := func(reply func(any) time.Duration) { service.serveRead(leaseSettings.Key, reply) }
		r.world.network.call(&r.process, &service.process, leaseCallTimeout, serve, func(answer any, outcome callOutcome) {
			r.electing = false
			row, err := platform.Row{}, platform.ErrUnavailable
			if outcome == answered {
				row, err = answer.(tableAnswer).row, answer.(tableAnswer).err
			}
			if err := r.election.ReadDone(r.now(), row, err); err != nil {
				panic(err) // only elections write this row
			}
			r.stepElection()
		})
	case lease.ActionCommit:
		r.electing = true
		serve := func(reply func(any) time.Duration) { service.serveCommit(action.Transaction, reply) }
		r.world.network.call(&r.process, &service.process, leaseCallTimeout, serve, func(answer any, outcome callOutcome) {
			r.electing = false
			r.election.CommitDone(r.now(), commitError(answer, outcome))
			r.stepElection()
		})
	}
}

// tableAnswer is the table service's answer to a call of an election.
type tableAnswer struct {
	row platform.Row
	err error
}

func commitError(answer any, outcome callOutcome) error {
	switch outcome {
	case answered:
		return answer.(tableAnswer).err
	case refused:
		return platform.ErrUnavailable
	default:
		return platform.ErrUnknownOutcome
	}
}

// runRollout periodically makes a plan and sends its orders while the lease is held.
func (r *router) runRollout() {
	r.after(rolloutInterval, r.runRollout)
	token, held := r.election.Fence(r.now())
	view := r.holder.Current()
	if !held || view == nil {
		return
	}
	document := view.Document()
	orders := r.planner.Plan(r.now(), &document, r.rolloutEngines())
	if len(orders) > 0 {
		r.world.freezePlanner(r)
	}
	for position, order := range orders {
		r.after(time.Duration(position)*orderSpacing, func() { r.sendOrder(order, token) })
	}
}

func (r *router) rolloutEngines() []rollout.Engine {
	var engines []rollout.Engine
	for _, status := range r.freshStatuses() {
		engines = append(engines, rollout.Engine{Pool: pool, Status: status})
	}
	return engines
}

// sendOrder sends an order if the lease is still held.
func (r *router) sendOrder(order rollout.Order, planned fleet.FencingToken) {
	token, held := r.election.Fence(r.now())
	if r.world.options.Variant == FenceAtPlan {
		token, held = planned, true
	}
	if !held {
		return
	}
	order.Order.Fence = token
	host := r.world.engineByID(order.Engine)
	r.world.record(history.OrderSent{Router: r.node, Engine: order.Engine, Token: token, Kind: order.Order.Kind})
	serve := func(reply func(any) time.Duration) { host.serveOrder(order.Order, reply) }
	r.world.network.call(&r.process, &host.process, orderTimeout, serve, func(any, callOutcome) {})
}

// ReadyToPromote implements operator.Readiness.
func (r *router) ReadyToPromote(document config.Document, version fleet.ModelVersion) error {
	ready, loaded, wanted := rollout.ReadyToPromote(&document, r.rolloutEngines(), version.Model, version.Adapter, version.Version)
	if ready {
		return nil
	}
	return errors.Errorf("%d of %d engines have version %q loaded", loaded, wanted, version.Version)
}
