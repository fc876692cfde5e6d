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

// takeWorkers takes in changed rows of workers.
func (g *Gateway) takeWorkers(rows []watchcache.Row, _ gap) {
	now := g.now()
	decoded, unreadable := g.outside.Platform.DecodeWorkers(rows)
	g.noteUnreadable("", unreadable)
	for _, row := range decoded {
		var change backends.Change
		if row.Gone {
			change = g.workers.ObserveGone(now, row.Revision, row.Worker.ID)
		} else {
			change = g.workers.Observe(row.Revision, row.Worker)
		}
		g.noteWorker(row.Worker, row.Revision, change)
	}
	g.noteVersions(now, decoded)
	g.workersKnown.Store(true)
}

func (g *Gateway) noteWorker(worker backends.Worker, revision fleet.Revision, change backends.Change) {
	if change == backends.Unchanged {
		return
	}
	if change == backends.Gone || change == backends.Began {
		g.upstreams.Forget(worker.ID)
	}
	if change == backends.Gone && !g.workers.Draining(worker.ID) {
		g.noteWorkerEnded(worker.ID, quarantine.RowGone)
	}
	g.logger.Info().Str("worker", string(worker.ID)).Str("address", string(worker.Address)).
		Str("service", string(worker.Service)).Uint64("revision", uint64(revision)).
		Str("change", string(change)).Msg("worker_changed")
}
