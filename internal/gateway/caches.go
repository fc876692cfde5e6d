package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// Times of following caches.
const (
	// eventsWait is how long one call waits for events.
	eventsWait = time.Second
	// eventsPause is the pause between two calls, in which events gather.
	eventsPause = 250 * time.Millisecond
	// eventsRetry is the pause after a call that failed.
	eventsRetry = time.Second
	// cacheCheck is the time between two looks at which caches there are, cacheRest
	// the same at a node that follows none.
	cacheCheck = 100 * time.Millisecond
	cacheRest  = 500 * time.Millisecond
)

// cacheRun is one cache that is followed.
type cacheRun struct {
	run     fleet.EngineRun
	address fleet.Address
	zone    fleet.ZoneName
}

// followCaches follows the caches of the engines and of the store of kept KV
// cache, each by a goroutine of its own.
func (g *Gateway) followCaches() error {
	following := make(map[cacheRun]context.CancelFunc)
	for pause := cacheCheck; g.pause(pause); {
		present := g.caches()
		pause = cacheRest
		if g.serves() {
			pause = cacheCheck
		}
		for cache := range present {
			if following[cache] != nil {
				continue
			}
			ctx, cancel := context.WithCancel(g.context())
			following[cache] = cancel
			g.life.Go(func() error {
				g.followCache(ctx, cache)
				return nil
			})
		}
		for cache, cancel := range following {
			if !present[cache] {
				cancel()
				delete(following, cache)
			}
		}
	}
	return nil
}

// spareFollowers is how many fewer nodes than a cache allows follow it: nodes
// don't all know the same members while some come or go.
const spareFollowers = 3

// cachesByRequest is how many caches a node that doesn't know its role yet follows for
// each request that it has taken, and before the first: it takes itself for one of few
// nodes, and in a large fleet all would connect to all engines; a node to which
// callers come needs to know the caches at once.
const cachesByRequest = 16

// mayFollow tells whether this node may follow that many caches.
func (g *Gateway) mayFollow(caches int) bool {
	return g.settled.Load() || int64(caches) <= cachesByRequest*(1+g.taken.Load())
}

// caches returns the caches that this node follows: where more nodes serve than may
// follow one, those that it owns by rendezvous hashing.
func (g *Gateway) caches() map[cacheRun]bool {
	present := make(map[cacheRun]bool)
	held := g.holder.Current()
	if held == nil || !g.serves() {
		return present
	}
	for _, worker := range g.workers.Workers() {
		service, known := held.Table.Service(worker.Service)
		if known && len(worker.Versions) > 0 && g.follows(worker.ID, service.MaxFollowers) {
			present[cacheRun{run: worker.Run(), address: worker.Address, zone: worker.Zone}] = true
		}
	}
	for _, store := range held.Table.Stores() {
		run := backends.StoreRun(store.Store.Address)
		if g.follows(run.Engine, store.MaxFollowers) {
			present[cacheRun{run: run, address: store.Store.Address, zone: store.Store.Zone}] = true
		}
	}
	if !g.mayFollow(len(present)) {
		clear(present)
	}
	return present
}

// follows tells whether this node is among those that follow a cache.
func (g *Gateway) follows(cache fleet.EngineID, limit int) bool {
	members := g.roles.Load().Serving
	followers := max(limit-spareFollowers, 1)
	if limit <= 0 || len(members) <= followers {
		return true
	}
	return slices.Contains(membership.Owners(cache, members, followers), g.node)
}

// followCache takes in the changes of one cache until the context ends.
func (g *Gateway) followCache(ctx context.Context, cache cacheRun) {
	ctx = traffic.With(ctx, traffic.CacheEvents, g.distanceTo(cache.zone))
	var epoch, since uint64
	reachable := true
	for ctx.Err() == nil {
		events, err := g.outside.Engines.CacheEvents(ctx, cache.address, since, eventsWait)
		if err != nil {
			if ctx.Err() == nil && reachable {
				g.logger.Warn().Str("dependency", string(cache.run.Engine)).Err(err).Msg("dependency_lost")
			}
			reachable = false
			g.workers.LoseCache(cache.run)
			sleep(ctx, eventsRetry)
			continue
		}
		if !reachable {
			g.logger.Info().Str("dependency", string(cache.run.Engine)).Msg("dependency_regained")
		}
		reachable = true
		restarted := events.Epoch != epoch
		epoch, since = events.Epoch, events.Next
		g.takeEvents(cache.run, events, restarted)
		sleep(ctx, eventsPause)
	}
}

// takeEvents takes in the changes of one cache.
func (g *Gateway) takeEvents(run fleet.EngineRun, events *CacheEvents, restarted bool) {
	changes := make([]backends.PartChange, 0, len(events.Events))
	for _, event := range events.Events {
		changes = append(changes, backends.PartChange{Held: event.Held, Scope: event.Scope, Part: event.Part})
	}
	g.workers.ObserveCache(run, restarted || events.Lost, changes)
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
