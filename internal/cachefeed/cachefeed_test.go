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

// replica applies the updates of a follower to its own copy of the wanted caches.
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

func (r *replica) apply(delta Delta) {
	for _, update := range r.Apply(delta, r.wanted) {
		if update.Lost {
			delete(r.caches, update.Cache)
			continue
		}
		if update.Reset {
			r.caches[update.Cache] = make(map[fleet.BlockHash]struct{})
		}
		for _, block := range update.Stored {
			r.caches[update.Cache][block] = struct{}{}
		}
		for _, block := range update.Removed {
			delete(r.caches[update.Cache], block)
		}
	}
}

// toggle starts or stops wanting a cache. A cache that is no longer wanted is removed.
func (r *replica) toggle(cache fleet.EngineID) {
	if r.wanted[cache] {
		delete(r.wanted, cache)
		delete(r.caches, cache)
		return
	}
	r.wanted[cache] = true
}

// After each answer, a replica must match the log that it follows, also after lost answers and
// changes of the log or of the wanted caches.
func TestFollowersMatchLog(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			logs := []*Log{NewLog(1, 20), NewLog(2, 20)}
			replicas := []*replica{newReplica(), newReplica(), newReplica()}
			followed := make([]int, len(replicas))
			for range 400 {
				cache := fleet.EngineID(fmt.Sprint("cache-", random.IntN(4)))
				applyRandomChange(random, logs, cache)
				number := random.IntN(len(replicas))
				follower := replicas[number]
				if random.IntN(10) == 0 {
					follower.toggle(cache)
				}
				if random.IntN(10) == 0 {
					followed[number] = 1 - followed[number]
					follower.Reset()
				}
				log := logs[followed[number]]
				query := follower.NextQuery(follower.wanted)
				delta := log.Delta(query)
				if !log.HasDelta(query) {
					require.Empty(t, delta.Updates)
				}
				if random.IntN(5) == 0 {
					continue
				}
				follower.apply(delta)
				require.Equal(t, logState(log, follower.wanted), follower.caches)
				require.False(t, log.HasDelta(follower.NextQuery(follower.wanted)), "no delta is left")
			}
		})
	}
}

// applyRandomChange applies the same random change of a cache to all logs.
func applyRandomChange(random *rand.Rand, logs []*Log, cache fleet.EngineID) {
	lost, reset := random.IntN(20) == 0, random.IntN(15) == 0
	changes := make([]Change, random.IntN(6))
	for index := range changes {
		changes[index] = Change{Block: fleet.BlockHash(random.IntN(12)), Stored: random.IntN(2) == 0}
	}
	for _, log := range logs {
		if lost {
			log.MarkLost(cache)
		} else {
			log.Observe(cache, reset, changes)
		}
	}
}

// logState returns the content of the wanted caches according to a log.
func logState(log *Log, wanted map[fleet.EngineID]bool) map[fleet.EngineID]map[fleet.BlockHash]struct{} {
	caches := make(map[fleet.EngineID]map[fleet.BlockHash]struct{})
	for cache, blocks := range log.caches {
		if wanted[cache] {
			caches[cache] = blocks
		}
	}
	return caches
}

// A block that is stored and removed must appear once in a delta, and one that is stored already
// not at all.
func TestRedundantChangesAreFolded(t *testing.T) {
	log := NewLog(7, 0)
	log.Observe("cache", true, []Change{{Block: 1, Stored: true}})
	cursor := log.Next()
	log.Observe("cache", false, []Change{{Block: 1, Stored: true}, {Block: 9, Stored: false}})
	assert.False(t, log.HasDelta(Query{After: cursor}), "no change")
	log.Observe("cache", false, []Change{{Block: 2, Stored: true}, {Block: 2, Stored: false}, {Block: 1, Stored: false}})
	delta := log.Delta(Query{After: cursor})
	require.Len(t, delta.Updates, 1)
	slices.Sort(delta.Updates[0].Removed)
	assert.Equal(t, Update{Cache: "cache", Removed: []fleet.BlockHash{1, 2}}, delta.Updates[0])
}

// The log must stay bounded, and must answer with a snapshot if the cursor is not in it.
func TestLogIsBoundedAndFallsBackToSnapshot(t *testing.T) {
	log := NewLog(1, 10)
	log.Observe("cache", true, nil)
	early := log.Next()
	for block := range 100 {
		log.Observe("cache", false, []Change{{Block: fleet.BlockHash(block), Stored: true}})
		assert.LessOrEqual(t, len(log.entries), 20)
	}
	delta := log.Delta(Query{After: early})
	assert.True(t, delta.Complete)
	require.Len(t, delta.Updates, 1)
	assert.Len(t, delta.Updates[0].Stored, 100)
	assert.True(t, log.Delta(Query{After: Cursor{Generation: 1, Sequence: delta.Next.Sequence + 1}}).Complete, "a cursor beyond the end")
	assert.True(t, log.Delta(Query{After: Cursor{Generation: 3, Sequence: delta.Next.Sequence}}).Complete, "a cursor of another generation")
}

// The selector must keep a source until it fails, and return to a better one after FailbackDelay.
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
	assert.Equal(t, fleet.NodeID("b"), choose(now+FailbackDelay-1, order), "the working source is kept")
	assert.Equal(t, fleet.NodeID("a"), choose(now+FailbackDelay, order), "the failback delay has passed")
	now += FailbackDelay
	selector.MarkFailed(now, "a")
	assert.Equal(t, fleet.NodeID("b"), choose(now, order))
	selector.MarkFailed(now, "b")
	assert.Empty(t, choose(now+FailureBackoff-1, order), "no source is available")
	assert.Equal(t, fleet.NodeID("a"), choose(now+FailureBackoff, order))
	assert.Equal(t, fleet.NodeID("c"), choose(now, []fleet.NodeID{"c"}), "a is not in the order")
	assert.Empty(t, choose(now, nil))
}

// After a start, a source that is not ready must be queried again rather than the caches read
// directly.
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

const (
	pollInterval  = 250 * time.Millisecond
	detectionTime = 1350 * time.Millisecond
	retryInterval = 100 * time.Millisecond
)

// source is a node of the zone that follows the cache.
type source struct {
	log *Log
	// The source does not answer from outageFrom to outageTo.
	outageFrom time.Duration
	outageTo   time.Duration
}

// While sources have outages, the follower must match the cache as long as any source answers, and
// must be allowed to read the cache directly if none does.
func TestFollowerFailsOverToStandby(t *testing.T) {
	order := []fleet.NodeID{"a", "b", "c"}
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			sources := make(map[fleet.NodeID]*source)
			for index, node := range order {
				from := time.Duration(random.Int64N(int64(20 * time.Second)))
				sources[node] = &source{
					log: NewLog(uint64(index+1), 50), outageFrom: from,
					outageTo: from + time.Duration(random.Int64N(int64(10*time.Second))),
				}
			}
			selector, follower := NewSelector(0), newReplica()
			follower.toggle("cache")
			lastCorrect, directSince := time.Duration(0), time.Duration(-1)
			expected := NewLog(99, 50)
			logs := []*Log{expected, sources["a"].log, sources["b"].log, sources["c"].log}
			for now := time.Duration(0); now < 30*time.Second; {
				node, found := selector.Choose(now, order)
				if !found {
					if directSince < 0 {
						directSince = now
					}
					require.True(t, selector.CanReadDirectly(now) || now < StartupGracePeriod)
					lastCorrect = now
					now += retryInterval
					follower.Reset()
					continue
				}
				directSince = -1
				for _, log := range logs {
					log.Observe("cache", false, []Change{{Block: fleet.BlockHash(now / time.Millisecond % 40), Stored: true}})
					log.Observe("cache", false, []Change{{Block: fleet.BlockHash(now / time.Millisecond % 7), Stored: false}})
				}
				source := sources[node]
				if now >= source.outageFrom && now < source.outageTo {
					now += detectionTime
					selector.MarkFailed(now, node)
					follower.Reset()
					require.LessOrEqual(t, now-lastCorrect, 3*detectionTime+pollInterval)
					continue
				}
				follower.apply(source.log.Delta(follower.NextQuery(follower.wanted)))
				require.Equal(t, logState(expected, follower.wanted), follower.caches)
				lastCorrect = now
				now += pollInterval
			}
		})
	}
}
