package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/quarantine"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// errQuarantined is the cause of a send that isn't made, or is cancelled before its response
// begins, because its request is quarantined.
var errQuarantined = errors.New("request is quarantined")

// sharedCrashes is the number of worker crashes from which on a request's record goes to every
// gateway and the store. Few harmless requests are in flight at two workers that crash.
const sharedCrashes = 2

// quarantineState holds what a gateway knows about requests suspected of crashing workers. It is
// safe for concurrent use.
type quarantineState struct {
	// active is set by the first record. Until then requests skip the mutex.
	active atomic.Bool

	mutex   sync.Mutex
	tracker *quarantine.Tracker
	// changedAt holds when a record last changed here. Reports include it for reportChangesFor.
	changedAt map[quarantine.Fingerprint]time.Duration
	// pendingBroadcast holds the records to send to other gateways at once.
	pendingBroadcast map[quarantine.Fingerprint]bool
	// local holds the requests that were in flight at a crashed worker, or were answered after a
	// crash, at this gateway. This gateway keeps their stored rows up to date.
	local map[quarantine.Fingerprint]bool
	// stored holds the known state of the store's rows.
	stored map[quarantine.Fingerprint]storedQuarantine

	// announceSignal holds one element while there is something to broadcast, storeSignal while the
	// store may be out of date.
	announceSignal chan struct{}
	storeSignal    chan struct{}
}

func newQuarantineState() *quarantineState {
	return &quarantineState{
		tracker:          quarantine.NewTracker(quarantine.Options{}),
		changedAt:        make(map[quarantine.Fingerprint]time.Duration),
		pendingBroadcast: make(map[quarantine.Fingerprint]bool),
		local:            make(map[quarantine.Fingerprint]bool),
		stored:           make(map[quarantine.Fingerprint]storedQuarantine),
		announceSignal:   make(chan struct{}, 1),
		storeSignal:      make(chan struct{}, 1),
	}
}

// check returns whether a request is quarantined and when its next trial is due.
func (q *quarantineState) check(now time.Duration, fingerprint quarantine.Fingerprint) quarantine.Verdict {
	if !q.active.Load() {
		return quarantine.Verdict{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.Check(now, fingerprint)
}

// quarantineChange is the effect of an update on one request.
type quarantineChange struct {
	verdict quarantine.Verdict
	// began is set if the request is quarantined from now on, ended if it is released.
	began, ended bool
}

// update applies a change to the tracker and returns its effect. The record is broadcast if change
// returns true or the request becomes quarantined.
func (q *quarantineState) update(now time.Duration, fingerprint quarantine.Fingerprint, change func(*quarantine.Tracker) (broadcast bool)) quarantineChange {
	q.active.Store(true)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before := q.tracker.Check(now, fingerprint)
	broadcast := change(q.tracker)
	after := q.tracker.Check(now, fingerprint)
	outcome := quarantineChange{verdict: after, began: !before.Quarantined && after.Quarantined, ended: before.Quarantined && !after.Quarantined}
	// A single crash that another gateway saw is reported by that gateway alone. Otherwise a
	// failure of many runs would be reported by each gateway to all others.
	relevant := q.local[fingerprint] || after.Crashes >= sharedCrashes
	if broadcast || (before.Crashes != after.Crashes && relevant) {
		q.changedAt[fingerprint] = now
	}
	// Broadcast the start of a quarantine: gateways that missed an earlier update would otherwise
	// let the request pass.
	if broadcast || outcome.began {
		q.pendingBroadcast[fingerprint] = true
		signal(q.announceSignal)
	}
	if after.Crashes >= sharedCrashes || outcome.ended {
		signal(q.storeSignal)
	}
	return outcome
}

// recordCrash records that a worker crashed while this gateway had a request in flight there.
func (q *quarantineState) recordCrash(now time.Duration, fingerprint quarantine.Fingerprint, worker fleet.EngineID) quarantineChange {
	return q.update(now, fingerprint, func(tracker *quarantine.Tracker) bool {
		q.local[fingerprint] = true
		return tracker.ObserveCrash(now, fingerprint, worker)
	})
}

// recordResponse records that this gateway received a complete response to a request.
func (q *quarantineState) recordResponse(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	if !q.active.Load() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.tracker.ObserveAnswer(now, fingerprint)
		return quarantineChange{}
	}
	return q.update(now, fingerprint, func(tracker *quarantine.Tracker) bool {
		suspected := tracker.ObserveAnswer(now, fingerprint)
		if suspected {
			q.local[fingerprint] = true
		}
		return suspected
	})
}

// merge merges a record of another gateway or the store. If this gateway knows of a response or a
// trial that the record does not contain, it broadcasts its own record.
func (q *quarantineState) merge(now time.Duration, record *quarantine.Record) quarantineChange {
	return q.update(now, record.Fingerprint, func(tracker *quarantine.Tracker) bool {
		tracker.Merge(record)
		return tracker.IsAheadOf(record)
	})
}

// release ends the quarantine of a request.
func (q *quarantineState) release(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	return q.update(now, fingerprint, func(tracker *quarantine.Tracker) bool { return tracker.Release(now, fingerprint) })
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

// checkQuarantine returns a refusal if a request is quarantined. A request whose trial is due
// passes if this gateway acquires the trial.
func (g *Gateway) checkQuarantine(current *callerRequest) *refusal {
	verdict := g.quarantines.check(g.now(), current.fingerprint)
	if !verdict.Quarantined {
		return nil
	}
	if verdict.TrialDue && g.acquireTrial(current, verdict) {
		current.quarantineTrial = true
		return nil
	}
	g.recordQuarantinedRequest(current, verdict)
	return &refusal{code: resultcode.Quarantined, reason: reasonQuarantined, retryAfter: max(verdict.RetryAfter, longRetryAfter)}
}

// reasonQuarantined is the refusal reason of a quarantined request.
const reasonQuarantined = "request is quarantined"

// quarantineVerdict returns the verdict on a request and whether it is quarantined, and logs it if
// so. The trial of a quarantined request passes.
func (g *Gateway) quarantineVerdict(current *callerRequest) (quarantine.Verdict, bool) {
	if current.quarantineTrial {
		return quarantine.Verdict{}, false
	}
	verdict := g.quarantines.check(g.now(), current.fingerprint)
	if verdict.Quarantined {
		g.recordQuarantinedRequest(current, verdict)
	}
	return verdict, verdict.Quarantined
}

// recordQuarantinedRequest logs and counts a request that was refused or cancelled by quarantine.
func (g *Gateway) recordQuarantinedRequest(current *callerRequest, verdict quarantine.Verdict) {
	g.metrics.quarantineRefusals.Inc()
	g.events.line("request_held").Str("request_id", current.metadata.RequestID).Str("fingerprint", current.fingerprint.String()).
		Str("route", current.route.Name).Int("ends", verdict.Crashes).Dur("first_end_age", verdict.FirstAge).
		Dur("last_end_age", verdict.LastAge).Int("trials", verdict.Trials).Dur("retry_after", verdict.RetryAfter).Msg("request_held")
}

// recordWorkerCrash records the requests whose runs ended with their worker, unless the worker was
// draining.
func (g *Gateway) recordWorkerCrash(worker fleet.EngineID, evidence quarantine.Evidence, fingerprints []quarantine.Fingerprint) {
	if g.workers.IsDraining(worker) {
		return
	}
	g.metrics.runsEndedWithWorker.Add(float64(len(fingerprints)))
	g.events.line("worker_ended").Str("worker", string(worker)).Str("proof", evidence.String()).
		Int("runs", len(fingerprints)).Str("fingerprints", shortFingerprints(fingerprints)).Msg("worker_ended")
	for _, fingerprint := range fingerprints {
		g.handleQuarantineChange(fingerprint, "worker_ended", g.quarantines.recordCrash(g.now(), fingerprint, worker))
	}
}

// recordCompleteResponse records a complete response to a request.
func (g *Gateway) recordCompleteResponse(current *callerRequest) {
	g.handleQuarantineChange(current.fingerprint, "answered", g.quarantines.recordResponse(g.now(), current.fingerprint))
}

// handleQuarantineChange logs the start or end of a quarantine and its source. At the start it
// cancels sends of the request whose response hasn't begun.
func (g *Gateway) handleQuarantineChange(fingerprint quarantine.Fingerprint, source string, change quarantineChange) {
	switch {
	case change.began:
		cancelled := g.pending.cancelQuarantined(fingerprint)
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Str("source", source).Int("ends", change.verdict.Crashes).
			Dur("first_end_age", change.verdict.FirstAge).Dur("last_end_age", change.verdict.LastAge).
			Int("trials", change.verdict.Trials).Int("broken_off", cancelled).Msg("quarantine_began")
	case change.ended:
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Str("source", source).Msg("quarantine_ended")
	}
}

// sweepQuarantines drops expired records.
func (g *Gateway) sweepQuarantines() {
	released, quarantined := g.quarantines.sweep(g.now())
	g.metrics.quarantined.Set(float64(quarantined))
	for _, fingerprint := range released {
		g.handleQuarantineChange(fingerprint, "forgotten", quarantineChange{ended: true})
	}
}
