package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/cachefeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	// cacheInterestTimeout is how long after the last request a gateway that doesn't serve keeps
	// following the caches of its zone.
	cacheInterestTimeout = 5 * time.Second
	// cacheGatherTimeout is how long a gateway that starts to follow caches waits for the state of
	// all of them before it answers with those that it has.
	cacheGatherTimeout = time.Second
)

// errNoCachesFollowed is returned if a gateway has no state of the requested caches.
var errNoCachesFollowed = errors.New("this node follows no caches")

// cacheLog is the log of changes of a zone's caches, served to other gateways. It is safe for
// concurrent use.
type cacheLog struct {
	mutex sync.Mutex
	log   *cachefeed.Log
	// changed is closed at the next change.
	changed chan struct{}
	// lastRequestAt is the time of the last request, valid if wasRequested.
	lastRequestAt time.Duration
	wasRequested  bool
	// following is the number of caches that this gateway follows, followingSince when it became
	// nonzero.
	following      int
	followingSince time.Duration
}

func newCacheLog(generation uint64) *cacheLog {
	return &cacheLog{log: cachefeed.NewLog(generation, 0), changed: make(chan struct{})}
}

// reset drops all entries. The generation must differ from the one before.
func (c *cacheLog) reset(generation uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.log, c.following = cachefeed.NewLog(generation, 0), 0
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cacheLog) observe(cache fleet.EngineID, reset bool, changes []cachefeed.Change) {
	c.update(func(log *cachefeed.Log) { log.Observe(cache, reset, changes) })
}

func (c *cacheLog) markLost(cache fleet.EngineID) {
	c.update(func(log *cachefeed.Log) { log.MarkLost(cache) })
}

// applyUpdates applies another gateway's updates of that many caches.
func (c *cacheLog) applyUpdates(now time.Duration, updates []cachefeed.Update, caches int) {
	c.setFollowing(now, caches)
	for _, update := range updates {
		if update.Lost {
			c.markLost(update.Cache)
			continue
		}
		c.observe(update.Cache, update.Reset, update.Changes())
	}
}

// update changes the log and wakes waiting requests.
func (c *cacheLog) update(change func(log *cachefeed.Log)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.log.Next()
	change(c.log)
	if c.log.Next() != before {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// recordRequest records the time of a request.
func (c *cacheLog) recordRequest(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastRequestAt, c.wasRequested = now, true
}

// isWanted reports whether there was a recent request.
func (c *cacheLog) isWanted(now time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wasRequested && now <= c.lastRequestAt+cacheInterestTimeout
}

// setFollowing sets how many caches this gateway follows.
func (c *cacheLog) setFollowing(now time.Duration, caches int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.following == 0 {
		c.followingSince = now
	}
	c.following = caches
}

// delta returns the changes for a query, whether there are any, and a channel that is closed at the
// next change. ready is false while the caches aren't known yet: an incomplete delta would make the
// follower drop known state.
func (c *cacheLog) delta(now time.Duration, query cachefeed.Query) (delta cachefeed.Delta, hasNew, ready bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.log.Caches()
	ready = c.following > 0 && known > 0 && (known >= c.following || now >= c.followingSince+cacheGatherTimeout)
	if !ready {
		return delta, false, false, c.changed
	}
	return c.log.Delta(query), c.log.HasDelta(query), true, c.changed
}

// cacheLogFor returns the log that answers requests about a zone's caches, nil if there is none.
// For other zones it serves only state received from the zone itself, so that two gateways never
// confirm stale state to each other.
func (g *Gateway) cacheLogFor(zone fleet.ZoneName) *cacheLog {
	if zone == "" || zone == g.settings().Zone {
		return g.cacheLog
	}
	return g.zoneFeeds.mirror(zone)
}

// handleCaches handles another gateway's request for the caches of a zone.
func (g *Gateway) handleCaches(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error) {
	log := g.cacheLogFor(fleet.ZoneName(request.GetZone()))
	if log == nil || g.isStopping() {
		return nil, errNoCachesFollowed
	}
	log.recordRequest(g.now())
	query := decodeCachesRequest(request)
	timer := time.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for waiting := true; ; {
		delta, hasNew, ready, changed := log.delta(g.now(), query)
		switch {
		case hasNew || (ready && !waiting):
			return encodeCachesResponse(delta), nil
		case !waiting:
			return nil, errNoCachesFollowed
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.life.Dying():
			return nil, errNoCachesFollowed
		}
	}
}

func decodeCachesRequest(request *rpc.CachesRequest) cachefeed.Query {
	query := cachefeed.Query{
		After: cachefeed.Cursor{Generation: request.GetGeneration(), Sequence: request.GetSequence()},
	}
	for _, cache := range request.GetMissing() {
		query.Missing = append(query.Missing, fleet.EngineID(cache))
	}
	return query
}

func encodeCachesRequest(query cachefeed.Query, wait time.Duration) *rpc.CachesRequest {
	request := &rpc.CachesRequest{
		Generation: query.After.Generation, Sequence: query.After.Sequence, WaitMillis: uint32(wait.Milliseconds()),
	}
	for _, cache := range query.Missing {
		request.Missing = append(request.Missing, string(cache))
	}
	return request
}

func encodeCachesResponse(delta cachefeed.Delta) *rpc.CachesResponse {
	response := &rpc.CachesResponse{Generation: delta.Next.Generation, Sequence: delta.Next.Sequence, Whole: delta.Complete}
	for _, update := range delta.Updates {
		response.Updates = append(response.Updates, &rpc.CacheUpdate{
			Cache: string(update.Cache), Anew: update.Reset, Lost: update.Lost,
			Held: encodeBlockHashes(update.Stored), Dropped: encodeBlockHashes(update.Removed),
		})
	}
	return response
}

func decodeCachesResponse(response *rpc.CachesResponse) cachefeed.Delta {
	delta := cachefeed.Delta{
		Complete: response.GetWhole(),
		Next:     cachefeed.Cursor{Generation: response.GetGeneration(), Sequence: response.GetSequence()},
	}
	for _, update := range response.GetUpdates() {
		delta.Updates = append(delta.Updates, cachefeed.Update{
			Cache: fleet.EngineID(update.GetCache()), Reset: update.GetAnew(), Lost: update.GetLost(),
			Stored: decodeBlockHashes(update.GetHeld()), Removed: decodeBlockHashes(update.GetDropped()),
		})
	}
	return delta
}

func encodeBlockHashes(hashes []fleet.BlockHash) []uint64 {
	encoded := make([]uint64, len(hashes))
	for index, hash := range hashes {
		encoded[index] = uint64(hash)
	}
	return encoded
}

func decodeBlockHashes(encoded []uint64) []fleet.BlockHash {
	hashes := make([]fleet.BlockHash, len(encoded))
	for index, hash := range encoded {
		hashes[index] = fleet.BlockHash(hash)
	}
	return hashes
}
