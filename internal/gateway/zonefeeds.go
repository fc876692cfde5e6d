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

// cachesSlack is how much longer than its wait a question about caches may take until the
// node that was asked counts as silent. A frozen one is noticed after eventsWait and this.
const cachesSlack = 350 * time.Millisecond

// errNotMember says that a node isn't a member any more.
var errNotMember = errors.New("not a member")

// zoneFeeds are the zones about whose caches this node asks others. A change is known in
// another zone after the pauses of the node there and of the one that asks, twice
// eventsPause at the most, besides the events' own lag.
type zoneFeeds struct {
	mutex sync.Mutex
	feeds map[fleet.ZoneName]*zoneFeed
}

// zoneFeed is one such zone. Its fields are guarded by the mutex of zoneFeeds.
type zoneFeed struct {
	cancel context.CancelFunc
	// silent is set while nobody of the zone answers.
	silent bool
	// wanted are the caches of which this node asks; a set is replaced, never changed.
	wanted map[fleet.EngineID]bool
	// mirror is what this node tells others of its region about the zone, if first is set:
	// then it learns it from the zone itself.
	mirror *cacheLog
	first  bool
}

func newZoneFeeds() *zoneFeeds { return &zoneFeeds{feeds: make(map[fleet.ZoneName]*zoneFeed)} }

// silent tells whether nobody of a zone answers questions about its caches.
func (z *zoneFeeds) silent(zone fleet.ZoneName) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed := z.feeds[zone]
	return feed != nil && feed.silent
}

// setSource notes whom a feed asks: nobody, as all are silent, or a node, of the zone itself or not.
func (z *zoneFeeds) setSource(feed *zoneFeed, silent, first bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed.silent, feed.first = silent, first
}

// mirror returns what this node knows of a zone from the zone itself, or nil.
func (z *zoneFeeds) mirror(zone fleet.ZoneName) *cacheLog {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed := z.feeds[zone]
	if feed == nil || !feed.first {
		return nil
	}
	return feed.mirror
}

func (z *zoneFeeds) wanted(feed *zoneFeed) map[fleet.EngineID]bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return feed.wanted
}

// set takes over which caches are wanted, by zone, and starts a feed for each new zone. A zone
// in which nobody answers stays, so that its nodes are tried again while keepSilent is set.
func (z *zoneFeeds) set(wanted map[fleet.ZoneName]map[fleet.EngineID]bool, keepSilent bool, start func(zone fleet.ZoneName, feed *zoneFeed)) {
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
		if !feed.silent || !keepSilent {
			feed.cancel()
			delete(z.feeds, zone)
		}
	}
}

// askZones has nodes of other zones asked about the caches there.
func (g *Gateway) askZones(wanted map[fleet.ZoneName]map[fleet.EngineID]bool) {
	g.zoneFeeds.set(wanted, g.serves(), func(zone fleet.ZoneName, feed *zoneFeed) {
		ctx, cancel := context.WithCancel(g.context())
		feed.cancel = cancel
		g.life.Go(func() error {
			g.followZone(ctx, zone, feed)
			return nil
		})
	})
}

// followZone learns from nodes of a zone what its caches hold, until the context ends. A
// source that doesn't answer is left for the next; with none left, this node follows
// the caches itself.
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
			sleep(ctx, cacheCheck)
			continue
		}
		if asked := feed.mirror.wanted(g.now()) || slices.Contains(g.cacheMirrors(zone), g.node); asked != mirrored {
			mirrored = asked
			feed.mirror.restart(rand.Uint64())
			follower.Reset()
		}
		updates, err := g.askCaches(ctx, zone, member, follower, wanted)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			g.takeTold(updates)
			if mirrored {
				feed.mirror.takeTold(g.now(), updates, len(wanted))
			}
			sleep(ctx, eventsPause)
		case errors.Is(err, peer.ErrUnavailable):
			g.noteCacheSource(zone, source, err)
			selector.MarkNotReady(g.now(), source)
			follower.Reset()
			sleep(ctx, cacheCheck)
		default:
			g.noteCacheSource(zone, source, err)
			selector.MarkFailed(g.now(), source)
			follower.Reset()
		}
	}
}

// noteCacheSource logs that a node couldn't tell of a zone's caches.
func (g *Gateway) noteCacheSource(zone fleet.ZoneName, source fleet.NodeID, err error) {
	g.events.line("cache_source_failed").Str("zone", string(zone)).Str("source", string(source)).Err(err).Msg("cache_source_failed")
}

// cacheSources returns the nodes to ask about the caches of a zone, best first. Of a zone of
// another region one node of this region asks there, and others that one, so that each change
// crosses once; a second one stands by.
func (g *Gateway) cacheSources(zone fleet.ZoneName) []fleet.NodeID {
	mirrors := g.cacheMirrors(zone)
	if own := slices.Index(mirrors, g.node); own >= 0 {
		mirrors = mirrors[:own]
	}
	sources := slices.Concat(mirrors, g.roles.Load().CacheSources(zone))
	return slices.DeleteFunc(sources, func(node fleet.NodeID) bool { return node == g.node })
}

// cacheMirrors returns the nodes of this region that tell of a zone of another region; none
// for one of this region.
func (g *Gateway) cacheMirrors(zone fleet.ZoneName) []fleet.NodeID {
	region, own := g.settings().Zones[zone], g.settings().Region
	if region == "" || own == "" || region == own {
		return nil
	}
	return g.roles.Load().CacheMirrors(zone, own)
}

// askCaches asks one node once about the caches of a zone and returns what is new.
func (g *Gateway) askCaches(ctx context.Context, zone fleet.ZoneName, source membership.Member, follower *cachefeed.Follower, wanted map[fleet.EngineID]bool) ([]cachefeed.Update, error) {
	if source.Node == "" {
		return nil, errNotMember
	}
	ctx = traffic.With(ctx, traffic.CacheEvents, g.distanceTo(source.Zone))
	ctx, cancel := context.WithTimeout(ctx, eventsWait+cachesSlack)
	defer cancel()
	request := encodeQuestion(follower.NextQuery(wanted), eventsWait)
	if source.Zone != zone {
		request.Zone = string(zone)
	}
	response, err := g.peers.AskCaches(ctx, source.Address, request)
	if err != nil {
		return nil, err
	}
	return follower.Apply(decodeNews(response), wanted), nil
}

// takeTold takes another node's word on caches in.
func (g *Gateway) takeTold(updates []cachefeed.Update) {
	for _, update := range updates {
		run := fleet.EngineRun{Engine: update.Cache}
		if update.Lost {
			g.workers.LoseCache(run)
			continue
		}
		g.workers.ObserveTold(run, update.Reset, update.Changes())
	}
}
