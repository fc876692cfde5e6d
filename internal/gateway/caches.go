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

const (
	// cacheEventsWait is how long one call waits for events.
	cacheEventsWait = time.Second
	// cacheEventsInterval is the pause between two calls, in which events accumulate.
	cacheEventsInterval = 250 * time.Millisecond
	// cacheEventsRetryDelay is the pause after a failed call.
	cacheEventsRetryDelay = time.Second
	// cacheCheckInterval is the time between two updates of the set of followed caches,
	// idleCacheCheckInterval the same at a gateway that doesn't serve.
	cacheCheckInterval     = 100 * time.Millisecond
	idleCacheCheckInterval = 500 * time.Millisecond
	// limitedCacheEventsInterval is the pause between the calls of all followers together to a
	// rate-limited engine.
	limitedCacheEventsInterval = 2 * time.Second
)

// followedCache identifies one cache that is followed.
type followedCache struct {
	run       fleet.EngineRun
	startTime backends.StartTime
	address   fleet.Address
	zone      fleet.ZoneName
}

// followCaches follows the caches of engines and KV cache stores, each in its own goroutine, and
// requests those of other zones from gateways there.
func (g *Gateway) followCaches() error {
	following := make(map[followedCache]context.CancelFunc)
	for pause := cacheCheckInterval; g.pauseInterval(pause); {
		direct, requested := g.selectCaches()
		g.updateZoneFeeds(requested)
		g.cacheLog.setFollowing(g.now(), g.countLocalCaches(direct))
		pause = idleCacheCheckInterval
		if g.isServing() {
			pause = cacheCheckInterval
		}
		for cache, cancel := range following {
			if !direct[cache] {
				cancel()
				delete(following, cache)
				g.cacheLog.markLost(cache.run.Engine)
			}
		}
		for cache := range direct {
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

// reservedFollowers is subtracted from the number of followers that a cache allows, since
// membership views differ while gateways join or leave.
const reservedFollowers = 3

// cachesPerRequest limits the caches that a gateway follows before it knows its role: this number
// at first, and as many again for each request that it has received. Otherwise every starting
// gateway of a large fleet would connect to all engines. A gateway that receives requests needs the
// caches at once.
const cachesPerRequest = 16

// canFollow reports whether this gateway may follow that many caches.
func (g *Gateway) canFollow(caches int) bool {
	return g.roleSettled.Load() || int64(caches) <= cachesPerRequest*(1+g.requestCount.Load())
}

// selectCaches returns the caches that this gateway follows directly, and by zone those that it
// requests from other gateways.
func (g *Gateway) selectCaches() (direct map[followedCache]bool, requested map[fleet.ZoneName]map[fleet.EngineID]bool) {
	direct = make(map[followedCache]bool)
	requested = make(map[fleet.ZoneName]map[fleet.EngineID]bool)
	snapshot := g.configuration.Current()
	if snapshot == nil || (!g.isServing() && !g.cacheLog.isWanted(g.now())) {
		return direct, requested
	}
	add := func(cache followedCache, limit int) {
		switch {
		case g.shouldFollowDirectly(cache, limit):
			direct[cache] = true
		case g.isServing() && cache.zone != "":
			if requested[cache.zone] == nil {
				requested[cache.zone] = make(map[fleet.EngineID]bool)
			}
			requested[cache.zone][cache.run.Engine] = true
		}
	}
	for _, worker := range g.workers.WorkersInUse() {
		service, known := snapshot.Table.Service(worker.Service)
		if known && len(worker.Versions) > 0 {
			add(followedCache{run: worker.Run(), startTime: worker.StartTime, address: worker.Address, zone: worker.Zone}, service.MaxFollowers)
		}
	}
	for _, store := range snapshot.Table.Stores() {
		run := backends.StoreRun(store.Store.Address)
		add(followedCache{run: run, address: store.Store.Address, zone: store.Store.Zone}, store.MaxFollowers)
	}
	if !g.canFollow(len(direct)) {
		clear(direct)
		clear(requested)
	}
	return direct, requested
}

// countLocalCaches returns how many of the caches are in this gateway's zone.
func (g *Gateway) countLocalCaches(direct map[followedCache]bool) int {
	count := 0
	for cache := range direct {
		if cache.zone == g.settings().Zone {
			count++
		}
	}
	return count
}

// shouldFollowDirectly reports whether this gateway follows a cache itself. In its own zone it does
// so as a cache source for others or as an assigned follower, in another zone only as an assigned
// follower while no gateway there answers.
func (g *Gateway) shouldFollowDirectly(cache followedCache, limit int) bool {
	if cache.zone == g.settings().Zone && slices.Contains(g.roles.Load().CacheSources(cache.zone), g.node) {
		return true
	}
	if !g.isServing() || !g.isAssignedFollower(cache, limit) {
		return false
	}
	return cache.zone == g.settings().Zone || cache.zone == "" || g.zoneFeeds.isUnavailable(cache.zone)
}

// isAssignedFollower reports whether this gateway is among the serving ones that may follow a
// cache. If more serve than the cache allows, rendezvous hashing assigns the nearest.
func (g *Gateway) isAssignedFollower(cache followedCache, limit int) bool {
	members := g.roles.Load().Serving
	followers := max(limit-reservedFollowers, 1)
	if limit <= 0 || len(members) <= followers {
		return true
	}
	near := membership.Location{Region: g.settings().Zones[cache.zone], Zone: cache.zone}
	return slices.Contains(membership.OwnersNear(cache.run.Engine, near, members, followers), g.node)
}

// followCache applies the events of one cache until the context ends.
func (g *Gateway) followCache(ctx context.Context, cache followedCache) {
	ctx = traffic.With(ctx, traffic.CacheEvents, g.distanceTo(cache.zone))
	ctx = g.withNoticesFrom(ctx, noticeSource{worker: cache.run.Engine, startTime: cache.startTime, kind: callCacheEvents})
	ctx = g.withWorkerDial(ctx, cache.run.Engine)
	var epoch, since uint64
	reachable := true
	for ctx.Err() == nil {
		g.awaitBackoff(ctx, backoffRun(cache.run.Engine, cache.startTime))
		g.countCall(cache.run.Engine, callCacheEvents)
		events, err := g.dependencies.Engines.CacheEvents(ctx, cache.address, since, cacheEventsWait)
		if err != nil {
			if ctx.Err() == nil && reachable {
				g.logger.Warn().Str("dependency", string(cache.run.Engine)).Err(err).Msg("dependency_lost")
			}
			reachable = false
			g.workers.UntrackCache(cache.run)
			g.cacheLog.markLost(cache.run.Engine)
			sleep(ctx, cacheEventsRetryDelay)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !reachable {
			g.logger.Info().Str("dependency", string(cache.run.Engine)).Msg("dependency_regained")
		}
		reachable = true
		g.observeAnswer(cache.run.Engine)
		restarted := events.Epoch != epoch
		epoch, since = events.Epoch, events.Next
		g.applyCacheEvents(cache, events, restarted)
		g.pauseCacheEvents(ctx, cache)
	}
}

// pauseCacheEvents waits between two calls for a cache's events. These count against the rate limit
// of an engine, so all followers of a limited engine share one interval.
func (g *Gateway) pauseCacheEvents(ctx context.Context, cache followedCache) {
	sleep(ctx, cacheEventsInterval)
	since := g.now()
	for ctx.Err() == nil && g.limits.isLimited(cache.run.Engine, 0) {
		if g.now() >= since+limitedCacheEventsInterval*time.Duration(g.countFollowers(cache)) {
			return
		}
		sleep(ctx, cacheEventsInterval)
	}
}

// countFollowers returns how many gateways may follow a cache.
func (g *Gateway) countFollowers(cache followedCache) int {
	roles := g.roles.Load()
	followers := len(roles.CacheSources(cache.zone))
	for _, member := range roles.Serving {
		if member.Zone == cache.zone && !slices.Contains(roles.CacheSources(cache.zone), member.Node) {
			followers++
		}
	}
	return max(followers, 1)
}

// applyCacheEvents applies the events of one cache.
func (g *Gateway) applyCacheEvents(cache followedCache, events *CacheEvents, restarted bool) {
	changes := make([]backends.PartChange, 0, len(events.Events))
	for _, event := range events.Events {
		changes = append(changes, backends.PartChange{Stored: event.Held, Scope: event.Scope, Part: event.Part})
	}
	reset := restarted || events.Lost
	applied := g.workers.ObserveCache(cache.run, reset, changes)
	if cache.zone == g.settings().Zone {
		g.cacheLog.observe(cache.run.Engine, reset, applied)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
