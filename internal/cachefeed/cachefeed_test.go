package cachefeed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// replica believes what it is told of the caches that it wants.
type replica struct {
	*Follower
	wanted map[fleet.EngineID]bool
	caches map[fleet.EngineID]map[fleet.BlockHash]struct{}
}

func newReplica() *replica {
	return &replica{
		Follower: NewFollower(),
		wanted:   make(map[fleet.EngineID]bool),
		caches:   make(map[fleet.EngineID]map[fleet.BlockHash]struct{}),
	}
}

func (b *replica) apply(news Delta) {
	for _, update := range b.Apply(news, b.wanted) {
		if update.Lost {
			delete(b.caches, update.Cache)
			continue
		}
		if update.Reset {
			b.caches[update.Cache] = make(map[fleet.BlockHash]struct{})
		}
		for _, part := range update.Stored {
			b.caches[update.Cache][part] = struct{}{}
		}
		for _, part := range update.Removed {
			delete(b.caches[update.Cache], part)
		}
	}
}

// toggle has the believer want a cache, or no more: then it forgets it.
func (b *replica) toggle(cache fleet.EngineID) {
	if b.wanted[cache] {
		delete(b.wanted, cache)
		delete(b.caches, cache)
		return
	}
	b.wanted[cache] = true
}

// TestFollowersMatchLog plays random changes against followers that ask at
// random times, change between two logs of the same caches, miss answers, and want other
// caches from time to time: what one believes after an answer is what the log knows.
func TestFollowersMatchLog(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			logs := []*Log{NewLog(1, 20), NewLog(2, 20)}
			all := []*replica{newReplica(), newReplica(), newReplica()}
			followed := make([]int, len(all))
			for range 400 {
				cache := fleet.EngineID(fmt.Sprint("cache-", random.IntN(4)))
				applyRandomChange(random, logs, cache)
				number := random.IntN(len(all))
				asking := all[number]
				if random.IntN(10) == 0 {
					asking.toggle(cache)
				}
				if random.IntN(10) == 0 {
					followed[number] = 1 - followed[number]
					asking.Reset()
				}
				log := logs[followed[number]]
				question := asking.NextQuery(asking.wanted)
				news := log.Delta(question)
				if !log.HasDelta(question) {
					require.Empty(t, news.Updates)
				}
				if random.IntN(5) == 0 {
					continue
				}
				asking.apply(news)
				require.Equal(t, logState(log, asking.wanted), asking.caches)
				require.False(t, log.HasDelta(asking.NextQuery(asking.wanted)), "nothing is left to be told")
			}
		})
	}
}

// applyRandomChange has something applyRandomChange in a cache, and both logs take it in.
func applyRandomChange(random *rand.Rand, logs []*Log, cache fleet.EngineID) {
	lost, fresh := random.IntN(20) == 0, random.IntN(15) == 0
	changes := make([]Change, random.IntN(6))
	for index := range changes {
		changes[index] = Change{Block: fleet.BlockHash(random.IntN(12)), Stored: random.IntN(2) == 0}
	}
	for _, log := range logs {
		if lost {
			log.MarkLost(cache)
		} else {
			log.Observe(cache, fresh, changes)
		}
	}
}

// logState returns what a log knows of some caches.
func logState(log *Log, wanted map[fleet.EngineID]bool) map[fleet.EngineID]map[fleet.BlockHash]struct{} {
	caches := make(map[fleet.EngineID]map[fleet.BlockHash]struct{})
	for cache, parts := range log.caches {
		if wanted[cache] {
			caches[cache] = parts
		}
	}
	return caches
}

// TestRedundantChangesAreFolded has a part that comes and goes count once, and one that is held
// already not at all.
func TestRedundantChangesAreFolded(t *testing.T) {
	log := NewLog(7, 0)
	log.Observe("cache", true, []Change{{Block: 1, Stored: true}})
	cursor := log.Next()
	log.Observe("cache", false, []Change{{Block: 1, Stored: true}, {Block: 9, Stored: false}})
	assert.False(t, log.HasDelta(Query{After: cursor}), "nothing has changed")
	log.Observe("cache", false, []Change{{Block: 2, Stored: true}, {Block: 2, Stored: false}, {Block: 1, Stored: false}})
	news := log.Delta(Query{After: cursor})
	require.Len(t, news.Updates, 1)
	slices.Sort(news.Updates[0].Removed)
	assert.Equal(t, Update{Cache: "cache", Removed: []fleet.BlockHash{1, 2}}, news.Updates[0])
}

// TestLogIsBoundedAndFallsBackToSnapshot has a follower that has seen too little get everything.
func TestLogIsBoundedAndFallsBackToSnapshot(t *testing.T) {
	log := NewLog(1, 10)
	log.Observe("cache", true, nil)
	early := log.Next()
	for part := range 100 {
		log.Observe("cache", false, []Change{{Block: fleet.BlockHash(part), Stored: true}})
		assert.LessOrEqual(t, len(log.entries), 20)
	}
	news := log.Delta(Query{After: early})
	assert.True(t, news.Complete)
	require.Len(t, news.Updates, 1)
	assert.Len(t, news.Updates[0].Stored, 100)
	assert.True(t, log.Delta(Query{After: Cursor{Generation: 1, Sequence: news.Next.Sequence + 1}}).Complete, "a position that is to come")
	assert.True(t, log.Delta(Query{After: Cursor{Generation: 3, Sequence: news.Next.Sequence}}).Complete, "another run")
}

// TestSelectorFailsOverAndBack has the first source fail, and come back.
func TestSelectorFailsOverAndBack(t *testing.T) {
	order := []fleet.NodeID{"a", "b"}
	now := time.Minute
	selector := NewSelector(now - StartupGracePeriod)
	choose := func(now time.Duration, order []fleet.NodeID) fleet.NodeID {
		node, found := selector.Choose(now, order)
		require.Equal(t, found, node != "")
		return node
	}
	assert.Equal(t, fleet.NodeID("a"), choose(now, order))
	selector.MarkFailed(now, "a")
	assert.Equal(t, fleet.NodeID("b"), choose(now, order))
	assert.Equal(t, fleet.NodeID("b"), choose(now+FailbackDelay-1, order), "the one that answers is kept")
	assert.Equal(t, fleet.NodeID("a"), choose(now+FailbackDelay, order), "for a while")
	now += FailbackDelay
	selector.MarkFailed(now, "a")
	assert.Equal(t, fleet.NodeID("b"), choose(now, order))
	selector.MarkFailed(now, "b")
	assert.Empty(t, choose(now+FailureBackoff-1, order), "the caches themselves")
	assert.Equal(t, fleet.NodeID("a"), choose(now+FailureBackoff, order))
	assert.Equal(t, fleet.NodeID("c"), choose(now, []fleet.NodeID{"c"}), "a is gone")
	assert.Empty(t, choose(now, nil))
}

// TestSourceNotReadyIsRetriedDuringStartup has a fleet that has just started wait for its
// sources, and not read the caches meanwhile.
func TestSourceNotReadyIsRetriedDuringStartup(t *testing.T) {
	selector := NewSelector(0)
	_, found := selector.Choose(0, nil)
	assert.False(t, found)
	assert.False(t, selector.CanReadDirectly(StartupGracePeriod-1))
	selector.Choose(1, []fleet.NodeID{"a", "b"})
	selector.MarkNotReady(1, "a")
	node, found := selector.Choose(1, []fleet.NodeID{"a", "b"})
	assert.True(t, found)
	assert.Equal(t, fleet.NodeID("a"), node)
	selector.MarkNotReady(StartupGracePeriod, "a")
	node, _ = selector.Choose(StartupGracePeriod, []fleet.NodeID{"a", "b"})
	assert.Equal(t, fleet.NodeID("b"), node)
	assert.True(t, selector.CanReadDirectly(StartupGracePeriod))
}

// Times of the simulated zone.
const (
	pollInterval  = 250 * time.Millisecond
	detectionTime = 1350 * time.Millisecond
	retryInterval = 100 * time.Millisecond
)

// source is a node of the zone that follows its cache.
type source struct {
	log *Log
	// silentFrom and silentTo are when it doesn't answer: it is dead, frozen or cut off.
	silentFrom time.Duration
	silentTo   time.Duration
}

// TestFollowerFailsOverToStandby plays sources that fall silent at random, on a virtual clock: whenever any
// has answered all the time, the follower believes what the cache holds, at most the time
// late that it takes to find out that the others are silent; with none left it reads the cache
// itself within a bound. A new run of a source, which has forgotten its position, changes
// nothing of that.
func TestFollowerFailsOverToStandby(t *testing.T) {
	order := []fleet.NodeID{"a", "b", "c"}
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			sources := make(map[fleet.NodeID]*source)
			for index, node := range order {
				from := time.Duration(random.Int64N(int64(20 * time.Second)))
				sources[node] = &source{
					log: NewLog(uint64(index+1), 50), silentFrom: from,
					silentTo: from + time.Duration(random.Int64N(int64(10*time.Second))),
				}
			}
			selector, asking := NewSelector(0), newReplica()
			asking.toggle("cache")
			lastRight, aloneAt := time.Duration(0), time.Duration(-1)
			truth := NewLog(99, 50)
			logs := []*Log{truth, sources["a"].log, sources["b"].log, sources["c"].log}
			for now := time.Duration(0); now < 30*time.Second; {
				node, found := selector.Choose(now, order)
				if !found {
					if aloneAt < 0 {
						aloneAt = now
					}
					require.True(t, selector.CanReadDirectly(now) || now < StartupGracePeriod)
					lastRight = now
					now += retryInterval
					asking.Reset()
					continue
				}
				aloneAt = -1
				for _, log := range logs {
					log.Observe("cache", false, []Change{{Block: fleet.BlockHash(now / time.Millisecond % 40), Stored: true}})
					log.Observe("cache", false, []Change{{Block: fleet.BlockHash(now / time.Millisecond % 7), Stored: false}})
				}
				source := sources[node]
				if now >= source.silentFrom && now < source.silentTo {
					now += detectionTime
					selector.MarkFailed(now, node)
					asking.Reset()
					require.LessOrEqual(t, now-lastRight, 3*detectionTime+pollInterval)
					continue
				}
				asking.apply(source.log.Delta(asking.NextQuery(asking.wanted)))
				require.Equal(t, logState(truth, asking.wanted), asking.caches)
				lastRight = now
				now += pollInterval
			}
		})
	}
}
