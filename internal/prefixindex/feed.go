package prefixindex

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Defaults of FeedOptions.
const (
	DefaultReorderWindow  = 32
	DefaultHoleTimeout    = 100 * time.Millisecond
	DefaultReplayLimit    = 4096
	DefaultResyncInterval = time.Second
)

// FeedOptions sets the limits of a Feed; zero fields take the defaults.
type FeedOptions struct {
	// ReorderWindow is how many sequence numbers an event may be early before
	// the missing ones count as lost.
	ReorderWindow uint64
	// HoleTimeout is how long a missing event is waited for.
	HoleTimeout time.Duration
	// ReplayLimit bounds the events kept for replay after a snapshot.
	ReplayLimit int
	// ResyncInterval is the least time between two requests for a snapshot, so
	// that a stream that always loses events costs a bounded number of them.
	ResyncInterval time.Duration
}

func (o FeedOptions) withDefaults() FeedOptions {
	if o.ReorderWindow == 0 {
		o.ReorderWindow = DefaultReorderWindow
	}
	if o.HoleTimeout == 0 {
		o.HoleTimeout = DefaultHoleTimeout
	}
	if o.ReplayLimit == 0 {
		o.ReplayLimit = DefaultReplayLimit
	}
	if o.ResyncInterval == 0 {
		o.ResyncInterval = DefaultResyncInterval
	}
	return o
}

// FeedCounts counts what a feed has met.
type FeedCounts struct {
	Applied    uint64
	Duplicates uint64
	// StaleRuns counts answers of another incarnation, which are dropped whole.
	StaleRuns uint64
	// Gaps counts the times that events were found lost.
	Gaps      uint64
	Snapshots uint64
	// StaleSnapshots counts snapshots older than what is already applied.
	StaleSnapshots uint64
}

// Feed brings the cache events of one engine run into an index, in order and
// once each. Events that come a little early are held back.
//
// After a loss the run is distrusted until a snapshot: events are still applied
// as they come and are kept for replay, since the snapshot is consistent at one
// sequence number only. The blocks of a distrusted run count in full. A lost
// removal makes the index promise a prefix that is gone, which costs one
// recomputation at an engine that would compute the prefix anyway; a discount
// would move hot prefixes away from engines that do hold them each time that an
// event is lost, and so recompute much more.
type Feed struct {
	index   *Index
	run     fleet.EngineRun
	options FeedOptions

	// applied is the last sequence number up to which nothing is missing.
	applied uint64
	// ahead holds later events by rising sequence number.
	ahead     []engine.CacheEvent
	holeSince time.Duration

	distrusted bool
	// askedAt is when a snapshot was last asked for, if ever.
	askedAt time.Duration
	asked   bool
	// load is the snapshot that is being stored, if any.
	load   *snapshotLoad
	counts FeedCounts
}

// NewFeed returns the feed of a run and adds the run to the index. The feed is
// distrusted until its first snapshot: a router that has just started doesn't
// know what an engine cached before.
func NewFeed(index *Index, run fleet.EngineRun, options FeedOptions) *Feed {
	index.AddRun(run)
	return &Feed{
		index:      index,
		run:        run,
		options:    options.withDefaults(),
		distrusted: true,
	}
}

// Run returns the engine run that the feed follows.
func (f *Feed) Run() fleet.EngineRun { return f.run }

// Distrusted tells whether there was no snapshot yet or events have been lost
// since the last one.
func (f *Feed) Distrusted() bool { return f.distrusted }

// Counts returns what the feed has met so far.
func (f *Feed) Counts() FeedCounts { return f.counts }

// After returns the highest sequence number seen, from which the engine is to
// be polled.
func (f *Feed) After() uint64 {
	if len(f.ahead) == 0 {
		return f.applied
	}
	return max(f.applied, f.ahead[len(f.ahead)-1].Sequence)
}

// Apply takes the answer to a poll at time now. It returns false when the
// answer is of another incarnation: a higher one means that this run is dead
// and the caller must remove it and start a new feed.
func (f *Feed) Apply(now time.Duration, events engine.CacheEvents) bool {
	if events.Incarnation != f.run.Incarnation {
		f.counts.StaleRuns++
		return false
	}
	for _, event := range events.Events {
		f.accept(now, event)
	}
	f.Tick(now)
	return true
}

// Tick gives up missing events that are overdue at time now.
func (f *Feed) Tick(now time.Duration) {
	if f.distrusted || len(f.ahead) == 0 {
		return
	}
	if now-f.holeSince >= f.options.HoleTimeout {
		f.distrust()
	}
}

// WantSnapshot tells whether a snapshot is to be fetched now, and notes that it
// is. It stays false for ResyncInterval afterwards.
func (f *Feed) WantSnapshot(now time.Duration) bool {
	if !f.distrusted || f.load != nil {
		return false
	}
	if f.asked && now-f.askedAt < f.options.ResyncInterval {
		return false
	}
	f.asked = true
	f.askedAt = now
	return true
}

// accept sorts one event into place.
func (f *Feed) accept(now time.Duration, event engine.CacheEvent) {
	position, present := slices.BinarySearchFunc(f.ahead, event.Sequence, compareSequence)
	if event.Sequence <= f.applied || present {
		f.counts.Duplicates++
		return
	}
	if f.distrusted {
		f.applyNow(event)
		f.keep(position, event)
		return
	}
	if event.Sequence == f.applied+1 {
		f.applyNow(event)
		f.applied++
		f.applyReady()
		f.holeSince = now
		return
	}
	if len(f.ahead) == 0 {
		f.holeSince = now
	}
	f.keep(position, event)
	if event.Sequence-f.applied > f.options.ReorderWindow {
		f.distrust()
	}
}

// keep holds an event for later, within ReplayLimit. Of too many the oldest
// go, which a snapshot must then cover.
func (f *Feed) keep(position int, event engine.CacheEvent) {
	f.ahead = slices.Insert(f.ahead, position, event)
	if excess := len(f.ahead) - f.options.ReplayLimit; excess > 0 {
		f.ahead = slices.Delete(f.ahead, 0, excess)
	}
}

// distrust gives up the missing events and applies those that waited for them.
func (f *Feed) distrust() {
	f.distrusted = true
	f.counts.Gaps++
	for _, event := range f.ahead {
		f.applyNow(event)
	}
}

// applyReady applies held events as far as none is missing.
func (f *Feed) applyReady() {
	ready := 0
	for ready < len(f.ahead) && f.ahead[ready].Sequence == f.applied+1 {
		f.applyNow(f.ahead[ready])
		f.applied++
		ready++
	}
	f.ahead = slices.Delete(f.ahead, 0, ready)
}

func (f *Feed) applyNow(event engine.CacheEvent) {
	f.counts.Applied++
	switch event.Kind {
	case engine.BlockStored:
		f.index.Store(f.run, event.Hashes)
	case engine.BlockRemoved:
		f.index.Remove(f.run, event.Hashes)
	case engine.CacheCleared:
		f.index.Clear(f.run)
	}
}

func compareSequence(event engine.CacheEvent, sequence uint64) int {
	switch {
	case event.Sequence < sequence:
		return -1
	case event.Sequence > sequence:
		return 1
	default:
		return 0
	}
}
