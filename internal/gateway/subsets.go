package gateway

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
	"github.com/tillerfall/tillerfall/internal/watchcache"
)

// knowsAllWorkers tells whether it is this node's part to know all workers, rather than those
// in use: it orders them, or may have to soon.
func (g *Gateway) knowsAllWorkers() bool {
	if _, holds := g.keeper.Fence(); holds {
		return true
	}
	return g.roles.Load().candidate || g.standIn.Load()
}

// readsAll tells whether this node, if it reads the store, is to read all workers: it tells
// others of them, has to know them, or has had no answer of any peer for long. A node that
// reads for a moment, since its peers are slow, follows the changes of what it knows: where
// the store turns a part of a large fleet away, whole reads by such nodes would be most of the
// store's calls and bytes.
func (g *Gateway) readsAll() bool {
	return g.roles.Load().reader || g.knowsAllWorkers() || g.sources.needsAll(g.now())
}

// workersTable returns the table of the workers.
func (g *Gateway) workersTable() *table { return g.table(TableWorkers) }

// planSubsets puts the subsets of the workers in force at a node that knows them all. Rows
// that are about to be taken in count.
func (g *Gateway) planSubsets(coming []WorkerRow) {
	if !g.workersTable().cache.IsComplete() {
		return
	}
	var workers []backends.Worker
	for index := range coming {
		if row := &coming[index]; !row.Gone && !row.Unusable {
			workers = append(workers, row.Worker)
		}
	}
	g.setSubsets(g.workers.PlanSubsets(g.demand.total(g.now()), workers), true)
}

// setSubsets puts subsets in force and logs them if they are others.
func (g *Gateway) setSubsets(subsets backends.Subsets, all bool) {
	before := g.workers.InForce()
	if !g.workers.SetSubsets(subsets, all) {
		return
	}
	for _, service := range servicesOf(subsets) {
		if before[service] != subsets[service] {
			g.logger.Info().Str("service", string(service)).Uint8("halvings", uint8(subsets[service])).Msg("subset_in_force")
		}
	}
}

// servicesOf returns the services of subsets in order.
func servicesOf(subsets backends.Subsets) []fleet.PoolName {
	services := make([]fleet.PoolName, 0, len(subsets))
	for service := range subsets {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}

// digestOf returns a number that differs for other subsets; never 0.
func digestOf(subsets backends.Subsets) uint64 {
	digest := fnv.New64a()
	for _, service := range servicesOf(subsets) {
		_, _ = digest.Write([]byte(string(service) + "\x00" + strconv.Itoa(int(subsets[service])) + "\x00"))
	}
	return digest.Sum64() | 1
}

func encodeSubsets(subsets backends.Subsets) []*rpc.ServiceSubset {
	encoded := make([]*rpc.ServiceSubset, 0, len(subsets))
	for _, service := range servicesOf(subsets) {
		encoded = append(encoded, &rpc.ServiceSubset{Service: string(service), Halvings: uint32(subsets[service])})
	}
	return encoded
}

func decodeSubsets(encoded []*rpc.ServiceSubset) backends.Subsets {
	subsets := make(backends.Subsets, len(encoded))
	for _, subset := range encoded {
		subsets[fleet.PoolName(subset.GetService())] = backends.Halvings(min(subset.GetHalvings(), 64))
	}
	return subsets
}

// askForSubsets has a question for rows ask for those of the workers in use alone.
func (g *Gateway) askForSubsets(request *rpc.WatchRequest) {
	if g.knowsAllWorkers() {
		return
	}
	request.WorkersInUse = true
	request.Doublings = encodeSubsets(g.workers.Doublings())
	if !g.workersTable().cache.IsComplete() {
		request.SubsetsDigest = digestOf(g.workers.InForce())
	}
}

// workersUpdate returns what a watcher that has seen all up to a number is to be told of the
// workers: of all of them, or of those in use. It returns nil if this node doesn't know all.
func (g *Gateway) workersUpdate(followed *table, request *rpc.WatchRequest, seen uint64) (*watchcache.Update, backends.Subsets) {
	if !followed.cache.IsComplete() {
		return nil, nil
	}
	if !request.GetWorkersInUse() {
		return followed.cache.After(seen), nil
	}
	subsets := g.workers.InForce().Widened(decodeSubsets(request.GetDoublings()))
	if request.GetSubsetsDigest() != digestOf(subsets) {
		seen = 0
	}
	return followed.cache.AfterMatching(seen, g.workers.Covers(subsets)), subsets
}

// applyWorkers takes a peer's word on the workers in: on all of them, or on those in use. What
// is dropped is told by the rows, so the subsets are in force after them.
func (g *Gateway) applyWorkers(followed *table, message *rpc.TableUpdate, update *watchcache.Update) {
	if !message.GetWorkersInUse() {
		followed.apply(update, gapUnreached)
		return
	}
	subsets := decodeSubsets(message.GetSubsets())
	update.Filter = g.workers.Covers(subsets)
	followed.apply(update, gapUnreached)
	g.setSubsets(subsets, false)
}

// positionAt returns the number up to which this node has seen a source's changes of a table;
// 0 asks for everything.
func (g *Gateway) positionAt(followed *table) uint64 {
	if followed.name == TableWorkers && followed.cache.IsPartial() && g.knowsAllWorkers() {
		return 0
	}
	return followed.seen
}
