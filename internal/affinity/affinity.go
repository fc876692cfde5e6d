// Package affinity chooses the routers that an agent asks for a prompt. It sends prompts with a
// common prefix to the same router, as far as the engines of one router can serve them.
//
// A prompt has several keys, the hashes of prefixes of increasing length. The first key ranks the
// routers. Its width, initially 1, is the number of routers from the top of the rank that serve
// prompts with this key. The width doubles when a router hands such a prompt back as saturated and
// another router places it, and decays over time. Within the width the longer keys select the
// router, which keeps prompts with longer common prefixes together. A longer key gets a part of the
// width proportional to its part of the requests, and at least one router.
//
// A Table has no I/O, goroutines or clock, and isn't safe for concurrent use.
package affinity

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// MaxSpills is the number of consecutive saturated routers after which a request returns to its
// first choice and waits there: if all routers are busy, waiting for the cached prefix is the
// cheapest.
const MaxSpills = 2

// priorCount is added to the request counts when estimating a key's part of the requests. A key
// that has just become wide therefore spreads its requests evenly until its longer keys have been
// counted.
const priorCount = 4

// entry is the state of a key.
type entry struct {
	// width applies to first keys; count is the decayed number of requests. Both are as of
	// updatedAt.
	width     float64
	count     float64
	updatedAt time.Duration
	// widenedAt is when the width last doubled.
	widenedAt time.Duration
}

// Table tracks the keys that need more than one router.
type Table struct {
	options Options
	entries *simplelru.LRU[uint64, *entry]
}

// New returns an empty table.
func New(options Options) *Table {
	options = options.withDefaults()
	entries, err := simplelru.NewLRU[uint64, *entry](options.MaxKeys, nil)
	if err != nil {
		panic(err) // MaxKeys is positive
	}
	return &Table{options: options, entries: entries}
}

// Len returns the number of tracked keys.
func (t *Table) Len() int { return t.entries.Len() }

// Choose returns the routing of a prompt and counts the request. A prompt without a full block uses
// fallbackKey.
func (t *Table) Choose(now time.Duration, blocks []fleet.BlockHash, fallbackKey uint64) Choice {
	choice := Choice{keys: t.keys(blocks, fallbackKey), width: 1, tieBreaker: t.options.Random.Uint64()}
	root, found := t.entries.Get(choice.Key())
	if !found {
		return choice
	}
	t.decay(now, root)
	choice.width = int(math.Round(root.width))
	if choice.width <= 1 {
		t.entries.Remove(choice.Key())
		return choice
	}
	root.count++
	choice.spreads = t.spreads(now, choice.keys[1:], root, choice.width)
	t.entries.Get(choice.Key()) // keeps the first key more recent than the longer ones
	return choice
}

// keys returns a prompt's keys, the shortest prefix first.
func (t *Table) keys(blocks []fleet.BlockHash, fallbackKey uint64) []uint64 {
	if len(blocks) == 0 {
		return []uint64{fallbackKey}
	}
	keys := make([]uint64, 0, t.options.Levels)
	depth := t.options.FirstDepth
	keys = append(keys, uint64(blocks[min(depth, len(blocks))-1]))
	for len(keys) < t.options.Levels {
		depth *= t.options.DepthRatio
		if depth > len(blocks) {
			break
		}
		keys = append(keys, uint64(blocks[depth-1]))
	}
	return keys
}

// spreads counts the request under its longer keys and returns the number of routers that each is
// spread over.
func (t *Table) spreads(now time.Duration, keys []uint64, root *entry, width int) []int {
	spreads := make([]int, 0, len(keys))
	within := width
	for _, key := range keys {
		child, found := t.entries.Get(key)
		if !found {
			child = &entry{updatedAt: now}
			t.entries.Add(key, child)
		}
		t.decay(now, child)
		child.count++
		part := (child.count + priorCount) / (root.count + priorCount)
		within = min(max(int(math.Round(part*float64(width))), 1), within)
		spreads = append(spreads, within)
	}
	return spreads
}

// RecordSpill records that a router handed a request back as saturated and that another router
// placed it at once. It ignores a choice made under a smaller width than the current one. serving,
// the number of serving routers, bounds the width.
func (t *Table) RecordSpill(now time.Duration, choice Choice, serving int) {
	root, found := t.entries.Get(choice.Key())
	if !found {
		root = &entry{width: 1, updatedAt: now, widenedAt: now - t.options.GrowInterval}
		t.entries.Add(choice.Key(), root)
	}
	t.decay(now, root)
	if choice.width < int(math.Round(root.width)) || now-root.widenedAt < t.options.GrowInterval {
		return
	}
	root.width = math.Min(2*float64(choice.width), math.Max(float64(serving), 1))
	root.widenedAt = now
}

// decay applies the decay since the entry's last update.
func (t *Table) decay(now time.Duration, e *entry) {
	if now <= e.updatedAt {
		return
	}
	decayFactor := math.Exp2(-float64(now-e.updatedAt) / float64(t.options.HalfLife))
	e.width = math.Max(e.width*decayFactor, 1)
	e.count *= decayFactor
	e.updatedAt = now
}
