package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/peer"
	"github.com/tillerfall/tillerfall/internal/traffic"
)

// cacheRequestSlack is added to cacheEventsWait for the timeout of a request for cache changes.
// A frozen gateway is therefore detected after cacheEventsWait plus this.
const cacheRequestSlack = 350 * time.Millisecond

// errNotMember is returned if a selected source is no longer a member.
var errNotMember = errors.New("not a member")

// zoneFeeds are the other zones whose caches this gateway follows through gateways there. A change
// arrives after at most two pauses of cacheEventsInterval, besides the delay of the events
// themselves.
type zoneFeeds struct {
	mutex sync.Mutex
	feeds map[fleet.ZoneName]*zoneFeed
}

// zoneFeed is the feed of one zone. Its fields are guarded by the mutex of zoneFeeds.
type zoneFeed struct {
	cancel context.CancelFunc
	// unavailable is set while no gateway of the zone answers.
	unavailable bool
	// wanted holds the caches to request. The map is replaced, never modified.
	wanted map[fleet.EngineID]bool
	// mirror is the log that this gateway serves to others of its region. It is served only if
	// firsthand is set: its state comes from the zone itself.
	mirror    *cacheLog
	firsthand bool
}

func newZoneFeeds() *zoneFeeds { return &zoneFeeds{feeds: make(map[fleet.ZoneName]*zoneFeed)} }

// isUnavailable reports whether no gateway of a zone answers requests for its caches.
func (z *zoneFeeds) isUnavailable(zone fleet.ZoneName) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed := z.feeds[zone]
	return feed != nil && feed.unavailable
}

// setSource records the kind of a feed's current source: none available, or one within the zone
// itself.
func (z *zoneFeeds) setSource(feed *zoneFeed, unavailable, firsthand bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed.unavailable, feed.firsthand = unavailable, firsthand
}

// mirror returns the log of a zone if its state comes from the zone itself, otherwise nil.
func (z *zoneFeeds) mirror(zone fleet.ZoneName) *cacheLog {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed := z.feeds[zone]
	if feed == nil || !feed.firsthand {
		return nil
	}
	return feed.mirror
}

func (z *zoneFeeds) wanted(feed *zoneFeed) map[fleet.EngineID]bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return feed.wanted
}

// setWanted sets the wanted caches by zone and starts a feed for each new zone. While
// keepUnavailable is set, the feed of an unavailable zone is kept to retry its gateways.
func (z *zoneFeeds) setWanted(wanted map[fleet.ZoneName]map[fleet.EngineID]bool, keepUnavailable bool, start func(zone fleet.ZoneName, feed *zoneFeed)) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	for zone, caches := range wanted {
		feed := z.feeds[zone]
		if feed == nil {
			feed = &zoneFeed{mirror: newCacheLog(rand.Uint64())}
			z.feeds[zone] = feed
			start(zone, feed)
		}
		feed.wanted = caches
	}
	for zone, feed := range z.feeds {
		if wanted[zone] != nil {
			continue
		}
		feed.wanted = nil
		if !feed.unavailable || !keepUnavailable {
			feed.cancel()
			delete(z.feeds, zone)
		}
	}
}

// updateZoneFeeds starts and stops the feeds of other zones.
func (g *Gateway) updateZoneFeeds(wanted map[fleet.ZoneName]map[fleet.EngineID]bool) {
	g.zoneFeeds.setWanted(wanted, g.isServing(), func(zone fleet.ZoneName, feed *zoneFeed) {
		ctx, cancel := context.WithCancel(g.context())
		feed.cancel = cancel
		g.life.Go(func() error {
			g.followZone(ctx, zone, feed)
			return nil
		})
	})
}

// followZone applies the changes of a zone's caches until the context ends. If a source fails it
// tries the next one. With none left, the zone is marked unavailable and this gateway follows its
// caches directly.
func (g *Gateway) followZone(ctx context.Context, zone fleet.ZoneName, feed *zoneFeed) {
	selector, follower := cachefeed.NewSelector(g.now()), cachefeed.NewFollower()
	mirrored := false
	for ctx.Err() == nil {
		source, found := selector.Choose(g.now(), g.cacheSources(zone))
		member, known := g.peers.View().Find(source)
		g.zoneFeeds.setSource(feed, !found && selector.CanReadDirectly(g.now()), known && member.Zone == zone)
		wanted := g.zoneFeeds.wanted(feed)
		if !found || len(wanted) == 0 {
			follower.Reset()
			sleep(ctx, cacheCheckInterval)
			continue
		}
		if shouldMirror := feed.mirror.isWanted(g.now()) || slices.Contains(g.cacheMirrors(zone), g.node); shouldMirror != mirrored {
			mirrored = shouldMirror
			feed.mirror.reset(rand.Uint64())
			follower.Reset()
		}
		updates, err := g.requestCaches(ctx, zone, member, follower, wanted)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			g.applyCacheUpdates(updates)
			if mirrored {
				feed.mirror.applyUpdates(g.now(), updates, len(wanted))
			}
			sleep(ctx, cacheEventsInterval)
		case errors.Is(err, peer.ErrUnavailable):
			g.logCacheSourceFailure(zone, source, err)
			selector.MarkNotReady(g.now(), source)
			follower.Reset()
			sleep(ctx, cacheCheckInterval)
		default:
			g.logCacheSourceFailure(zone, source, err)
			selector.MarkFailed(g.now(), source)
			follower.Reset()
		}
	}
}

func (g *Gateway) logCacheSourceFailure(zone fleet.ZoneName, source fleet.NodeID, err error) {
	g.events.line("cache_source_failed").Str("zone", string(zone)).Str("source", string(source)).Err(err).Msg("cache_source_failed")
}

// cacheSources returns the gateways to request a zone's caches from, best first. A zone of another
// region is requested by one gateway of this region, with a second one as standby, and the others
// request it from there, so that each change crosses between regions once.
func (g *Gateway) cacheSources(zone fleet.ZoneName) []fleet.NodeID {
	mirrors := g.cacheMirrors(zone)
	if rank := slices.Index(mirrors, g.node); rank >= 0 {
		mirrors = mirrors[:rank]
	}
	sources := slices.Concat(mirrors, g.roles.Load().CacheSources(zone))
	return slices.DeleteFunc(sources, func(node fleet.NodeID) bool { return node == g.node })
}

// cacheMirrors returns the gateways of this region that mirror a zone of another region, nil for a
// zone of this region.
func (g *Gateway) cacheMirrors(zone fleet.ZoneName) []fleet.NodeID {
	region, ownRegion := g.settings().Zones[zone], g.settings().Region
	if region == "" || ownRegion == "" || region == ownRegion {
		return nil
	}
	return g.roles.Load().CacheMirrors(zone, ownRegion)
}

// requestCaches requests the changes of a zone's caches from one gateway and returns the new ones.
func (g *Gateway) requestCaches(ctx context.Context, zone fleet.ZoneName, source membership.Member, follower *cachefeed.Follower, wanted map[fleet.EngineID]bool) ([]cachefeed.Update, error) {
	if source.Node == "" {
		return nil, errNotMember
	}
	ctx = traffic.With(ctx, traffic.CacheEvents, g.distanceTo(source.Zone))
	ctx, cancel := context.WithTimeout(ctx, cacheEventsWait+cacheRequestSlack)
	defer cancel()
	request := encodeCachesRequest(follower.NextQuery(wanted), cacheEventsWait)
	if source.Zone != zone {
		request.Zone = string(zone)
	}
	response, err := g.peers.RequestCaches(ctx, source.Address, request)
	if err != nil {
		return nil, err
	}
	return follower.Apply(decodeCachesResponse(response), wanted), nil
}

// applyCacheUpdates applies another gateway's cache updates.
func (g *Gateway) applyCacheUpdates(updates []cachefeed.Update) {
	for _, update := range updates {
		run := fleet.EngineRun{Engine: update.Cache}
		if update.Lost {
			g.workers.UntrackCache(run)
			continue
		}
		if !update.Reset {
			g.workers.ObserveRelayedSign(g.now(), update.Cache)
		}
		g.workers.ObserveRelayedCache(run, update.Reset, update.Changes())
	}
}
