package gateway

import (
	"sync"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/routes"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// table is this gateway's replica of a store table, updated from the store or from a peer.
type table struct {
	name  Table
	cache *watchcache.Cache
	// maxWait is the longest wait of one call that follows the table at the store. pause is the
	// least time between two such calls in a fleet that isn't small.
	maxWait time.Duration
	pause   time.Duration
	// applyRows applies changed rows.
	applyRows func(rows []watchcache.Row, changeGap gap)
	// onSnapshot, if set, is called after an update that contains the complete table.
	onSnapshot func(update *watchcache.Update)
	// onApplied is called last, after every update that was applied.
	onApplied func()
	// onResult is called with the result of every update, before the changed rows are applied.
	onResult func(result *watchcache.Result)
	// onProof is called after each call that followed the changes without a gap, with a time no
	// later than the response.
	onProof func(at time.Duration)

	// source is the peer that is watched, seenSequence the last sequence number received from it.
	// Both are used by the watching goroutine alone.
	source       fleet.NodeID
	seenSequence uint64

	// applyMutex serializes updates.
	applyMutex sync.Mutex
	// encoded is guarded by encodingMutex.
	encodingMutex sync.Mutex
	encoded       encodedUpdate
}

// apply applies an update and calls the table's hooks.
func (t *table) apply(update *watchcache.Update, changeGap gap) {
	t.applyMutex.Lock()
	defer t.applyMutex.Unlock()
	result := t.cache.ApplyWithResult(update)
	t.onResult(&result)
	if len(result.Changed) == 0 && !update.Complete {
		return
	}
	t.applyRows(result.Changed, changeGap)
	if update.Complete && t.onSnapshot != nil {
		t.onSnapshot(update)
	}
	t.onApplied()
}

// newTables returns the tables that every gateway follows.
func (g *Gateway) newTables() []*table {
	return []*table{
		{
			name: TableOperator,
			cache: watchcache.New(watchcache.Options{
				WriterSequence: g.writerSequences(TableOperator), LostRows: watchcache.KeepLostRows, RemembersStates: true,
			}),
			maxWait:   operatorWaitFor(g.settings().RevokeWithin),
			applyRows: g.applyOperatorRows,
			onApplied: g.updateReadiness,
			onResult:  g.logUnapplied(TableOperator),
			onProof:   g.recordStoreProof,
		},
		{
			name:      TableWorkers,
			cache:     watchcache.New(watchcache.Options{WriterSequence: g.writerSequences(TableWorkers)}),
			maxWait:   workersWait,
			pause:     workersPause,
			applyRows: g.applyWorkerRows,
			onApplied: g.updateReadiness,
			onResult:  g.logUnapplied(TableWorkers),
			onProof:   func(time.Duration) {},
		},
	}
}

// writerSequences returns a function that returns the writer's sequence of a row of a table.
func (g *Gateway) writerSequences(name Table) func(key string, value []byte) watchcache.WriterSequence {
	return func(key string, value []byte) watchcache.WriterSequence {
		sequence, err := g.dependencies.Store.WriterSequence(name, key, value)
		if err != nil {
			g.reportInvalidInput("", []InvalidInput{{Source: string(name), Key: key, Err: err}})
		}
		return sequence
	}
}

// logUnapplied returns a function that logs the rows of a table that an update held in an older state
// than this gateway, and those that a restored store has lost. The lines name the first one.
func (g *Gateway) logUnapplied(name Table) func(result *watchcache.Result) {
	return func(result *watchcache.Result) {
		if dropped := result.Dropped; len(dropped) > 0 {
			g.metrics.droppedRows.WithLabelValues(string(name)).Add(float64(len(dropped)))
			first := dropped[0]
			g.events.line("rows_dropped").Str("table", string(name)).Int("rows", len(dropped)).Str("key", first.Key).
				Uint64("epoch", uint64(first.Revision.Epoch())).Uint64("revision", first.Revision.Number()).
				Uint64("kept_epoch", uint64(first.KeptRevision.Epoch())).Uint64("kept_revision", first.KeptRevision.Number()).Msg("rows_dropped")
		}
		if lost := result.Lost; len(lost) > 0 {
			g.logger.Warn().Str("table", string(name)).Int("rows", len(lost)).Str("key", lost[0].Key).Msg("rows_lost")
		}
	}
}

// recordStoreProof records that this gateway itself has followed the operator table without a gap
// up to a time. While a proof doesn't count, the gateway asks its peers, as one without a proof does.
func (g *Gateway) recordStoreProof(at time.Duration) {
	if g.startProof.hold(at) {
		return
	}
	if reason := g.reasonAgainstProof(at); reason != "" {
		g.events.line("proof_withheld").Str("reason", reason).Msg("proof_withheld")
		return
	}
	g.freshness.Prove(at)
	g.updateReadiness()
	g.sources.recordProof(g.now(), at)
}

// applyOperatorRows applies changed rows of the operator table.
func (g *Gateway) applyOperatorRows(rows []watchcache.Row, changeGap gap) {
	decoded, err := g.dependencies.Store.DecodeOperator(rows)
	if err != nil {
		g.logger.Error().Str("table", string(TableOperator)).Err(err).Msg("row_refused")
	}
	now := g.now()
	changedAt, ageKnown := g.changeTime(now, changeGap)
	for _, desired := range decoded.DesiredVersions {
		if g.rollout.setDesired(changedAt, ageKnown, desired) {
			g.logger.Info().Str("model", string(desired.Model)).Uint64("version", uint64(desired.Version)).
				Uint64("epoch", uint64(desired.Revision.Epoch())).Uint64("revision", desired.Revision.Number()).Dur("age", now-changedAt).Bool("age_known", ageKnown).Msg("weights_named")
		}
	}
	if decoded.Document != nil {
		g.applyConfiguration(now, decoded)
	}
	g.applyOrders(now, changedAt, decoded)
}

// changeTime returns the latest time at which changes received now were made, and whether it is
// known. If this gateway could not reach the store, the changes may be as old as the last proof of
// any reachable gateway. If no gateway could reach it, their age counts from now, as for versions
// that were requested before the process started.
func (g *Gateway) changeTime(now time.Duration, changeGap gap) (time.Duration, bool) {
	if changeGap != gapUnreachable {
		return now, true
	}
	age, proven := g.freshness.Age(now)
	switch {
	case !proven:
		return now, false
	case age > storeLostAfter:
		return now, true
	default:
		return now - age, true
	}
}

// applyConfiguration activates a configuration. If it is invalid, the current one stays active.
func (g *Gateway) applyConfiguration(now time.Duration, rows *OperatorRows) {
	g.reportInvalidInput("", rows.Invalid)
	if snapshot := g.configuration.Current(); snapshot != nil {
		rows.Document.KeepUnreadableQuotas(snapshot.Table)
	}
	compiled, err := routes.Compile(*rows.Document)
	if err != nil {
		g.logger.Error().Uint64("version", uint64(rows.Document.Version)).Err(err).Msg("configuration_refused")
		return
	}
	if g.configuration.InstallIfNewer(now, rows.DocumentRevision, compiled) {
		g.quotas.setLimits(now, compiled.Tenants())
		g.observeRoutes(now, compiled)
		for _, service := range rows.Document.Services {
			if service.Engine != nil {
				g.workers.SetMemoryCapacity(service.Name, service.Engine.CapacityTokens)
			}
		}
		g.logger.Info().Uint64("version", uint64(compiled.Version())).Uint64("epoch", uint64(rows.DocumentRevision.Epoch())).Uint64("revision", rows.DocumentRevision.Number()).
			Int("routes", len(rows.Document.Routes)).Int("tenants", len(rows.Document.Tenants)).Msg("configuration_in_force")
	}
}

// applyWorkerRows applies changed rows of the workers table.
func (g *Gateway) applyWorkerRows(rows []watchcache.Row, _ gap) {
	now := g.now()
	decoded, invalid := g.dependencies.Store.DecodeWorkers(rows)
	g.reportInvalidInput("", invalid)
	g.planSubsets(decoded)
	counts := make(map[backends.Change]int)
	for _, row := range decoded {
		change := g.observeWorker(now, &row)
		counts[change]++
		g.handleWorkerChange(row.Worker, change)
		if change != backends.Unchanged && len(decoded) <= maxLoggedWorkers {
			g.logger.Info().Str("worker", string(row.Worker.ID)).Str("address", string(row.Worker.Address)).
				Str("service", string(row.Worker.Service)).Uint64("epoch", uint64(row.Revision.Epoch())).Uint64("revision", row.Revision.Number()).
				Str("change", string(change)).Msg("worker_changed")
		}
	}
	if len(decoded) > maxLoggedWorkers {
		g.logger.Info().Int("rows", len(decoded)).Int("added", counts[backends.Added]).Int("gone", counts[backends.Gone]).
			Int("draining", counts[backends.StartedDraining]).Int("restarted", counts[backends.Restarted]).
			Int("unusable", counts[backends.Unusable]).Int("version", counts[backends.NewVersion]).Msg("workers_changed")
	}
	g.observeVersions(now, decoded)
	g.observeSoftware()
	g.workersKnown.Store(true)
}

// forgetPreviousRun drops the state of a worker's previous run after a restart under the same
// identifier.
func (g *Gateway) forgetPreviousRun(worker fleet.EngineID) {
	g.upstreams.CloseIdleTo(worker)
	g.rollout.forgetRun(worker)
	g.limits.forget(worker)
	g.backoffs.forget(worker)
	g.recordWorkerEnded(worker, quarantine.RowRemoved)
}

// observeWorkerStart records a start time that a worker reports itself, independently of its row.
func (g *Gateway) observeWorkerStart(worker fleet.EngineID, startTime backends.StartTime) {
	if !g.workers.ObserveStart(worker, startTime) {
		return
	}
	g.forgetPreviousRun(worker)
	g.logger.Info().Str("worker", string(worker)).Str("change", string(backends.Restarted)).Msg("worker_changed")
}

// observeWorker applies one row to the worker registry.
func (g *Gateway) observeWorker(now time.Duration, row *WorkerRow) backends.Change {
	switch {
	case row.Deleted:
		return g.workers.ObserveGone(now, row.Revision, row.Worker.ID)
	case row.Unusable:
		return g.workers.ObserveUnusable(now, row.Revision, row.Worker.ID)
	default:
		return g.workers.Observe(row.Revision, row.Worker)
	}
}

// maxLoggedWorkers is the number of changed rows up to which each worker is logged separately.
// A node that reads thousands of workers would write as many lines at its start.
const maxLoggedWorkers = 64

// handleWorkerChange updates the state that depends on a worker after a change of its row.
func (g *Gateway) handleWorkerChange(worker backends.Worker, change backends.Change) {
	switch change {
	case backends.Gone, backends.StartedDraining, backends.Unusable:
		g.upstreams.CloseIdleTo(worker.ID)
	case backends.Restarted:
		g.forgetPreviousRun(worker.ID)
	}
	if change == backends.Gone {
		g.recordWorkerEnded(worker.ID, quarantine.RowRemoved)
	}
}
