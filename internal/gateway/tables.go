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
	// wait is the longest wait of one call that follows the table at the store,
	// pause the least time between two such calls in a larger fleet.
	wait  time.Duration
	pause time.Duration
	// take takes rows that are news in.
	take func(rows []watchcache.Row, since gap)
	// whole, if set, takes in the rows of an update that names all there are.
	whole func(update *watchcache.Update)
	// taken is called after that.
	taken func()
	// proven is called for each call that followed the changes without a gap, with
	// a time at which its answer had not been given yet.
	proven func(at time.Duration)

	// seen is the number of the last change seen of the watched node's cache. Both
	// are used by the watching goroutine alone.
	source fleet.NodeID
	seen   uint64

	// mutex has updates taken in one after the other.
	mutex sync.Mutex
	// encoded is guarded by encoding.
	encoding sync.Mutex
	encoded  encodedUpdate
}

// apply takes an update in.
func (t *table) apply(update *watchcache.Update, since gap) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	news := t.cache.Apply(update)
	if len(news) == 0 && !update.Complete {
		return
	}
	t.take(news, since)
	if update.Complete && t.whole != nil {
		t.whole(update)
	}
	t.taken()
}

// newTables returns the tables that every gateway keeps.
func (g *Gateway) newTables() []*table {
	return []*table{
		{
			name:   TableOperator,
			cache:  watchcache.New(0),
			wait:   operatorWaitFor(g.settings().RevokeWithin),
			take:   g.takeOperator,
			taken:  g.noteKnown,
			proven: g.proveByStore,
		},
		{
			name:   TableWorkers,
			cache:  watchcache.New(0),
			wait:   workersWait,
			pause:  workersPause,
			take:   g.takeWorkers,
			taken:  g.noteKnown,
			proven: func(time.Duration) {},
		},
	}
}

// proveByStore notes that this node itself has followed the operator's table
// without a gap.
func (g *Gateway) proveByStore(at time.Duration) {
	g.fresh.Prove(at)
	g.noteKnown()
	g.sources.proven(g.now(), at)
}

// takeOperator takes in what the operator has written.
func (g *Gateway) takeOperator(rows []watchcache.Row, since gap) {
	decoded, err := g.outside.Platform.DecodeOperator(rows)
	if err != nil {
		g.logger.Error().Str("table", string(TableOperator)).Err(err).Msg("row_refused")
	}
	now := g.now()
	at, known := g.changedAt(now, since)
	for _, named := range decoded.Weights {
		if g.weights.name(at, known, named) {
			g.logger.Info().Str("model", string(named.Model)).Uint64("version", uint64(named.Version)).
				Uint64("revision", uint64(named.Revision)).Dur("age", now-at).Bool("age_known", known).Msg("weights_named")
		}
	}
	if decoded.Document != nil {
		g.takeDocument(now, decoded)
	}
	g.takeOrders(now, at, decoded)
}

// changedAt returns when changes that are heard of now were made at the latest;
// false if that isn't known. If the store was out of this node's reach they may
// be as old as the last proof that any reachable node had; if it was out of
// everybody's, their time begins now, as for versions named before.
func (g *Gateway) changedAt(now time.Duration, since gap) (time.Duration, bool) {
	if since != gapUnreached {
		return now, true
	}
	age, proven := g.fresh.Age(now)
	switch {
	case !proven:
		return now, false
	case age > storeLostAfter:
		return now, true
	default:
		return now - age, true
	}
}

// takeDocument takes a configuration over. One that can't be used is refused,
// and the one in force stays.
func (g *Gateway) takeDocument(now time.Duration, rows *OperatorRows) {
	g.noteUnreadable("", rows.Unreadable)
	if held := g.holder.Current(); held != nil {
		rows.Document.KeepUnreadableQuotas(held.Table)
	}
	compiled, err := routes.Compile(*rows.Document)
	if err != nil {
		g.logger.Error().Uint64("version", uint64(rows.Document.Version)).Err(err).Msg("configuration_refused")
		return
	}
	if g.holder.InstallIfNewer(now, rows.DocumentRevision, compiled) {
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

// takeWorkers takes in changed rows of workers.
func (g *Gateway) takeWorkers(rows []watchcache.Row, _ gap) {
	now := g.now()
	decoded, unreadable := g.outside.Platform.DecodeWorkers(rows)
	g.noteUnreadable("", unreadable)
	g.planSubsets(decoded)
	counts := make(map[backends.Change]int)
	for _, row := range decoded {
		change := g.observeWorker(now, &row)
		counts[change]++
		g.noteWorker(row.Worker, change)
		if change != backends.Unchanged && len(decoded) <= mostNamedWorkers {
			g.logger.Info().Str("worker", string(row.Worker.ID)).Str("address", string(row.Worker.Address)).
				Str("service", string(row.Worker.Service)).Uint64("revision", uint64(row.Revision)).
				Str("change", string(change)).Msg("worker_changed")
		}
	}
	if len(decoded) > mostNamedWorkers {
		g.logger.Info().Int("rows", len(decoded)).Int("added", counts[backends.Added]).Int("gone", counts[backends.Gone]).
			Int("draining", counts[backends.Began]).Int("restarted", counts[backends.Restarted]).
			Int("unusable", counts[backends.Unusable]).Int("version", counts[backends.NewVersion]).Msg("workers_changed")
	}
	g.noteVersions(now, decoded)
	g.workersKnown.Store(true)
}

// forgetFormerRun drops what is believed of a worker's run that has ended, as another one
// has its identifier.
func (g *Gateway) forgetFormerRun(worker fleet.EngineID) {
	g.upstreams.Forget(worker)
	g.weights.forgetRun(worker)
	g.limits.forget(worker)
	g.backoffs.forget(worker)
	g.noteWorkerEnded(worker, quarantine.RowRemoved)
}

// noteStart takes in when a worker says that it started, beside its row.
func (g *Gateway) noteStart(worker fleet.EngineID, born backends.StartTime) {
	if !g.workers.ObserveStart(worker, born) {
		return
	}
	g.forgetFormerRun(worker)
	g.logger.Info().Str("worker", string(worker)).Str("change", string(backends.Restarted)).Msg("worker_changed")
}

// observeWorker takes one row in.
func (g *Gateway) observeWorker(now time.Duration, row *WorkerRow) backends.Change {
	switch {
	case row.Gone:
		return g.workers.ObserveGone(now, row.Revision, row.Worker.ID)
	case row.Unusable:
		return g.workers.ObserveUnusable(now, row.Revision, row.Worker.ID)
	default:
		return g.workers.Observe(row.Revision, row.Worker)
	}
}

// mostNamedWorkers is the number of changed rows up to which each worker has a log line of its
// own: a node that reads thousands would write as many lines at its start.
const mostNamedWorkers = 64

// noteWorker does what follows from a worker's change.
func (g *Gateway) noteWorker(worker backends.Worker, change backends.Change) {
	switch change {
	case backends.Gone, backends.Began, backends.Unusable:
		g.upstreams.Forget(worker.ID)
	case backends.Restarted:
		g.forgetFormerRun(worker.ID)
	}
	if change == backends.Gone {
		g.noteWorkerEnded(worker.ID, quarantine.RowRemoved)
	}
}
