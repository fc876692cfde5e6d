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
	DefaultGapTimeout     = 100 * time.Millisecond
	DefaultReplayLimit    = 4096
	DefaultResyncInterval = time.Second
)

// FeedOptions sets the limits of a Feed; zero fields take the defaults.
type FeedOptions struct {
	// ReorderWindow is how many sequence numbers an event may be early before
	// the missing ones count as lost.
	ReorderWindow uint64
	// GapTimeout is how long a missing event is waited for.
	GapTimeout time.Duration
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
	if o.GapTimeout == 0 {
		o.GapTimeout = DefaultGapTimeout
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
	// buffered holds later events by rising sequence number.
	buffered []engine.CacheEvent
	gapSince time.Duration

	outOfSync bool
	// requestedAt is when a snapshot was last asked for, if ever.
	requestedAt time.Duration
	requested   bool
	// loading is the snapshot that is being stored, if any.
	loading *snapshotLoad
	counts  FeedCounts
}

// NewFeed returns the feed of a run and adds the run to the index. The feed is
// distrusted until its first snapshot: a router that has just started doesn't
// know what an engine cached before.
func NewFeed(index *Index, run fleet.EngineRun, options FeedOptions) *Feed {
	index.AddRun(run)
	return &Feed{
		index:     index,
		run:       run,
		options:   options.withDefaults(),
		outOfSync: true,
	}
}

// Run returns the engine run that the feed follows.
func (f *Feed) Run() fleet.EngineRun { return f.run }

// OutOfSync tells whether there was no snapshot yet or events have been lost
// since the last one.
func (f *Feed) OutOfSync() bool { return f.outOfSync }

// Counts returns what the feed has met so far.
func (f *Feed) Counts() FeedCounts { return f.counts }

// After returns the highest sequence number seen, from which the engine is to
// be polled.
func (f *Feed) After() uint64 {
	if len(f.buffered) == 0 {
		return f.applied
	}
	return max(f.applied, f.buffered[len(f.buffered)-1].Sequence)
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
	if f.outOfSync || len(f.buffered) == 0 {
		return
	}
	if now-f.gapSince >= f.options.GapTimeout {
		f.markOutOfSync()
	}
}

// RequestSnapshot tells whether a snapshot is to be fetched now, and notes that it
// is. It stays false for ResyncInterval afterwards.
func (f *Feed) RequestSnapshot(now time.Duration) bool {
	if !f.outOfSync || f.loading != nil {
		return false
	}
	if f.requested && now-f.requestedAt < f.options.ResyncInterval {
		return false
	}
	f.requested = true
	f.requestedAt = now
	return true
}

// accept sorts one event into place.
func (f *Feed) accept(now time.Duration, event engine.CacheEvent) {
	position, present := slices.BinarySearchFunc(f.buffered, event.Sequence, compareSequence)
	if event.Sequence <= f.applied || present {
		f.counts.Duplicates++
		return
	}
	if f.outOfSync {
		f.applyEvent(event)
		f.buffer(position, event)
		return
	}
	if event.Sequence == f.applied+1 {
		f.applyEvent(event)
		f.applied++
		f.applyBuffered()
		f.gapSince = now
		return
	}
	if len(f.buffered) == 0 {
		f.gapSince = now
	}
	f.buffer(position, event)
	if event.Sequence-f.applied > f.options.ReorderWindow {
		f.markOutOfSync()
	}
}

// buffer holds an event for later, within ReplayLimit. Of too many the oldest
// go, which a snapshot must then cover.
func (f *Feed) buffer(position int, event engine.CacheEvent) {
	f.buffered = slices.Insert(f.buffered, position, event)
	if excess := len(f.buffered) - f.options.ReplayLimit; excess > 0 {
		f.buffered = slices.Delete(f.buffered, 0, excess)
	}
}

// markOutOfSync gives up the missing events and applies those that waited for them.
func (f *Feed) markOutOfSync() {
	f.outOfSync = true
	f.counts.Gaps++
	for _, event := range f.buffered {
		f.applyEvent(event)
	}
}

// applyBuffered applies held events as far as none is missing.
func (f *Feed) applyBuffered() {
	ready := 0
	for ready < len(f.buffered) && f.buffered[ready].Sequence == f.applied+1 {
		f.applyEvent(f.buffered[ready])
		f.applied++
		ready++
	}
	f.buffered = slices.Delete(f.buffered, 0, ready)
}

func (f *Feed) applyEvent(event engine.CacheEvent) {
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
