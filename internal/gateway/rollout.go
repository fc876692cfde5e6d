package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/lease"
	"github.com/tillerfall/tillerfall/internal/rollout"
)

// driveRollout requires new versions when they are due and, while this node
// holds the lease, changes the engines.
func (g *Gateway) driveRollout() error {
	var orderFrom time.Duration
	var finished rolloutMark
	held := false
	for g.pauseOrRest(g.rolloutPause()) {
		now := g.now()
		if age, proven := g.fresh.Age(now); proven && age > storeLostAfter {
			g.weights.hold(now)
		}
		g.requireDue(now)
		g.pending.expire(g.weights.due(now, beginReserve))
		g.noteStandIn(now)
		g.keeper.SetEligible(g.rolloutCandidate())
		token, holds := g.keeper.Fence()
		if holds && !held {
			orderFrom = now + g.orderDelay(token)
			g.logger.Info().Uint64("token", uint64(token)).Dur("order_delay", orderFrom-now).Msg("rollout_taken")
		}
		held = holds
		if !holds || now < orderFrom || g.stopping() {
			continue
		}
		mark := rolloutMark{workers: g.workers.Changes(), namings: g.weights.namings()}
		if mark == finished {
			continue
		}
		workers := g.workers.Workers()
		if !g.weights.unfinished(workers) {
			finished = mark
			continue
		}
		for _, next := range g.weights.next(now, workers, g.workers.Doubtful(now)) {
			g.life.Go(func() error {
				g.carryChange(next)
				return nil
			})
		}
	}
	return nil
}

// rolloutMark names a state of the workers and of the named versions. While it is the one in
// which all engines had the newest ones, there is nothing to look for: there are ten looks a second, each at
// all workers.
type rolloutMark struct {
	workers, namings uint64
}

// rolloutPause returns the time until the next look: short while this node carries
// requests or may hold the lease, since in a large fleet most nodes do neither.
func (g *Gateway) rolloutPause() time.Duration {
	roles := g.roles.Load()
	_, holds := g.keeper.Fence()
	if roles.sharesLoads || holds || g.inFlight.Load() > 0 {
		return rolloutInterval
	}
	return rolloutRest
}

// requireDue has requests go to engines with the versions that are due at now.
func (g *Gateway) requireDue(now time.Duration) {
	g.requiredAt.Store(int64(now))
	for model, version := range g.weights.due(now, requireReserve) {
		g.workers.Require(model, version)
	}
	for model, version := range g.weights.replaced(now) {
		g.workers.Prefer(model, version)
	}
}

// requireDueSoon is requireDue for a request that is placed at now, unless that was
// done a moment ago.
func (g *Gateway) requireDueSoon(now time.Duration) {
	if now-time.Duration(g.requiredAt.Load()) >= rolloutInterval {
		g.requireDue(now)
	}
}

// orderDelay returns the time until a new holder may order, so that its orders
// don't come within the least gap behind those of the holder before.
func (g *Gateway) orderDelay(token fleet.FencingToken) time.Duration {
	if token <= 1 {
		return 0
	}
	if g.keeper.Predecessor().Machine() == g.settings().Node {
		return 0
	}
	delay := g.settings().LeaseGap + gapSlack
	if g.keeper.Predecessor() != "" {
		return delay - leaseSettings(*g.settings()).Margin*2
	}
	return max(delay-g.keeper.IdleAtTakeover(), 0)
}

// keepLease runs the lease's keeper, which first reads the lease. At the first start of
// the whole fleet nobody has held it, so that a node waits until it may take it; after a
// restart the keeper looks at once whether the lease is still its machine's.
func (g *Gateway) keepLease() error {
	for g.settings().FirstStart && !g.rolloutCandidate() && !g.stopping() {
		if !g.pause(rolloutRest) {
			return nil
		}
	}
	g.keeper.Start()
	return nil
}

// rolloutCandidate tells whether this node is among those that take the lease.
func (g *Gateway) rolloutCandidate() bool {
	return !g.stopping() && g.settled.Load() && (g.roles.Load().candidate || g.standIn.Load())
}

// carryChange brings one engine to a version: it keeps requests away, sends
// the order, and asks until the engine has the version.
func (g *Gateway) carryChange(next change) {
	begun := g.now()
	took, ordered := time.Duration(0), begun
	defer func() { g.weights.finish(g.now(), next, took, begun+took-ordered) }()
	if !g.quiesce(begun, next.worker.ID) {
		return
	}
	repeatAt := time.Duration(0)
	orders := int64(-1)
	failed := 0
	for g.now() < begun+changeTimeout {
		if !g.pause(g.orderDelayOf(&next.worker, begun)) {
			return
		}
		wait := g.reportInterval(&next.worker)
		report, err := g.outside.Engines.Report(g.workerCall(g.context(), callReport, &next.worker), next.worker)
		if err == nil {
			g.noteStart(next.worker.ID, backends.StartTime(report.StartTime))
		}
		switch {
		case err != nil:
			failed++
			g.logger.Warn().Str("worker", string(next.worker.ID)).Err(err).Msg("report_failed")
			if failed >= maxFailedReports || errors.Is(err, rollout.ErrDifferentRun) {
				return
			}
		case report.Versions[next.model] >= next.version && !report.Busy:
			took = g.now() - begun
			g.changed(next, backends.WeightsVersion(report.Versions[next.model]), took)
			return
		case !report.Busy && (report.Orders != orders || g.now() > repeatAt):
			next.version = max(next.version, g.weights.newest(next.model))
			result, sent := g.order(next, report)
			if !sent {
				return
			}
			ordered = g.now()
			repeatAt, orders, wait = ordered+repeatAfter(result), report.Orders, loadAtLeast
			if result == rollout.OrderUncertain {
				wait = g.reportInterval(&next.worker)
			}
		}
		g.keepAway(next.worker.ID)
		if !g.pause(wait) {
			return
		}
	}
}

// reportInterval returns the time between two questions to an engine under order.
func (g *Gateway) reportInterval(worker *backends.Worker) time.Duration {
	if g.limits.limited(worker.ID, worker.Born) {
		return limitedReportInterval
	}
	return reportInterval
}

// quiesce keeps requests away from an engine until its runs have ended, for a
// time at the most. It returns false when the process ends.
func (g *Gateway) quiesce(begun time.Duration, id fleet.EngineID) bool {
	g.keepAway(id)
	if !g.pause(quiesceLeast) {
		return false
	}
	most := quiesceMost(g.workers.MemoryUse(g.now(), id))
	for g.now() < begun+most && g.workers.InFlight(g.now(), id) > 0 {
		g.keepAway(id)
		if !g.pause(quiescePoll) {
			return false
		}
	}
	return true
}

// quiesceMost returns how long an engine's runs are let end, by the part of the
// engines' memory that is in use.
func quiesceMost(use float64) time.Duration {
	part := min(max((use-idleBelow)/(fullAbove-idleBelow), 0), 1)
	return quiesceIdle - time.Duration(part*float64(quiesceIdle-quiesceFull))
}

// keepAway has this node and all that share loads send no requests to an engine
// for a while.
func (g *Gateway) keepAway(id fleet.EngineID) {
	until := g.now() + orderedFor
	g.workers.NoteOrder(id, until)
	if g.weights.announce(id, until) {
		g.announcer.noteAll()
	}
}

// repeatAfter returns how long after an order without effect it is sent again. One
// that may have been lost is repeated soon: both expect the same count of orders,
// so that only one of them is carried out.
func repeatAfter(result rollout.OrderResult) time.Duration {
	if result == rollout.OrderUncertain {
		return reorderUncertain
	}
	return reorderAfter
}

// order sends one order, if the lease is still held right before. It returns
// false if it isn't.
func (g *Gateway) order(next change, report rollout.Report) (rollout.OrderResult, bool) {
	token, holds := g.keeper.Fence()
	if !holds {
		g.logger.Warn().Str("worker", string(next.worker.ID)).Msg("order_dropped_without_lease")
		return rollout.OrderUncertain, false
	}
	g.keeper.NoteUse()
	ctx, cancel := context.WithTimeout(g.workerCall(g.context(), callOrder, &next.worker), orderTimeout)
	defer cancel()
	result, err := g.outside.Engines.OrderVersion(ctx, next.worker, rollout.VersionOrder{
		Model:          next.model,
		Version:        next.version,
		Holder:         lease.HolderID(g.settings().Node),
		Token:          token,
		ExpectedOrders: report.Orders,
	})
	g.metrics.orders.Inc()
	g.logger.Info().Str("worker", string(next.worker.ID)).Str("model", string(next.model)).
		Uint64("version", next.version).Uint64("token", uint64(token)).Int64("expected_orders", report.Orders).
		Int("running", report.Running).Int("result", int(result)).AnErr("cause", err).Msg("order_sent")
	return result, true
}

// changed notes that an engine has its new version.
func (g *Gateway) changed(done change, version backends.WeightsVersion, took time.Duration) {
	g.workers.NoteVersion(done.worker.ID, done.model, version)
	g.workers.NoteOrder(done.worker.ID, 0)
	g.weights.retract(done.worker.ID)
	g.announcer.noteAll()
	g.logger.Info().Str("worker", string(done.worker.ID)).Uint64("version", uint64(version)).Dur("took", took).Msg("weights_changed")
}
