package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
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
}

func newZoneFeeds() *zoneFeeds { return &zoneFeeds{feeds: make(map[fleet.ZoneName]*zoneFeed)} }

// silent tells whether nobody of a zone answers questions about its caches.
func (z *zoneFeeds) silent(zone fleet.ZoneName) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed := z.feeds[zone]
	return feed != nil && feed.silent
}

func (z *zoneFeeds) setSilent(feed *zoneFeed, silent bool) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	feed.silent = silent
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
			feed = &zoneFeed{}
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
	for ctx.Err() == nil {
		source, found := selector.Choose(g.now(), g.cacheSources(zone))
		g.zoneFeeds.setSilent(feed, !found && selector.Alone(g.now()))
		wanted := g.zoneFeeds.wanted(feed)
		if !found || len(wanted) == 0 {
			follower.Reset()
			sleep(ctx, cacheCheck)
			continue
		}
		err := g.askCaches(ctx, source, follower, wanted)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			sleep(ctx, eventsPause)
		case errors.Is(err, peer.ErrUnavailable):
			g.noteCacheSource(zone, source, err)
			selector.Unavailable(g.now(), source)
			follower.Reset()
			sleep(ctx, cacheCheck)
		default:
			g.noteCacheSource(zone, source, err)
			selector.Failed(g.now(), source)
			follower.Reset()
		}
	}
}

// noteCacheSource logs that a node couldn't tell of a zone's caches.
func (g *Gateway) noteCacheSource(zone fleet.ZoneName, source fleet.NodeID, err error) {
	g.events.line("cache_source_failed").Str("zone", string(zone)).Str("source", string(source)).Err(err).Msg("cache_source_failed")
}

// cacheSources returns the nodes to ask about the caches of a zone, best first.
func (g *Gateway) cacheSources(zone fleet.ZoneName) []fleet.NodeID {
	sources := slices.Clone(g.roles.Load().CacheSources(zone))
	return slices.DeleteFunc(sources, func(node fleet.NodeID) bool { return node == g.node })
}

// askCaches asks one node once and takes its answer in.
func (g *Gateway) askCaches(ctx context.Context, source fleet.NodeID, follower *cachefeed.Follower, wanted map[fleet.EngineID]bool) error {
	member, found := g.peers.View().Find(source)
	if !found {
		return errNotMember
	}
	ctx = traffic.With(ctx, traffic.CacheEvents, g.distanceTo(member.Zone))
	ctx, cancel := context.WithTimeout(ctx, eventsWait+cachesSlack)
	defer cancel()
	response, err := g.peers.AskCaches(ctx, member.Address, encodeQuestion(follower.Ask(wanted), eventsWait))
	if err != nil {
		return err
	}
	for _, update := range follower.Take(decodeNews(response), wanted) {
		run := fleet.EngineRun{Engine: update.Cache}
		if update.Lost {
			g.workers.LoseCache(run)
			continue
		}
		changes := make([]cachefeed.Change, 0, len(update.Held)+len(update.Dropped))
		for _, part := range update.Held {
			changes = append(changes, cachefeed.Change{Part: part, Held: true})
		}
		for _, part := range update.Dropped {
			changes = append(changes, cachefeed.Change{Part: part})
		}
		g.workers.ObserveTold(run, update.Anew, changes)
	}
	return nil
}
