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

// believer believes what it is told of the caches that it wants.
type believer struct {
	*Follower
	wanted map[fleet.EngineID]bool
	caches map[fleet.EngineID]map[fleet.BlockHash]struct{}
}

func newBeliever() *believer {
	return &believer{
		Follower: NewFollower(),
		wanted:   make(map[fleet.EngineID]bool),
		caches:   make(map[fleet.EngineID]map[fleet.BlockHash]struct{}),
	}
}

func (b *believer) take(news News) {
	for _, update := range b.Take(news, b.wanted) {
		if update.Lost {
			delete(b.caches, update.Cache)
			continue
		}
		if update.Anew {
			b.caches[update.Cache] = make(map[fleet.BlockHash]struct{})
		}
		for _, part := range update.Held {
			b.caches[update.Cache][part] = struct{}{}
		}
		for _, part := range update.Dropped {
			delete(b.caches[update.Cache], part)
		}
	}
}

// toggle has the believer want a cache, or no more: then it forgets it.
func (b *believer) toggle(cache fleet.EngineID) {
	if b.wanted[cache] {
		delete(b.wanted, cache)
		delete(b.caches, cache)
		return
	}
	b.wanted[cache] = true
}

// TestFollowersBelieveWhatTheLogKnows plays random changes against followers that ask at
// random times, change between two logs of the same caches, miss answers, and want other
// caches from time to time: what one believes after an answer is what the log knows.
func TestFollowersBelieveWhatTheLogKnows(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			logs := []*Log{NewLog(1, 20), NewLog(2, 20)}
			all := []*believer{newBeliever(), newBeliever(), newBeliever()}
			followed := make([]int, len(all))
			for range 400 {
				cache := fleet.EngineID(fmt.Sprint("cache-", random.IntN(4)))
				change(random, logs, cache)
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
				question := asking.Ask(asking.wanted)
				news := log.Answer(question)
				if !log.Answers(question) {
					require.Empty(t, news.Updates)
				}
				if random.IntN(5) == 0 {
					continue
				}
				asking.take(news)
				require.Equal(t, known(log, asking.wanted), asking.caches)
				require.False(t, log.Answers(asking.Ask(asking.wanted)), "nothing is left to be told")
			}
		})
	}
}

// change has something change in a cache, and both logs take it in.
func change(random *rand.Rand, logs []*Log, cache fleet.EngineID) {
	lost, fresh := random.IntN(20) == 0, random.IntN(15) == 0
	changes := make([]Change, random.IntN(6))
	for index := range changes {
		changes[index] = Change{Part: fleet.BlockHash(random.IntN(12)), Held: random.IntN(2) == 0}
	}
	for _, log := range logs {
		if lost {
			log.Lose(cache)
		} else {
			log.Observe(cache, fresh, changes)
		}
	}
}

// known returns what a log knows of some caches.
func known(log *Log, wanted map[fleet.EngineID]bool) map[fleet.EngineID]map[fleet.BlockHash]struct{} {
	caches := make(map[fleet.EngineID]map[fleet.BlockHash]struct{})
	for cache, parts := range log.caches {
		if wanted[cache] {
			caches[cache] = parts
		}
	}
	return caches
}

// TestChangesTakeFewEntries has a part that comes and goes count once, and one that is held
// already not at all.
func TestChangesTakeFewEntries(t *testing.T) {
	log := NewLog(7, 0)
	log.Observe("cache", true, []Change{{Part: 1, Held: true}})
	cursor := log.Next()
	log.Observe("cache", false, []Change{{Part: 1, Held: true}, {Part: 9, Held: false}})
	assert.False(t, log.Answers(Question{After: cursor}), "nothing has changed")
	log.Observe("cache", false, []Change{{Part: 2, Held: true}, {Part: 2, Held: false}, {Part: 1, Held: false}})
	news := log.Answer(Question{After: cursor})
	require.Len(t, news.Updates, 1)
	slices.Sort(news.Updates[0].Dropped)
	assert.Equal(t, Update{Cache: "cache", Dropped: []fleet.BlockHash{1, 2}}, news.Updates[0])
}

// TestLogIsBounded has a follower that has seen too little get everything.
func TestLogIsBounded(t *testing.T) {
	log := NewLog(1, 10)
	log.Observe("cache", true, nil)
	early := log.Next()
	for part := range 100 {
		log.Observe("cache", false, []Change{{Part: fleet.BlockHash(part), Held: true}})
		assert.LessOrEqual(t, len(log.entries), 20)
	}
	news := log.Answer(Question{After: early})
	assert.True(t, news.Whole)
	require.Len(t, news.Updates, 1)
	assert.Len(t, news.Updates[0].Held, 100)
	assert.True(t, log.Answer(Question{After: Cursor{Generation: 1, Sequence: news.Next.Sequence + 1}}).Whole, "a position that is to come")
	assert.True(t, log.Answer(Question{After: Cursor{Generation: 3, Sequence: news.Next.Sequence}}).Whole, "another run")
}

// TestSourceIsKeptUntilItFails has the first source fail, and come back.
func TestSourceIsKeptUntilItFails(t *testing.T) {
	order := []fleet.NodeID{"a", "b"}
	now := time.Minute
	selector := NewSelector(now - Patience)
	choose := func(now time.Duration, order []fleet.NodeID) fleet.NodeID {
		node, found := selector.Choose(now, order)
		require.Equal(t, found, node != "")
		return node
	}
	assert.Equal(t, fleet.NodeID("a"), choose(now, order))
	selector.Failed(now, "a")
	assert.Equal(t, fleet.NodeID("b"), choose(now, order))
	assert.Equal(t, fleet.NodeID("b"), choose(now+ReturnAfter-1, order), "the one that answers is kept")
	assert.Equal(t, fleet.NodeID("a"), choose(now+ReturnAfter, order), "for a while")
	now += ReturnAfter
	selector.Failed(now, "a")
	assert.Equal(t, fleet.NodeID("b"), choose(now, order))
	selector.Failed(now, "b")
	assert.Empty(t, choose(now+RetryAfter-1, order), "the caches themselves")
	assert.Equal(t, fleet.NodeID("a"), choose(now+RetryAfter, order))
	assert.Equal(t, fleet.NodeID("c"), choose(now, []fleet.NodeID{"c"}), "a is gone")
	assert.Empty(t, choose(now, nil))
}

// TestSourceThatCannotTellYetIsAskedAgain has a fleet that has just started wait for its
// sources, and not read the caches meanwhile.
func TestSourceThatCannotTellYetIsAskedAgain(t *testing.T) {
	selector := NewSelector(0)
	_, found := selector.Choose(0, nil)
	assert.False(t, found)
	assert.False(t, selector.Alone(Patience-1))
	selector.Choose(1, []fleet.NodeID{"a", "b"})
	selector.Unavailable(1, "a")
	node, found := selector.Choose(1, []fleet.NodeID{"a", "b"})
	assert.True(t, found)
	assert.Equal(t, fleet.NodeID("a"), node)
	selector.Unavailable(Patience, "a")
	node, _ = selector.Choose(Patience, []fleet.NodeID{"a", "b"})
	assert.Equal(t, fleet.NodeID("b"), node)
	assert.True(t, selector.Alone(Patience))
}

// Times of the simulated zone.
const (
	simPause   = 250 * time.Millisecond
	simSilence = 1350 * time.Millisecond
	simCheck   = 100 * time.Millisecond
)

// simSource is a node of the zone that follows its cache.
type simSource struct {
	log *Log
	// silentFrom and silentTo are when it doesn't answer: it is dead, frozen or cut off.
	silentFrom time.Duration
	silentTo   time.Duration
}

// TestStandbyTakesOver plays sources that fall silent at random, on a virtual clock: whenever any
// has answered all the time, the follower believes what the cache holds, at most the time
// late that it takes to find out that the others are silent; with none left it reads the cache
// itself within a bound. A new run of a source, which has forgotten its position, changes
// nothing of that.
func TestStandbyTakesOver(t *testing.T) {
	order := []fleet.NodeID{"a", "b", "c"}
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			sources := make(map[fleet.NodeID]*simSource)
			for index, node := range order {
				from := time.Duration(random.Int64N(int64(20 * time.Second)))
				sources[node] = &simSource{
					log: NewLog(uint64(index+1), 50), silentFrom: from,
					silentTo: from + time.Duration(random.Int64N(int64(10*time.Second))),
				}
			}
			selector, asking := NewSelector(0), newBeliever()
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
					require.True(t, selector.Alone(now) || now < Patience)
					lastRight = now
					now += simCheck
					asking.Reset()
					continue
				}
				aloneAt = -1
				for _, log := range logs {
					log.Observe("cache", false, []Change{{Part: fleet.BlockHash(now / time.Millisecond % 40), Held: true}})
					log.Observe("cache", false, []Change{{Part: fleet.BlockHash(now / time.Millisecond % 7), Held: false}})
				}
				source := sources[node]
				if now >= source.silentFrom && now < source.silentTo {
					now += simSilence
					selector.Failed(now, node)
					asking.Reset()
					require.LessOrEqual(t, now-lastRight, 3*simSilence+simPause)
					continue
				}
				asking.take(source.log.Answer(asking.Ask(asking.wanted)))
				require.Equal(t, known(truth, asking.wanted), asking.caches)
				lastRight = now
				now += simPause
			}
		})
	}
}
