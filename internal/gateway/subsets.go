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

// needsAllWorkers reports whether this gateway needs to know all workers rather than those in use:
// it holds the lease or may acquire it soon.
func (g *Gateway) needsAllWorkers() bool {
	if _, isHolder := g.lease.Fence(); isHolder {
		return true
	}
	return g.roles.Load().isCandidate || g.fallbackCandidate.Load()
}

// shouldReadAllWorkers reports whether this gateway, if it reads the store, reads all workers: it
// serves them to others, needs them itself, or has received no response from a peer for long. A
// gateway that reads temporarily because its peers are slow follows only the changes of what it
// knows, which spares the store complete reads.
func (g *Gateway) shouldReadAllWorkers() bool {
	return g.roles.Load().isReader || g.needsAllWorkers() || g.sources.needsFullState(g.now())
}

func (g *Gateway) workersTable() *table { return g.table(TableWorkers) }

// planSubsets plans and applies the subsets of workers in use, at a gateway that knows all workers.
// Rows that are about to be applied are included.
func (g *Gateway) planSubsets(incoming []WorkerRow) {
	if !g.workersTable().cache.IsComplete() {
		return
	}
	var workers []backends.Worker
	for index := range incoming {
		if row := &incoming[index]; !row.Deleted && !row.Unusable {
			workers = append(workers, row.Worker)
		}
	}
	g.setSubsets(g.workers.PlanSubsets(g.demand.total(g.now()), workers), true)
}

// setSubsets applies subsets and logs those that changed.
func (g *Gateway) setSubsets(subsets backends.Subsets, all bool) {
	previous := g.workers.ActiveSubsets()
	if !g.workers.SetSubsets(subsets, all) {
		return
	}
	g.observeSoftware()
	for _, service := range sortedServices(subsets) {
		if previous[service] != subsets[service] {
			g.logger.Info().Str("service", string(service)).Uint8("halvings", uint8(subsets[service])).Msg("subset_in_force")
		}
	}
}

// sortedServices returns the services of subsets in order.
func sortedServices(subsets backends.Subsets) []fleet.PoolName {
	services := make([]fleet.PoolName, 0, len(subsets))
	for service := range subsets {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}

// subsetsDigest returns a digest of subsets. It is never 0.
func subsetsDigest(subsets backends.Subsets) uint64 {
	digest := fnv.New64a()
	for _, service := range sortedServices(subsets) {
		_, _ = digest.Write([]byte(string(service) + "\x00" + strconv.Itoa(int(subsets[service])) + "\x00"))
	}
	return digest.Sum64() | 1
}

func encodeSubsets(subsets backends.Subsets) []*rpc.ServiceSubset {
	encoded := make([]*rpc.ServiceSubset, 0, len(subsets))
	for _, service := range sortedServices(subsets) {
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

// requestSubsets restricts a watch request to the workers in use unless this gateway needs all.
func (g *Gateway) requestSubsets(request *rpc.WatchRequest) {
	if g.needsAllWorkers() {
		return
	}
	request.WorkersInUse = true
	request.Doublings = encodeSubsets(g.workers.RequestedDoublings())
	if !g.workersTable().cache.IsComplete() {
		request.SubsetsDigest = subsetsDigest(g.workers.ActiveSubsets())
	}
}

// workersUpdate returns the changes of workers after the sequence number seen, of all workers or
// those in use. It returns nil if this gateway doesn't know all workers.
func (g *Gateway) workersUpdate(followed *table, request *rpc.WatchRequest, seen uint64) (*watchcache.Update, backends.Subsets) {
	if !followed.cache.IsComplete() {
		return nil, nil
	}
	if !request.GetWorkersInUse() {
		return followed.cache.After(seen), nil
	}
	subsets := g.workers.ActiveSubsets().Widened(decodeSubsets(request.GetDoublings()))
	if request.GetSubsetsDigest() != subsetsDigest(subsets) {
		seen = 0
	}
	return followed.cache.AfterMatching(seen, g.workers.SubsetFilter(subsets)), subsets
}

// applyWorkersUpdate applies a peer's update of all workers or of those in use. The subsets change
// after the rows, which determine the workers that are dropped.
func (g *Gateway) applyWorkersUpdate(followed *table, message *rpc.TableUpdate, update *watchcache.Update) {
	if !message.GetWorkersInUse() {
		followed.apply(update, gapUnreachable)
		return
	}
	subsets := decodeSubsets(message.GetSubsets())
	update.Filter = g.workers.SubsetFilter(subsets)
	followed.apply(update, gapUnreachable)
	g.setSubsets(subsets, false)
}

// watchPosition returns the sequence number up to which this gateway has seen a source's changes of
// a table. 0 requests all rows.
func (g *Gateway) watchPosition(followed *table) uint64 {
	if followed.name == TableWorkers && followed.cache.IsPartial() && g.needsAllWorkers() {
		return 0
	}
	return followed.seenSequence
}
