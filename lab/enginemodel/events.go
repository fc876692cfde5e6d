package enginemodel

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// maxLoggedEvents bounds the events that are kept for late readers.
const maxLoggedEvents = 4096

type loggedEvent struct {
	visibleAt time.Duration
	event     engine.CacheEvent
}

// eventLog numbers the changes of the cache, drops some at random and makes the rest visible after
// a delay.
type eventLog struct {
	delay    time.Duration
	loss     float64
	random   *rand.Rand
	sequence uint64
	taken    uint64
	kind     engine.CacheEventKind
	hashes   []fleet.BlockHash
	entries  []loggedEvent
}

// record adds a change to the open event. An event holds changes of one kind.
func (l *eventLog) record(kind engine.CacheEventKind, hash fleet.BlockHash) {
	if kind != l.kind && len(l.hashes) > 0 {
		l.closeEvent()
	}
	l.kind = kind
	l.hashes = append(l.hashes, hash)
}

// closeEvent assigns a sequence number to the open event. flush sets its time.
func (l *eventLog) closeEvent() {
	l.sequence++
	event := engine.CacheEvent{Sequence: l.sequence, Kind: l.kind, Hashes: slices.Clone(l.hashes)}
	l.hashes = l.hashes[:0]
	if l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	l.entries = append(l.entries, loggedEvent{visibleAt: unstamped, event: event})
}

// unstamped marks an event whose time flush has not set yet.
const unstamped = time.Duration(-1)

// flush closes the open event and sets the visible time of all events that happened at now.
func (l *eventLog) flush(now time.Duration) {
	if len(l.hashes) > 0 {
		l.closeEvent()
	}
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].visibleAt == unstamped; i-- {
		l.entries[i].visibleAt = now + l.delay
	}
	if len(l.entries) > 2*maxLoggedEvents {
		l.entries = slices.Clone(l.entries[len(l.entries)-maxLoggedEvents:])
	}
}

// after returns the visible events with a sequence number greater than the given one.
func (l *eventLog) after(now time.Duration, sequence uint64) []engine.CacheEvent {
	start := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].event.Sequence > sequence })
	var events []engine.CacheEvent
	for _, entry := range l.entries[start:] {
		if entry.visibleAt > now {
			break
		}
		events = append(events, entry.event)
	}
	return events
}

// take returns each visible event once.
func (l *eventLog) take(now time.Duration) []engine.CacheEvent {
	events := l.after(now, l.taken)
	if len(events) > 0 {
		l.taken = events[len(events)-1].Sequence
	}
	return events
}

// next returns when the first event after a sequence number becomes visible, or false if there is
// none.
func (l *eventLog) next(sequence uint64) (time.Duration, bool) {
	start := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].event.Sequence > sequence })
	if start == len(l.entries) {
		return 0, false
	}
	return l.entries[start].visibleAt, true
}

// TakeCacheEvents returns the events that became visible since the last call, oldest first.
func (e *Engine) TakeCacheEvents(now time.Duration) []engine.CacheEvent {
	e.Advance(now)
	return e.events.take(now)
}

// CacheEventsAfter returns the visible events after a sequence number.
func (e *Engine) CacheEventsAfter(now time.Duration, sequence uint64) []engine.CacheEvent {
	e.Advance(now)
	return e.events.after(now, sequence)
}

// NextCacheEvent returns when the first event not yet returned by TakeCacheEvents becomes visible,
// or false if there is none.
func (e *Engine) NextCacheEvent() (time.Duration, bool) {
	return e.events.next(e.events.taken)
}

// NextCacheEventAfter returns when the first event after a sequence number becomes visible, or
// false if there is none.
func (e *Engine) NextCacheEventAfter(sequence uint64) (time.Duration, bool) {
	return e.events.next(sequence)
}

// EventSequence returns the sequence number of the last event, whether visible, delayed or lost.
func (e *Engine) EventSequence() uint64 { return e.events.sequence }

// CacheSnapshot returns all cached blocks in ascending order of their hashes. It includes the
// effect of all events up to its sequence number.
func (e *Engine) CacheSnapshot(now time.Duration) engine.CacheSnapshot {
	e.Advance(now)
	hashes := make([]fleet.BlockHash, 0, len(e.blocks.index))
	for hash := range e.blocks.index {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return engine.CacheSnapshot{Incarnation: e.incarnation, Sequence: e.events.sequence, Hashes: hashes}
}
