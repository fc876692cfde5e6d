package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
)

// sharedCrashes is the number of worker crashes from which on a record goes to every gateway and the
// store. Few harmless requests are in flight at two workers that crash.
const sharedCrashes = 2

// quarantineState holds what a gateway knows about requests, and parts of prompts, that are suspected of
// crashing workers. It is safe for concurrent use.
type quarantineState struct {
	// active is set by the first record. Until then requests skip the mutex.
	active atomic.Bool

	mutex   sync.Mutex
	tracker *quarantine.Tracker
	// changedAt holds when a record last changed here. Reports include it for reportChangesFor.
	changedAt map[quarantine.Fingerprint]time.Duration
	// pendingBroadcast holds the records to send to other gateways at once.
	pendingBroadcast map[quarantine.Fingerprint]bool
	// local holds the requests and parts that were in flight at a crashed worker, or were answered after
	// a crash, at this gateway. This gateway keeps their stored rows up to date.
	local map[quarantine.Fingerprint]bool
	// stored holds the known state of the store's rows.
	stored map[quarantine.Fingerprint]storedQuarantine

	// announceSignal holds one element while there is something to broadcast, storeSignal while the
	// store may be out of date.
	announceSignal chan struct{}
	storeSignal    chan struct{}
}

func newQuarantineState(node fleet.NodeID) *quarantineState {
	return &quarantineState{
		tracker:          quarantine.NewTracker(quarantine.Options{Node: node}),
		changedAt:        make(map[quarantine.Fingerprint]time.Duration),
		pendingBroadcast: make(map[quarantine.Fingerprint]bool),
		local:            make(map[quarantine.Fingerprint]bool),
		stored:           make(map[quarantine.Fingerprint]storedQuarantine),
		announceSignal:   make(chan struct{}, 1),
		storeSignal:      make(chan struct{}, 1),
	}
}

// check returns whether a request is quarantined and when its next trial is due.
func (q *quarantineState) check(now time.Duration, subject quarantine.Subject) quarantine.Verdict {
	if !q.active.Load() {
		return quarantine.Verdict{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.CheckRequest(now, &subject)
}

// quarantineChange is the effect of an update.
type quarantineChange struct {
	// began holds the verdicts on the requests and parts that are quarantined from now on, ended those
	// that are released: evidence against one may release another.
	began []quarantine.Verdict
	ended []quarantine.Fingerprint
}

// quarantined returns the quarantined parts, and those of some requests that are quarantined. The mutex must
// be held.
func (q *quarantineState) quarantined(now time.Duration, fingerprints []quarantine.Fingerprint) []quarantine.Fingerprint {
	held := slices.Concat(q.tracker.QuarantinedParts()...)
	for _, fingerprint := range fingerprints {
		if !fingerprint.IsPart() && q.tracker.Check(now, fingerprint).Quarantined {
			held = append(held, fingerprint)
		}
	}
	return held
}

// update applies a change to the records of some requests and parts, and returns its effect. It applies all
// before it looks at the effect, since a crash blames several. A record is broadcast if change returns true,
// and any that becomes quarantined.
func (q *quarantineState) update(
	now time.Duration, fingerprints []quarantine.Fingerprint, change func(tracker *quarantine.Tracker, fingerprint quarantine.Fingerprint) (broadcast bool),
) quarantineChange {
	q.active.Store(true)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	heldBefore := q.quarantined(now, fingerprints)
	crashesBefore := make([]int, len(fingerprints))
	for index, fingerprint := range fingerprints {
		crashesBefore[index] = q.tracker.Check(now, fingerprint).Crashes
	}
	broadcast := make([]bool, len(fingerprints))
	for index, fingerprint := range fingerprints {
		broadcast[index] = change(q.tracker, fingerprint)
	}
	for index, fingerprint := range fingerprints {
		q.announceChange(now, fingerprint, crashesBefore[index], broadcast[index])
	}
	outcome := q.compare(now, heldBefore, q.quarantined(now, fingerprints))
	// Broadcast the start of a quarantine: gateways that missed an earlier update would otherwise
	// let the request pass.
	for _, began := range outcome.began {
		q.pendingBroadcast[began.Fingerprint] = true
	}
	if len(q.pendingBroadcast) > 0 {
		signal(q.announceSignal)
	}
	if len(outcome.ended) > 0 {
		signal(q.storeSignal)
	}
	return outcome
}

// announceChange has a changed record broadcast, reported and stored as far as others need it. The mutex must
// be held.
func (q *quarantineState) announceChange(now time.Duration, fingerprint quarantine.Fingerprint, crashesBefore int, broadcast bool) {
	crashes := q.tracker.Check(now, fingerprint).Crashes
	// A single crash that another gateway saw is reported by that gateway alone. Otherwise a
	// failure of many runs would be reported by each gateway to all others.
	relevant := q.local[fingerprint] || crashes >= sharedCrashes
	if broadcast || (crashesBefore != crashes && relevant) {
		q.changedAt[fingerprint] = now
	}
	if broadcast {
		q.pendingBroadcast[fingerprint] = true
	}
	if crashes >= sharedCrashes {
		signal(q.storeSignal)
	}
}

// compare returns what is quarantined or released between two states. The mutex must be held.
func (q *quarantineState) compare(now time.Duration, before, after []quarantine.Fingerprint) quarantineChange {
	var change quarantineChange
	for _, fingerprint := range after {
		if !slices.Contains(before, fingerprint) {
			change.began = append(change.began, q.tracker.Check(now, fingerprint))
		}
	}
	for _, fingerprint := range before {
		if !slices.Contains(after, fingerprint) {
			change.ended = append(change.ended, fingerprint)
		}
	}
	return change
}

// recordCrash records that a worker crashed while this gateway had requests in flight there, with their
// parts. A crash of a part that answers outweigh is of no use to other gateways.
func (q *quarantineState) recordCrash(now time.Duration, fingerprints []quarantine.Fingerprint, worker fleet.EngineID) quarantineChange {
	return q.update(now, fingerprints, func(tracker *quarantine.Tracker, fingerprint quarantine.Fingerprint) bool {
		q.local[fingerprint] = true
		changed := tracker.ObserveCrash(now, fingerprint, worker)
		return changed && (!fingerprint.IsPart() || tracker.IsSuspect(fingerprint))
	})
}

// recordResponse records that this gateway received a complete response to a request.
func (q *quarantineState) recordResponse(now time.Duration, subject quarantine.Subject) quarantineChange {
	if !q.active.Load() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.tracker.ObserveAnswer(now, subject.Request)
		for _, part := range subject.Parts {
			q.tracker.ObservePartAnswer(now, part)
		}
		return quarantineChange{}
	}
	return q.update(now, subject.Fingerprints(), func(tracker *quarantine.Tracker, fingerprint quarantine.Fingerprint) bool {
		observe := tracker.ObserveAnswer
		if fingerprint.IsPart() {
			observe = tracker.ObservePartAnswer
		}
		suspected := observe(now, fingerprint)
		if suspected {
			q.local[fingerprint] = true
		}
		return suspected
	})
}

// merge merges records of another gateway or the store. If this gateway knows of a response or a trial that
// one does not contain, it broadcasts its own record of a request. That of a part is returned instead, for
// the other gateway alone, since many gateways have answers to requests with it.
func (q *quarantineState) merge(now time.Duration, records ...quarantine.Record) (change quarantineChange, replies []quarantine.Record) {
	return q.mergeEach(now, records, func(tracker *quarantine.Tracker, record *quarantine.Record) bool {
		tracker.Merge(now, record)
		if !tracker.IsAheadOf(record) {
			return false
		}
		if own, known := tracker.Record(record.Fingerprint); known && record.Fingerprint.IsPart() {
			replies = append(replies, own)
		}
		return !record.Fingerprint.IsPart()
	}), replies
}

// mergeReplies merges the records that another gateway returned for those of this gateway. Answers that
// clear a part, or that speak for one which several crashes count against, are broadcast.
func (q *quarantineState) mergeReplies(now time.Duration, records []quarantine.Record) quarantineChange {
	return q.mergeEach(now, records, func(tracker *quarantine.Tracker, record *quarantine.Record) bool {
		earlier, known := tracker.Record(record.Fingerprint)
		changed := tracker.Merge(now, record)
		return known && changed && record.Fingerprint.IsPart() && tracker.MustShareAnswers(&earlier)
	})
}

// mergeEach calls merge for each of some records, which must have different fingerprints, in one update.
func (q *quarantineState) mergeEach(now time.Duration, records []quarantine.Record, merge func(tracker *quarantine.Tracker, record *quarantine.Record) (broadcast bool)) quarantineChange {
	byFingerprint := make(map[quarantine.Fingerprint]*quarantine.Record, len(records))
	fingerprints := make([]quarantine.Fingerprint, 0, len(records))
	for index := range records {
		fingerprint := records[index].Fingerprint
		if byFingerprint[fingerprint] == nil {
			fingerprints = append(fingerprints, fingerprint)
		}
		byFingerprint[fingerprint] = &records[index]
	}
	return q.update(now, fingerprints, func(tracker *quarantine.Tracker, fingerprint quarantine.Fingerprint) bool {
		return merge(tracker, byFingerprint[fingerprint])
	})
}

// release ends the quarantine of a request or a part.
func (q *quarantineState) release(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	return q.update(now, []quarantine.Fingerprint{fingerprint}, func(tracker *quarantine.Tracker, _ quarantine.Fingerprint) bool {
		return tracker.Release(now, fingerprint)
	})
}

// sweep drops expired records, and returns the released requests and the number of those still
// quarantined.
func (q *quarantineState) sweep(now time.Duration) (released []quarantine.Fingerprint, quarantined int) {
	if !q.active.Load() {
		return nil, 0
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for fingerprint, at := range q.changedAt {
		if now > at+reportChangesFor {
			delete(q.changedAt, fingerprint)
		}
	}
	released = q.tracker.Sweep(now)
	if len(q.stored) > 0 || len(q.tracker.RecordsWithCrashes(sharedCrashes)) > 0 {
		signal(q.storeSignal)
	}
	for fingerprint := range q.local {
		if _, known := q.tracker.Record(fingerprint); !known {
			delete(q.local, fingerprint)
		}
	}
	return released, q.tracker.QuarantinedCount()
}
