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
	// cachesWanted is how long after the last question a node to which callers aren't sent
	// goes on following the caches of its zone.
	cachesWanted = 5 * time.Second
	// cachesGathered is how long a node that has begun to follow caches waits for the first
	// answers of all of them until it tells of those that it knows.
	cachesGathered = time.Second
)

// errFollowsNone says that a node can't tell of caches.
var errFollowsNone = errors.New("this node follows no caches")

// cacheLog is what this node knows of the caches of its zone, for nodes of other zones.
type cacheLog struct {
	mutex sync.Mutex
	log   *cachefeed.Log
	// changed is closed at the next change.
	changed chan struct{}
	// asked is when another node asked last, if one has.
	asked    time.Duration
	wasAsked bool
	// following is the number of caches that this node follows for others, and begun
	// since when there are any.
	following int
	begun     time.Duration
}

func newCacheLog(generation uint64) *cacheLog {
	return &cacheLog{log: cachefeed.NewLog(generation, 0), changed: make(chan struct{})}
}

// restart forgets everything. The generation must be another one.
func (c *cacheLog) restart(generation uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.log, c.following = cachefeed.NewLog(generation, 0), 0
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cacheLog) observe(cache fleet.EngineID, anew bool, changes []cachefeed.Change) {
	c.update(func(log *cachefeed.Log) { log.Observe(cache, anew, changes) })
}

func (c *cacheLog) lose(cache fleet.EngineID) {
	c.update(func(log *cachefeed.Log) { log.MarkLost(cache) })
}

// takeTold takes in what another node tells of so many caches.
func (c *cacheLog) takeTold(now time.Duration, updates []cachefeed.Update, caches int) {
	c.follow(now, caches)
	for _, update := range updates {
		if update.Lost {
			c.lose(update.Cache)
			continue
		}
		c.observe(update.Cache, update.Reset, update.Changes())
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

// ask notes a question.
func (c *cacheLog) ask(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked, c.wasAsked = now, true
}

// wanted tells whether another node has asked of late.
func (c *cacheLog) wanted(now time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.wasAsked && now <= c.asked+cachesWanted
}

// follow notes how many caches this node follows for others.
func (c *cacheLog) follow(now time.Duration, caches int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.following == 0 {
		c.begun = now
	}
	c.following = caches
}

// answer returns what a follower lacks if that is anything, and a channel that is closed
// at the next change. ready is false while this node doesn't know the caches yet: what it
// then told would have others forget what they know.
func (c *cacheLog) answer(now time.Duration, question cachefeed.Query) (news cachefeed.Delta, any, ready bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.log.Caches()
	ready = c.following > 0 && known > 0 && (known >= c.following || now >= c.begun+cachesGathered)
	if !ready {
		return news, false, false, c.changed
	}
	return c.log.Delta(question), c.log.HasDelta(question), true, c.changed
}

// logOf returns what this node tells others of a zone's caches, or nil if it doesn't. Of other
// zones it tells only what it has from there: two nodes that asked each other would believe
// for ever what they hold.
func (g *Gateway) logOf(zone fleet.ZoneName) *cacheLog {
	if zone == "" || zone == g.settings().Zone {
		return g.cacheLog
	}
	return g.zoneFeeds.mirror(zone)
}

// answerCaches answers another node's question about the caches of a zone.
func (g *Gateway) answerCaches(ctx context.Context, request *rpc.CachesRequest) (*rpc.CachesResponse, error) {
	log := g.logOf(fleet.ZoneName(request.GetZone()))
	if log == nil || g.stopping() {
		return nil, errFollowsNone
	}
	log.ask(g.now())
	question := decodeQuestion(request)
	timer := time.NewTimer(min(time.Duration(request.GetWaitMillis())*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for waiting := true; ; {
		news, found, ready, changed := log.answer(g.now(), question)
		switch {
		case found || (ready && !waiting):
			return encodeNews(news), nil
		case !waiting:
			return nil, errFollowsNone
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-g.life.Dying():
			return nil, errFollowsNone
		}
	}
}

func decodeQuestion(request *rpc.CachesRequest) cachefeed.Query {
	question := cachefeed.Query{
		After: cachefeed.Cursor{Generation: request.GetGeneration(), Sequence: request.GetSequence()},
	}
	for _, cache := range request.GetMissing() {
		question.Missing = append(question.Missing, fleet.EngineID(cache))
	}
	return question
}

func encodeQuestion(question cachefeed.Query, wait time.Duration) *rpc.CachesRequest {
	request := &rpc.CachesRequest{
		Generation: question.After.Generation, Sequence: question.After.Sequence, WaitMillis: uint32(wait.Milliseconds()),
	}
	for _, cache := range question.Missing {
		request.Missing = append(request.Missing, string(cache))
	}
	return request
}

// encodeNews returns what a follower lacks in its transmitted form.
func encodeNews(news cachefeed.Delta) *rpc.CachesResponse {
	response := &rpc.CachesResponse{Generation: news.Next.Generation, Sequence: news.Next.Sequence, Whole: news.Complete}
	for _, update := range news.Updates {
		response.Updates = append(response.Updates, &rpc.CacheUpdate{
			Cache: string(update.Cache), Anew: update.Reset, Lost: update.Lost,
			Held: encodeParts(update.Stored), Dropped: encodeParts(update.Removed),
		})
	}
	return response
}

// decodeNews reads what a follower lacks from its transmitted form.
func decodeNews(response *rpc.CachesResponse) cachefeed.Delta {
	news := cachefeed.Delta{
		Complete: response.GetWhole(),
		Next:     cachefeed.Cursor{Generation: response.GetGeneration(), Sequence: response.GetSequence()},
	}
	for _, update := range response.GetUpdates() {
		news.Updates = append(news.Updates, cachefeed.Update{
			Cache: fleet.EngineID(update.GetCache()), Reset: update.GetAnew(), Lost: update.GetLost(),
			Stored: decodeParts(update.GetHeld()), Removed: decodeParts(update.GetDropped()),
		})
	}
	return news
}

func encodeParts(parts []fleet.BlockHash) []uint64 {
	encoded := make([]uint64, len(parts))
	for index, part := range parts {
		encoded[index] = uint64(part)
	}
	return encoded
}

func decodeParts(encoded []uint64) []fleet.BlockHash {
	parts := make([]fleet.BlockHash, len(encoded))
	for index, part := range encoded {
		parts[index] = fleet.BlockHash(part)
	}
	return parts
}
