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

// FeedOptions sets the limits of a Feed. Zero fields take their defaults.
type FeedOptions struct {
	// ReorderWindow is how many sequence numbers an event may be ahead before the missing ones
	// count as lost.
	ReorderWindow uint64
	// GapTimeout is how long to wait for a missing event.
	GapTimeout time.Duration
	// ReplayLimit bounds the events kept for replay after a snapshot.
	ReplayLimit int
	// ResyncInterval is the minimum time between two requests for a snapshot. It bounds the cost of
	// a stream that keeps losing events.
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

// FeedCounts counts the events and snapshots of a feed.
type FeedCounts struct {
	Applied    uint64
	Duplicates uint64
	// StaleRuns counts responses of another incarnation, which are dropped.
	StaleRuns uint64
	// Gaps counts the times that events were found lost.
	Gaps      uint64
	Snapshots uint64
	// StaleSnapshots counts snapshots older than the applied events.
	StaleSnapshots uint64
}

// Feed applies the cache events of an engine run to an index, in order and once each. It buffers
// events that arrive slightly early.
//
// After a loss the feed is out of sync until the next snapshot. Events are still applied as they
// arrive, and are kept for replay because a snapshot is consistent at a single sequence number
// only. The blocks of a run that is out of sync count in full: a stale block costs at most one
// recomputation, while a discount would move popular prefixes away from engines that hold them.
type Feed struct {
	index   *Index
	run     fleet.EngineRun
	options FeedOptions

	// applied is the last sequence number before the first missing event.
	applied uint64
	// buffered holds later events by rising sequence number.
	buffered []engine.CacheEvent
	gapSince time.Duration

	outOfSync bool
	// requestedAt is when a snapshot was last requested; valid if requested is set.
	requestedAt time.Duration
	requested   bool
	// loading is the snapshot being stored, if any.
	loading *snapshotLoad
	counts  FeedCounts
}

// NewFeed returns the feed of a run and adds the run to the index. The feed is out of sync until
// its first snapshot, because the earlier contents of the engine's cache aren't known.
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

// IsOutOfSync reports whether the feed needs a snapshot: none has been applied yet, events have been
// lost since the last one, or one is being stored.
func (f *Feed) IsOutOfSync() bool { return f.outOfSync }

// Counts returns the feed's counts.
func (f *Feed) Counts() FeedCounts { return f.counts }

// LastReceived returns the highest sequence number received, from which to poll the engine.
func (f *Feed) LastReceived() uint64 {
	if len(f.buffered) == 0 {
		return f.applied
	}
	return max(f.applied, f.buffered[len(f.buffered)-1].Sequence)
}

// Apply applies the response to a poll at time now. It returns false if the response is of another
// incarnation. If that incarnation is higher, the run has ended, and the caller must remove it and
// start a new feed.
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

// Tick marks the feed out of sync if missing events are overdue at time now.
func (f *Feed) Tick(now time.Duration) {
	if f.outOfSync || len(f.buffered) == 0 {
		return
	}
	if now-f.gapSince >= f.options.GapTimeout {
		f.markOutOfSync()
	}
}

// RequestSnapshot reports whether a snapshot is to be fetched now. If so, it records the request
// and returns false for the next ResyncInterval.
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

// accept applies, buffers or drops an event according to its sequence number.
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

// buffer inserts an event into the buffer. Over ReplayLimit it drops the oldest events, which a
// later snapshot must then cover.
func (f *Feed) buffer(position int, event engine.CacheEvent) {
	f.buffered = slices.Insert(f.buffered, position, event)
	if excess := len(f.buffered) - f.options.ReplayLimit; excess > 0 {
		f.buffered = slices.Delete(f.buffered, 0, excess)
	}
}

// markOutOfSync treats the missing events as lost and applies the buffered ones.
func (f *Feed) markOutOfSync() {
	f.outOfSync = true
	f.counts.Gaps++
	for _, event := range f.buffered {
		f.applyEvent(event)
	}
}

// applyBuffered applies buffered events up to the next missing one.
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
