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

// runRollout requires new versions when they are due and, while this node
// holds the lease, changes the engines.
func (g *Gateway) runRollout() error {
	var orderFrom time.Duration
	var finished rolloutGeneration
	held := false
	for g.pauseInterval(g.rolloutCheckInterval()) {
		now := g.now()
		if age, proven := g.freshness.Age(now); proven && age > storeLostAfter {
			g.rollout.postpone(now)
		}
		g.enforceDueVersions(now)
		g.pending.expire(g.rollout.due(now, beginReserve))
		g.updateFallbackCandidate(now)
		g.lease.SetEligible(g.isRolloutCandidate())
		token, holds := g.lease.Fence()
		if holds && !held {
			orderFrom = now + g.orderDelay(token)
			g.logger.Info().Uint64("token", uint64(token)).Dur("order_delay", orderFrom-now).Msg("rollout_taken")
		}
		held = holds
		if !holds || now < orderFrom || g.isStopping() {
			continue
		}
		mark := rolloutGeneration{workers: g.workers.Changes(), versions: g.rollout.generation()}
		if mark == finished {
			continue
		}
		workers := g.workers.Workers()
		if !g.rollout.hasOutdated(workers) {
			finished = mark
			continue
		}
		for _, next := range g.rollout.startUpdates(now, workers, g.workers.Doubtful(now)) {
			g.life.Go(func() error {
				g.updateEngine(next)
				return nil
			})
		}
	}
	return nil
}

// rolloutGeneration names a state of the workers and of the named versions. While it is the one in
// which all engines had the newest ones, there is nothing to look for: there are ten looks a second, each at
// all workers.
type rolloutGeneration struct {
	workers, versions uint64
}

// rolloutCheckInterval returns the time until the next look: short while this node carries
// requests or may hold the lease, since in a large fleet most nodes do neither.
func (g *Gateway) rolloutCheckInterval() time.Duration {
	roles := g.roles.Load()
	_, holds := g.lease.Fence()
	if roles.sharesLoads || holds || g.inFlight.Load() > 0 {
		return rolloutInterval
	}
	return idleRolloutInterval
}

// enforceDueVersions has requests go to engines with the versions that are due at now.
func (g *Gateway) enforceDueVersions(now time.Duration) {
	g.versionsEnforcedAt.Store(int64(now))
	for model, version := range g.rollout.due(now, enforceReserve) {
		g.workers.Require(model, version)
	}
	for model, version := range g.rollout.preferred(now) {
		g.workers.Prefer(model, version)
	}
}

// refreshDueVersions is requireDue for a request that is placed at now, unless that was
// done a moment ago.
func (g *Gateway) refreshDueVersions(now time.Duration) {
	if now-time.Duration(g.versionsEnforcedAt.Load()) >= rolloutInterval {
		g.enforceDueVersions(now)
	}
}

// orderDelay returns the time until a new holder may order, so that its orders
// don't come within the least gap behind those of the holder before.
func (g *Gateway) orderDelay(token fleet.FencingToken) time.Duration {
	if token <= 1 {
		return 0
	}
	if g.lease.Predecessor().Machine() == g.settings().Node {
		return 0
	}
	delay := g.settings().LeaseGap + leaseGapSlack
	if g.lease.Predecessor() != "" {
		return delay - leaseSettings(*g.settings()).Margin*2
	}
	return max(delay-g.lease.IdleAtTakeover(), 0)
}

// keepLease runs the lease's keeper, which first reads the lease. At the first start of
// the whole fleet nobody has held it, so that a node waits until it may take it; after a
// restart the keeper looks at once whether the lease is still its machine's.
func (g *Gateway) keepLease() error {
	for g.settings().FirstStart && !g.isRolloutCandidate() && !g.isStopping() {
		if !g.pause(idleRolloutInterval) {
			return nil
		}
	}
	g.lease.Start()
	return nil
}

// isRolloutCandidate tells whether this node is among those that take the lease.
func (g *Gateway) isRolloutCandidate() bool {
	return !g.isStopping() && g.roleSettled.Load() && (g.roles.Load().isCandidate || g.fallbackCandidate.Load())
}

// updateEngine brings one engine to a version: it keeps requests away, sends
// the order, and asks until the engine has the version.
func (g *Gateway) updateEngine(next engineUpdate) {
	begun := g.now()
	took, ordered := time.Duration(0), begun
	defer func() { g.rollout.finishUpdate(g.now(), next, took, begun+took-ordered) }()
	if !g.quiesce(begun, next.worker.ID) {
		return
	}
	repeatAt := time.Duration(0)
	orders := int64(-1)
	failed := 0
	for g.now() < begun+updateTimeout {
		if !g.pause(g.orderDelayOf(&next.worker, begun)) {
			return
		}
		wait := g.reportIntervalFor(&next.worker)
		report, err := g.dependencies.Engines.Report(g.workerCall(g.context(), callReport, &next.worker), next.worker)
		if err == nil {
			g.observeWorkerStart(next.worker.ID, backends.StartTime(report.Born))
		}
		switch {
		case err != nil:
			failed++
			g.logger.Warn().Str("worker", string(next.worker.ID)).Err(err).Msg("report_failed")
			if failed >= maxFailedReports || errors.Is(err, rollout.ErrOtherRun) {
				return
			}
		case report.Versions[next.model] >= next.version && !report.Busy:
			took = g.now() - begun
			g.recordUpdated(next, backends.WeightsVersion(report.Versions[next.model]), took)
			return
		case !report.Busy && (report.Orders != orders || g.now() > repeatAt):
			next.version = max(next.version, g.rollout.newestVersion(next.model))
			result, sent := g.sendOrder(next, report)
			if !sent {
				return
			}
			ordered = g.now()
			repeatAt, orders, wait = ordered+reorderDelay(result), report.Orders, minLoadTime
			if result == rollout.OrderUncertain {
				wait = g.reportIntervalFor(&next.worker)
			}
		}
		g.cordonEngine(next.worker.ID)
		if !g.pause(wait) {
			return
		}
	}
}

// reportIntervalFor returns the time between two questions to an engine under order.
func (g *Gateway) reportIntervalFor(worker *backends.Worker) time.Duration {
	if g.limits.limited(worker.ID, worker.Born) {
		return limitedReportInterval
	}
	return reportInterval
}

// quiesce keeps requests away from an engine until its runs have ended, for a
// time at the most. It returns false when the process ends.
func (g *Gateway) quiesce(begun time.Duration, id fleet.EngineID) bool {
	g.cordonEngine(id)
	if !g.pause(minQuiesce) {
		return false
	}
	most := quiesceLimit(g.workers.MemoryUse(g.now(), id))
	for g.now() < begun+most && g.workers.InFlight(g.now(), id) > 0 {
		g.cordonEngine(id)
		if !g.pause(quiescePollInterval) {
			return false
		}
	}
	return true
}

// quiesceLimit returns how long an engine's runs are let end, by the part of the
// engines' memory that is in use.
func quiesceLimit(use float64) time.Duration {
	part := min(max((use-idleMemoryUse)/(fullMemoryUse-idleMemoryUse), 0), 1)
	return maxQuiesceIdle - time.Duration(part*float64(maxQuiesceIdle-maxQuiesceFull))
}

// cordonEngine has this node and all that share loads send no requests to an engine
// for a while.
func (g *Gateway) cordonEngine(id fleet.EngineID) {
	until := g.now() + cordonDuration
	g.workers.NoteOrder(id, until)
	if g.rollout.markOrdered(id, until) {
		g.announcer.noteAll()
	}
}

// reorderDelay returns how long after an order without effect it is sent again. One
// that may have been lost is repeated soon: both expect the same count of orders,
// so that only one of them is carried out.
func reorderDelay(result rollout.OrderResult) time.Duration {
	if result == rollout.OrderUncertain {
		return reorderUncertain
	}
	return reorderAfter
}

// sendOrder sends one sendOrder, if the lease is still held right before. It returns
// false if it isn't.
func (g *Gateway) sendOrder(next engineUpdate, report rollout.Report) (rollout.OrderResult, bool) {
	token, holds := g.lease.Fence()
	if !holds {
		g.logger.Warn().Str("worker", string(next.worker.ID)).Msg("order_dropped_without_lease")
		return rollout.OrderUncertain, false
	}
	g.lease.NoteUse()
	ctx, cancel := context.WithTimeout(g.workerCall(g.context(), callOrder, &next.worker), orderTimeout)
	defer cancel()
	result, err := g.dependencies.Engines.OrderVersion(ctx, next.worker, rollout.VersionOrder{
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

// recordUpdated notes that an engine has its new version.
func (g *Gateway) recordUpdated(done engineUpdate, version backends.WeightsVersion, took time.Duration) {
	g.workers.NoteVersion(done.worker.ID, done.model, version)
	g.workers.NoteOrder(done.worker.ID, 0)
	g.rollout.clearOrdered(done.worker.ID)
	g.announcer.noteAll()
	g.logger.Info().Str("worker", string(done.worker.ID)).Uint64("version", uint64(version)).Dur("took", took).Msg("weights_changed")
}
