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
	// limitedEventsPause is the pause between the calls of all that follow the cache of an
	// engine with a limit on its requests.
	limitedEventsPause = 2 * time.Second
)

// cacheRun is one cache that is followed.
type cacheRun struct {
	run     fleet.EngineRun
	born    backends.StartTime
	address fleet.Address
	zone    fleet.ZoneName
}

// followCaches follows the caches of the engines and of the store of kept KV
// cache, each by a goroutine of its own, and asks other zones' nodes about theirs.
func (g *Gateway) followCaches() error {
	following := make(map[cacheRun]context.CancelFunc)
	for pause := cacheCheck; g.pauseOrRest(pause); {
		present, asked := g.caches()
		g.askZones(asked)
		g.cacheLog.follow(g.now(), g.inZone(present))
		pause = cacheRest
		if g.serves() {
			pause = cacheCheck
		}
		for cache, cancel := range following {
			if !present[cache] {
				cancel()
				delete(following, cache)
				g.cacheLog.lose(cache.run.Engine)
			}
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

// caches returns the caches that this node follows by itself, and those of which it asks
// other nodes, by zone.
func (g *Gateway) caches() (present map[cacheRun]bool, asked map[fleet.ZoneName]map[fleet.EngineID]bool) {
	present = make(map[cacheRun]bool)
	asked = make(map[fleet.ZoneName]map[fleet.EngineID]bool)
	held := g.holder.Current()
	if held == nil || (!g.serves() && !g.cacheLog.wanted(g.now())) {
		return present, asked
	}
	take := func(cache cacheRun, limit int) {
		switch {
		case g.followsItself(cache, limit):
			present[cache] = true
		case g.serves() && cache.zone != "":
			if asked[cache.zone] == nil {
				asked[cache.zone] = make(map[fleet.EngineID]bool)
			}
			asked[cache.zone][cache.run.Engine] = true
		}
	}
	for _, worker := range g.workers.WorkersInUse() {
		service, known := held.Table.Service(worker.Service)
		if known && len(worker.Versions) > 0 {
			take(cacheRun{run: worker.Run(), born: worker.StartTime, address: worker.Address, zone: worker.Zone}, service.MaxFollowers)
		}
	}
	for _, store := range held.Table.Stores() {
		run := backends.StoreRun(store.Store.Address)
		take(cacheRun{run: run, address: store.Store.Address, zone: store.Store.Zone}, store.MaxFollowers)
	}
	if !g.mayFollow(len(present)) {
		clear(present)
		clear(asked)
	}
	return present, asked
}

// inZone returns how many of the caches are of this node's zone.
func (g *Gateway) inZone(present map[cacheRun]bool) int {
	count := 0
	for cache := range present {
		if cache.zone == g.settings().Zone {
			count++
		}
	}
	return count
}

// followsItself tells whether this node follows a cache by itself: one of its own zone if it is
// a source for others, or among the nodes that may; one of another zone only if it is among
// those and nobody there answers.
func (g *Gateway) followsItself(cache cacheRun, limit int) bool {
	if cache.zone == g.settings().Zone && slices.Contains(g.roles.Load().CacheSources(cache.zone), g.node) {
		return true
	}
	if !g.serves() || !g.mayOwn(cache, limit) {
		return false
	}
	return cache.zone == g.settings().Zone || cache.zone == "" || g.zoneFeeds.silent(cache.zone)
}

// mayOwn tells whether this node is among those that serve and may follow a cache: where
// more serve than may, the nearest, by rendezvous hashing.
func (g *Gateway) mayOwn(cache cacheRun, limit int) bool {
	members := g.roles.Load().Serving
	followers := max(limit-spareFollowers, 1)
	if limit <= 0 || len(members) <= followers {
		return true
	}
	near := membership.Location{Region: g.settings().Zones[cache.zone], Zone: cache.zone}
	return slices.Contains(membership.OwnersNear(cache.run.Engine, near, members, followers), g.node)
}

// followCache takes in the changes of one cache until the context ends.
func (g *Gateway) followCache(ctx context.Context, cache cacheRun) {
	ctx = traffic.With(ctx, traffic.CacheEvents, g.distanceTo(cache.zone))
	ctx = g.noticesOf(ctx, noticed{worker: cache.run.Engine, born: cache.born, kind: callCacheEvents})
	var epoch, since uint64
	reachable := true
	for ctx.Err() == nil {
		g.awaitBackoff(ctx, backoffRun(cache.run.Engine, cache.born))
		g.noteCall(cache.run.Engine, callCacheEvents)
		events, err := g.outside.Engines.CacheEvents(ctx, cache.address, since, eventsWait)
		if err != nil {
			if ctx.Err() == nil && reachable {
				g.logger.Warn().Str("dependency", string(cache.run.Engine)).Err(err).Msg("dependency_lost")
			}
			reachable = false
			g.workers.UntrackCache(cache.run)
			g.cacheLog.lose(cache.run.Engine)
			sleep(ctx, eventsRetry)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !reachable {
			g.logger.Info().Str("dependency", string(cache.run.Engine)).Msg("dependency_regained")
		}
		reachable = true
		restarted := events.Epoch != epoch
		epoch, since = events.Epoch, events.Next
		g.takeEvents(cache, events, restarted)
		g.pauseCache(ctx, cache)
	}
}

// pauseCache waits between two calls for a cache's events. These take some of what an engine
// with a limit takes in all, so that its followers together make few.
func (g *Gateway) pauseCache(ctx context.Context, cache cacheRun) {
	sleep(ctx, eventsPause)
	since := g.now()
	for ctx.Err() == nil && g.limits.limited(cache.run.Engine, 0) {
		if g.now() >= since+limitedEventsPause*time.Duration(g.followersOf(cache)) {
			return
		}
		sleep(ctx, eventsPause)
	}
}

// followersOf returns how many nodes may follow a cache.
func (g *Gateway) followersOf(cache cacheRun) int {
	roles := g.roles.Load()
	followers := len(roles.CacheSources(cache.zone))
	for _, member := range roles.Serving {
		if member.Zone == cache.zone && !slices.Contains(roles.CacheSources(cache.zone), member.Node) {
			followers++
		}
	}
	return max(followers, 1)
}

// takeEvents takes in the changes of one cache.
func (g *Gateway) takeEvents(cache cacheRun, events *CacheEvents, restarted bool) {
	changes := make([]backends.PartChange, 0, len(events.Events))
	for _, event := range events.Events {
		changes = append(changes, backends.PartChange{Held: event.Held, Scope: event.Scope, Part: event.Part})
	}
	anew := restarted || events.Lost
	told := g.workers.ObserveCache(cache.run, anew, changes)
	if cache.zone == g.settings().Zone {
		g.cacheLog.observe(cache.run.Engine, anew, told)
	}
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
