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

// Times of telling other nodes about the caches of a zone.
const (
	// cacheInterestTimeout is how long after the last question a node to which callers aren't sent
	// goes on following the caches of its zone.
	cacheInterestTimeout = 5 * time.Second
	// cacheGatherTimeout is how long a node that has begun to follow caches waits for the first
	// answers of all of them until it tells of those that it knows.
	cacheGatherTimeout = time.Second
)

// errNoCachesFollowed says that a node can't tell of caches.
var errNoCachesFollowed = errors.New("this node follows no caches")

// cacheLog is what this node knows of the caches of its zone, for nodes of other zones.
type cacheLog struct {
	mutex sync.Mutex
	log   *cachefeed.Log
	// changed is closed at the next change.
	changed chan struct{}
	// lastAskedAt is when another node lastAskedAt last, if one has.
	lastAskedAt time.Duration
	wasAsked    bool
	// following is the number of caches that this node follows for others, and begun
	// since when there are any.
	following      int
	followingSince time.Duration
}

func newCacheLog(generation uint64) *cacheLog {
	return &cacheLog{log: cachefeed.NewLog(generation, 0), changed: make(chan struct{})}
}

// reset forgets everything. The generation must be another one.
func (c *cacheLog) reset(generation uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.log, c.following = cachefeed.NewLog(generation, 0), 0
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cacheLog) observe(cache fleet.EngineID, anew bool, changes []cachefeed.Change) {
	c.update(func(log *cachefeed.Log) { log.Observe(cache, anew, changes) })
}

func (c *cacheLog) markLost(cache fleet.EngineID) {
	c.update(func(log *cachefeed.Log) { log.Lose(cache) })
}

// applyUpdates takes in what another node tells of so many caches.
func (c *cacheLog) applyUpdates(now time.Duration, updates []cachefeed.Update, caches int) {
	c.setFollowing(now, caches)
	for _, update := range updates {
		if update.Lost {
			c.markLost(update.Cache)
			continue
		}
		c.observe(update.Cache, update.Anew, update.Changes())
	}
}

// update changes the log and wakes those who wait for a change.
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

// recordRequest notes a question.
func (c *cacheLog) recordRequest(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastAskedAt, c.wasAsked = now, true
}

// isWanted tells whether another node has asked of late.
func (c *cacheLog) isWanted(now time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wasAsked && now <= c.lastAskedAt+cacheInterestTimeout
}

// setFollowing notes how many caches this node follows for others.
func (c *cacheLog) setFollowing(now time.Duration, caches int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.following == 0 {
		c.followingSince = now
	}
	c.following = caches
}

// answer returns what a follower lacks if that is anything, and a channel that is closed
// at the next change. ready is false while this node doesn't know the caches yet: what it
// then told would have others forget what they know.
func (c *cacheLog) answer(now time.Duration, question cachefeed.Question) (news cachefeed.News, any, ready bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.log.Caches()
	ready = c.following > 0 && known > 0 && (known >= c.following || now >= c.followingSince+cacheGatherTimeout)
	if !ready {
		return news, false, false, c.changed
	}
	return c.log.Answer(question), c.log.Answers(question), true, c.changed
}

// cacheLogFor returns what this node tells others of a zone's caches, or nil if it doesn't. Of other
// zones it tells only what it has from there: two nodes that asked each other would believe
// for ever what they hold.
func (g *Gateway) cacheLogFor(zone fleet.ZoneName) *cacheLog {
	if zone == "" || zone == g.settings().Zone {
		return g.cacheLog
	}
	return g.zoneFeeds.mirror(zone)
}

// answerCaches answers another node's question about the caches of a zone.
func (g *Gateway) answerCaches(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error) {
	log := g.cacheLogFor(fleet.ZoneName(request.GetZone()))
	if log == nil || g.stopping() {
		return nil, errNoCachesFollowed
	}
	log.recordRequest(g.now())
	question := decodeCachesRequest(request)
	timer := time.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for waiting := true; ; {
		news, found, ready, changed := log.answer(g.now(), question)
		switch {
		case found || (ready && !waiting):
			return encodeCachesResponse(news), nil
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

func decodeCachesRequest(request *rpc.CachesRequest) cachefeed.Question {
	question := cachefeed.Question{
		After: cachefeed.Cursor{Generation: request.GetGeneration(), Sequence: request.GetSequence()},
	}
	for _, cache := range request.GetMissing() {
		question.Missing = append(question.Missing, fleet.EngineID(cache))
	}
	return question
}

func encodeCachesRequest(question cachefeed.Question, wait time.Duration) *rpc.CachesRequest {
	request := &rpc.CachesRequest{
		Generation: question.After.Generation, Sequence: question.After.Sequence, WaitMillis: uint32(wait.Milliseconds()),
	}
	for _, cache := range question.Missing {
		request.Missing = append(request.Missing, string(cache))
	}
	return request
}

// encodeCachesResponse returns what a follower lacks in its transmitted form.
func encodeCachesResponse(news cachefeed.News) *rpc.CachesResponse {
	response := &rpc.CachesResponse{Generation: news.Next.Generation, Sequence: news.Next.Sequence, Whole: news.Whole}
	for _, update := range news.Updates {
		response.Updates = append(response.Updates, &rpc.CacheUpdate{
			Cache: string(update.Cache), Anew: update.Anew, Lost: update.Lost,
			Held: encodeBlockHashes(update.Held), Dropped: encodeBlockHashes(update.Dropped),
		})
	}
	return response
}

// decodeCachesResponse reads what a follower lacks from its transmitted form.
func decodeCachesResponse(response *rpc.CachesResponse) cachefeed.News {
	news := cachefeed.News{
		Whole: response.GetWhole(),
		Next:  cachefeed.Cursor{Generation: response.GetGeneration(), Sequence: response.GetSequence()},
	}
	for _, update := range response.GetUpdates() {
		news.Updates = append(news.Updates, cachefeed.Update{
			Cache: fleet.EngineID(update.GetCache()), Anew: update.GetAnew(), Lost: update.GetLost(),
			Held: decodeBlockHashes(update.GetHeld()), Dropped: decodeBlockHashes(update.GetDropped()),
		})
	}
	return news
}

func encodeBlockHashes(parts []fleet.BlockHash) []uint64 {
	encoded := make([]uint64, len(parts))
	for index, part := range parts {
		encoded[index] = uint64(part)
	}
	return encoded
}

func decodeBlockHashes(encoded []uint64) []fleet.BlockHash {
	parts := make([]fleet.BlockHash, len(encoded))
	for index, part := range encoded {
		parts[index] = fleet.BlockHash(part)
	}
	return parts
}
