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

// runRollout enforces new model versions when they are due and, while this gateway holds the lease,
// updates the engines.
func (g *Gateway) runRollout() error {
	var firstOrderAt time.Duration
	var upToDate rolloutGeneration
	wasHolder := false
	for g.pauseInterval(g.rolloutCheckInterval()) {
		now := g.now()
		if age, proven := g.freshness.Age(now); proven && age > storeLostAfter {
			g.rollout.postpone(now)
		}
		g.enforceDueVersions(now)
		g.pending.cancelStale(g.rollout.dueVersions(now, staleVersionMargin))
		g.updateFallbackCandidate(now)
		g.lease.SetEligible(g.isRolloutCandidate())
		g.yieldLease(g.links.isPartitioned())
		token, isHolder := g.lease.Fence()
		if isHolder && !wasHolder {
			firstOrderAt = now + g.orderDelay(token)
			g.logger.Info().Uint64("token", uint64(token)).Dur("order_delay", firstOrderAt-now).Msg("rollout_taken")
		}
		wasHolder = isHolder
		if !isHolder || now < firstOrderAt || g.isStopping() {
			continue
		}
		current := rolloutGeneration{workers: g.workers.Changes(), versions: g.rollout.generation()}
		if current == upToDate {
			continue
		}
		workers := g.workers.Workers()
		if !g.rollout.hasOutdated(workers) {
			upToDate = current
			continue
		}
		for _, update := range g.rollout.startUpdates(now, workers, g.workers.AllSuspects(now)) {
			g.life.Go(func() error {
				g.updateEngine(update)
				return nil
			})
		}
	}
	return nil
}

// rolloutGeneration identifies a state of the workers and of the desired versions. The rollout loop
// skips its check of all workers while the state is one in which all engines were up to date.
type rolloutGeneration struct {
	workers, versions uint64
}

// rolloutCheckInterval returns the time until the next check. It is short while this gateway
// handles requests or may hold the lease, which most gateways of a large fleet don't.
func (g *Gateway) rolloutCheckInterval() time.Duration {
	roles := g.roles.Load()
	_, isHolder := g.lease.Fence()
	if roles.sharesLoads || isHolder || g.inFlight.Load() > 0 {
		return rolloutInterval
	}
	return idleRolloutInterval
}

// enforceDueVersions routes requests only to engines that have the versions due at now, and prefers
// engines that have the newer preferred versions.
func (g *Gateway) enforceDueVersions(now time.Duration) {
	g.versionsEnforcedAt.Store(int64(now))
	for model, version := range g.rollout.dueVersions(now, enforceReserve) {
		g.workers.RequireVersion(model, version)
	}
	for model, version := range g.rollout.preferredVersions(now) {
		g.workers.PreferVersion(model, version)
	}
}

// refreshDueVersions calls enforceDueVersions for a request that is placed at now, unless that was
// done within rolloutInterval.
func (g *Gateway) refreshDueVersions(now time.Duration) {
	if now-time.Duration(g.versionsEnforcedAt.Load()) >= rolloutInterval {
		g.enforceDueVersions(now)
	}
}

// orderDelay returns how long a new holder waits before its first order, so that orders of two
// holders are at least LeaseGap apart.
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

// keepLease runs the lease keeper, which first reads the lease. At the first start of the whole
// fleet nobody has held the lease, so a gateway waits until it is a candidate. After a restart the
// keeper checks at once whether its machine still holds the lease.
func (g *Gateway) keepLease() error {
	for g.settings().FirstStart && !g.isRolloutCandidate() && !g.isStopping() {
		if !g.pause(idleRolloutInterval) {
			return nil
		}
	}
	g.lease.Start()
	return nil
}

// yieldLease gives the lease up while this gateway is partitioned from the engines: its orders don't
// reach them, and through another gateway they would come from two machines.
func (g *Gateway) yieldLease(partitioned bool) {
	if g.yieldsLease != partitioned {
		g.yieldsLease = partitioned
		g.lease.SetYielding(partitioned)
	}
}

// isRolloutCandidate reports whether this gateway may take the lease.
func (g *Gateway) isRolloutCandidate() bool {
	return !g.isStopping() && g.roleSettled.Load() && (g.roles.Load().isCandidate || g.fallbackCandidate.Load())
}

// updateEngine updates one engine to a version: it cordons and quiesces the engine, sends the
// order, and polls until the engine reports the version.
func (g *Gateway) updateEngine(update engineUpdate) {
	start := g.now()
	duration, orderedAt := time.Duration(0), start
	defer func() { g.rollout.finishUpdate(g.now(), update, duration, start+duration-orderedAt) }()
	if !g.quiesce(start, update.worker.ID) {
		return
	}
	repeatAt := time.Duration(0)
	lastOrders := int64(-1)
	failedReports := 0
	for g.now() < start+updateTimeout {
		if !g.pause(g.remainingOrderDelay(&update.worker, start)) {
			return
		}
		wait := g.reportIntervalFor(&update.worker)
		report, err := g.dependencies.Engines.Report(g.workerCallContext(g.context(), callReport, &update.worker), update.worker)
		if err == nil {
			g.observeWorkerStart(update.worker.ID, backends.StartTime(report.StartTime))
		}
		switch {
		case err != nil:
			failedReports++
			g.logger.Warn().Str("worker", string(update.worker.ID)).Err(err).Msg("report_failed")
			if failedReports >= maxFailedReports || errors.Is(err, rollout.ErrDifferentRun) {
				return
			}
		case report.Versions[update.model] >= update.version && !report.Busy:
			duration = g.now() - start
			g.recordUpdated(update, backends.ModelVersion(report.Versions[update.model]), duration)
			return
		case !report.Busy && (report.Orders != lastOrders || g.now() > repeatAt):
			update.version = max(update.version, g.rollout.newestVersion(update.model))
			result, sent := g.sendOrder(update, report)
			if !sent {
				return
			}
			orderedAt = g.now()
			repeatAt, lastOrders, wait = orderedAt+reorderDelay(result), report.Orders, minLoadTime
			if result == rollout.OrderUncertain {
				wait = g.reportIntervalFor(&update.worker)
			}
		}
		g.cordonEngine(update.worker.ID)
		if !g.pause(wait) {
			return
		}
	}
}

// reportIntervalFor returns the interval at which an engine that was given an order is polled.
func (g *Gateway) reportIntervalFor(worker *backends.Worker) time.Duration {
	if g.limits.isLimited(worker.ID, worker.StartTime) {
		return limitedReportInterval
	}
	return reportInterval
}

// quiesce cordons an engine and waits until its runs have ended, up to quiesceLimit. It returns
// false when the process ends.
func (g *Gateway) quiesce(start time.Duration, engine fleet.EngineID) bool {
	g.cordonEngine(engine)
	if !g.pause(minQuiesce) {
		return false
	}
	limit := quiesceLimit(g.workers.MemoryUtilization(g.now(), engine))
	for g.now() < start+limit && g.workers.InFlight(g.now(), engine) > 0 {
		g.cordonEngine(engine)
		if !g.pause(quiescePollInterval) {
			return false
		}
	}
	return true
}

// quiesceLimit returns how long to wait for an engine's runs to end, for a fraction of the engines'
// memory that is in use.
func quiesceLimit(memoryUse float64) time.Duration {
	fraction := min(max((memoryUse-idleMemoryUse)/(fullMemoryUse-idleMemoryUse), 0), 1)
	return maxQuiesceIdle - time.Duration(fraction*float64(maxQuiesceIdle-maxQuiesceFull))
}

// cordonEngine stops this gateway and all that share loads from sending requests to an engine for
// cordonDuration.
func (g *Gateway) cordonEngine(engine fleet.EngineID) {
	until := g.now() + cordonDuration
	g.workers.Cordon(engine, until)
	if g.rollout.cordon(engine, until) {
		g.announcer.addAll()
	}
}

// reorderDelay returns the time until an order without effect is sent again. An order that may have
// been lost is repeated soon: both carry the same expected order count, so the engine executes only
// one of them.
func reorderDelay(result rollout.OrderResult) time.Duration {
	if result == rollout.OrderUncertain {
		return reorderUncertain
	}
	return reorderAfter
}

// sendOrder sends an order to an engine. It returns false, without sending, if this gateway no
// longer holds the lease.
func (g *Gateway) sendOrder(update engineUpdate, report rollout.Report) (rollout.OrderResult, bool) {
	token, isHolder := g.lease.Fence()
	if !isHolder {
		g.logger.Warn().Str("worker", string(update.worker.ID)).Msg("order_dropped_without_lease")
		return rollout.OrderUncertain, false
	}
	g.lease.RecordUse()
	ctx, cancel := context.WithTimeout(g.workerCallContext(g.context(), callOrder, &update.worker), orderTimeout)
	defer cancel()
	result, err := g.dependencies.Engines.OrderVersion(ctx, update.worker, rollout.VersionOrder{
		Model:          update.model,
		Version:        update.version,
		Holder:         lease.HolderID(g.settings().Node),
		Token:          token,
		ExpectedOrders: report.Orders,
	})
	g.metrics.orders.Inc()
	g.logger.Info().Str("worker", string(update.worker.ID)).Str("model", string(update.model)).
		Uint64("version", update.version).Uint64("token", uint64(token)).Int64("expected_orders", report.Orders).
		Int("running", report.Running).Int("result", int(result)).AnErr("cause", err).Msg("order_sent")
	return result, true
}

// recordUpdated records that an engine has its new version.
func (g *Gateway) recordUpdated(update engineUpdate, version backends.ModelVersion, duration time.Duration) {
	g.workers.ObserveVersion(update.worker.ID, update.model, version)
	g.workers.Cordon(update.worker.ID, 0)
	g.rollout.uncordon(update.worker.ID)
	g.announcer.addAll()
	g.logger.Info().Str("worker", string(update.worker.ID)).Uint64("version", uint64(version)).Dur("took", duration).Msg("weights_changed")
}
