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

// table is one table of the store as this node knows it, whoever told.
type table struct {
	name  Table
	cache *watchcache.Cache
	// maxWait is the longest maxWait of one call that follows the table at the store,
	// pause the least time between two such calls in a larger fleet.
	maxWait time.Duration
	pause   time.Duration
	// applyRows takes rows that are news in.
	applyRows func(rows []watchcache.Row, since gap)
	// onSnapshot, if set, takes in the rows of an update that names all there are.
	onSnapshot func(update *watchcache.Update)
	// onApplied is called after that.
	onApplied func()
	// onProof is called for each call that followed the changes without a gap, with
	// a time at which its answer had not been given yet.
	onProof func(at time.Duration)

	// seen is the number of the last change seen of the watched node's cache. Both
	// are used by the watching goroutine alone.
	source       fleet.NodeID
	seenSequence uint64

	// applyMutex has updates taken in one after the other.
	applyMutex sync.Mutex
	// encoded is guarded by encodingMutex.
	encodingMutex sync.Mutex
	encoded       encodedUpdate
}

// apply takes an update in.
func (t *table) apply(update *watchcache.Update, since gap) {
	t.applyMutex.Lock()
	defer t.applyMutex.Unlock()
	news := t.cache.Apply(update)
	if len(news) == 0 && !update.Complete {
		return
	}
	t.applyRows(news, since)
	if update.Complete && t.onSnapshot != nil {
		t.onSnapshot(update)
	}
	t.onApplied()
}

// newTables returns the tables that every gateway keeps.
func (g *Gateway) newTables() []*table {
	return []*table{
		{
			name:      TableOperator,
			cache:     watchcache.New(0),
			maxWait:   operatorWaitFor(g.settings().RevokeWithin),
			applyRows: g.applyOperatorRows,
			onApplied: g.updateReadiness,
			onProof:   g.recordStoreProof,
		},
		{
			name:      TableWorkers,
			cache:     watchcache.New(0),
			maxWait:   workersWait,
			pause:     workersPause,
			applyRows: g.applyWorkerRows,
			onApplied: g.updateReadiness,
			onProof:   func(time.Duration) {},
		},
	}
}

// recordStoreProof notes that this node itself has followed the operator's table
// without a gap.
func (g *Gateway) recordStoreProof(at time.Duration) {
	g.freshness.Prove(at)
	g.updateReadiness()
	g.sources.recordProof(g.now(), at)
}

// applyOperatorRows takes in what the operator has written.
func (g *Gateway) applyOperatorRows(rows []watchcache.Row, since gap) {
	decoded, err := g.dependencies.Store.DecodeOperator(rows)
	if err != nil {
		g.logger.Error().Str("table", string(TableOperator)).Err(err).Msg("row_refused")
	}
	now := g.now()
	at, known := g.changeTime(now, since)
	for _, named := range decoded.DesiredVersions {
		if g.rollout.setDesired(at, known, named) {
			g.logger.Info().Str("model", string(named.Model)).Uint64("version", uint64(named.Version)).
				Uint64("revision", uint64(named.Revision)).Dur("age", now-at).Bool("age_known", known).Msg("weights_named")
		}
	}
	if decoded.Document != nil {
		g.applyConfiguration(now, decoded)
	}
	g.takeOrders(now, at, decoded)
}

// changeTime returns when changes that are heard of now were made at the latest;
// false if that isn't known. If the store was out of this node's reach they may
// be as old as the last proof that any reachable node had; if it was out of
// everybody's, their time begins now, as for versions named before.
func (g *Gateway) changeTime(now time.Duration, since gap) (time.Duration, bool) {
	if since != gapUnreachable {
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

// applyConfiguration takes a configuration over. One that can't be used is refused,
// and the one in force stays.
func (g *Gateway) applyConfiguration(now time.Duration, rows *OperatorRows) {
	g.reportInvalidInput("", rows.Invalid)
	if held := g.holder.Current(); held != nil {
		rows.Document.KeepQuotas(held.Table)
	}
	compiled, err := routes.Compile(*rows.Document)
	if err != nil {
		g.logger.Error().Uint64("version", uint64(rows.Document.Version)).Err(err).Msg("configuration_refused")
		return
	}
	if g.holder.Offer(now, rows.DocumentRevision, compiled) {
		g.quotas.setLimits(now, compiled.Tenants())
		for _, service := range rows.Document.Services {
			if service.Engine != nil {
				g.workers.SetCapacity(service.Name, service.Engine.CapacityTokens)
			}
		}
		g.logger.Info().Uint64("version", uint64(compiled.Version())).Uint64("revision", uint64(rows.DocumentRevision)).
			Int("routes", len(rows.Document.Routes)).Int("tenants", len(rows.Document.Tenants)).Msg("configuration_in_force")
	}
}

// applyWorkerRows takes in changed rows of workers.
func (g *Gateway) applyWorkerRows(rows []watchcache.Row, _ gap) {
	now := g.now()
	decoded, unreadable := g.dependencies.Store.DecodeWorkers(rows)
	g.reportInvalidInput("", unreadable)
	g.planSubsets(decoded)
	counts := make(map[backends.Change]int)
	for _, row := range decoded {
		change := g.observeWorker(now, &row)
		counts[change]++
		g.handleWorkerChange(row.Worker, change)
		if change != backends.Unchanged && len(decoded) <= maxLoggedWorkers {
			g.logger.Info().Str("worker", string(row.Worker.ID)).Str("address", string(row.Worker.Address)).
				Str("service", string(row.Worker.Service)).Uint64("revision", uint64(row.Revision)).
				Str("change", string(change)).Msg("worker_changed")
		}
	}
	if len(decoded) > maxLoggedWorkers {
		g.logger.Info().Int("rows", len(decoded)).Int("added", counts[backends.Added]).Int("gone", counts[backends.Gone]).
			Int("draining", counts[backends.Began]).Int("restarted", counts[backends.Restarted]).
			Int("unusable", counts[backends.Unusable]).Int("version", counts[backends.NewVersion]).Msg("workers_changed")
	}
	g.noteVersions(now, decoded)
	g.workersKnown.Store(true)
}

// forgetPreviousRun drops what is believed of a worker's run that has ended, as another one
// has its identifier.
func (g *Gateway) forgetPreviousRun(worker fleet.EngineID) {
	g.upstreams.Forget(worker)
	g.rollout.forgetRun(worker)
	g.limits.forget(worker)
	g.backoffs.forget(worker)
	g.noteWorkerEnded(worker, quarantine.RowGone)
}

// observeWorkerStart takes in when a worker says that it started, beside its row.
func (g *Gateway) observeWorkerStart(worker fleet.EngineID, born backends.StartTime) {
	if !g.workers.ObserveStart(worker, born) {
		return
	}
	g.forgetPreviousRun(worker)
	g.logger.Info().Str("worker", string(worker)).Str("change", string(backends.Restarted)).Msg("worker_changed")
}

// observeWorker takes one row in.
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

// maxLoggedWorkers is the number of changed rows up to which each worker has a log line of its
// own: a node that reads thousands would write as many lines at its start.
const maxLoggedWorkers = 64

// handleWorkerChange does what follows from a worker's change.
func (g *Gateway) handleWorkerChange(worker backends.Worker, change backends.Change) {
	switch change {
	case backends.Gone, backends.Began, backends.Unusable:
		g.upstreams.Forget(worker.ID)
	case backends.Restarted:
		g.forgetPreviousRun(worker.ID)
	}
	if change == backends.Gone {
		g.noteWorkerEnded(worker.ID, quarantine.RowGone)
	}
}
