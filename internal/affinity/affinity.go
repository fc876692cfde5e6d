// Package affinity decides which routers an agent asks for a prompt, so that
// prompts which begin alike meet the same router, as far as one router's
// engines can carry them.
//
// A prompt has several keys, the hashes of longer and longer beginnings. The
// first key ranks the routers. Its width, 1 at first, says how many of the rank
// serve the prompts that share it: it doubles when a router hands such a prompt
// back as saturated and another one takes it, and decays with time. Which of
// these routers a prompt goes to is decided by its longer keys, so that prompts
// with more in common still meet. A longer key's part of the width is its part
// of the requests; it is spread over more than one router only if it needs more
// than one.
//
// A Table has no I/O, goroutine or clock, and isn't safe for concurrent use.
package affinity

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// MaxSpills is the number of saturated routers in a row after which a request
// goes back to its first choice and waits there: when all are busy, waiting
// where the prefix is warm costs the least.
const MaxSpills = 2

// priorCount stands for requests that weren't counted. It makes a key that has
// just become wide spread its requests evenly until it is known which of its
// longer keys they have.
const priorCount = 4

// entry is what is remembered of one key.
type entry struct {
	// width is that of a first key as of asOf, count the decayed number of
	// requests as of asOf.
	width     float64
	count     float64
	updatedAt time.Duration
	// widenedAt is when the width last doubled.
	widenedAt time.Duration
}

// Table remembers the keys that need more than one router.
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

// Len returns the number of keys that are remembered.
func (t *Table) Len() int { return t.entries.Len() }

// Choose returns how a prompt of the given blocks is to be routed and counts
// it. A prompt without a whole block goes by the key whole.
func (t *Table) Choose(now time.Duration, blocks []fleet.BlockHash, whole uint64) Choice {
	choice := Choice{keys: t.keys(blocks, whole), width: 1, tieBreaker: t.options.Random.Uint64()}
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
	t.entries.Get(choice.Key()) // the first key is more recent than the longer ones
	return choice
}

// keys returns a prompt's keys, the shortest beginning first.
func (t *Table) keys(blocks []fleet.BlockHash, whole uint64) []uint64 {
	if len(blocks) == 0 {
		return []uint64{whole}
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

// spreads counts the request under its longer keys and returns over how many
// routers each is spread.
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

// RecordSpill notes that a router handed a request back as saturated and that
// another one placed it at once. A choice made under an earlier width says
// nothing about the present one. Widths are bounded by the number of routers
// that serve.
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

// decay brings an entry up to date.
func (t *Table) decay(now time.Duration, e *entry) {
	if now <= e.updatedAt {
		return
	}
	kept := math.Exp2(-float64(now-e.updatedAt) / float64(t.options.HalfLife))
	e.width = math.Max(e.width*kept, 1)
	e.count *= kept
	e.updatedAt = now
}
