package gateway

import (
	"slices"
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
	// that are released: evidence against one may acquit another.
	began []quarantine.Verdict
	ended []quarantine.Fingerprint
}

// quarantined returns the quarantined parts, and the given request or part if it is quarantined. The mutex
// must be held.
func (q *quarantineState) quarantined(now time.Duration, fingerprint quarantine.Fingerprint) []quarantine.Fingerprint {
	var held []quarantine.Fingerprint
	for _, group := range q.tracker.QuarantinedParts() {
		held = append(held, group...)
	}
	if !fingerprint.IsPart() && q.tracker.Check(now, fingerprint).Quarantined {
		held = append(held, fingerprint)
	}
	return held
}

// update applies a change to the record of a request or a part and returns its effect. The record is
// broadcast if change returns true, and any that becomes quarantined.
func (q *quarantineState) update(now time.Duration, fingerprint quarantine.Fingerprint, change func(*quarantine.Tracker) (broadcast bool)) quarantineChange {
	q.active.Store(true)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before, heldBefore := q.tracker.Check(now, fingerprint), q.quarantined(now, fingerprint)
	broadcast := change(q.tracker)
	after := q.tracker.Check(now, fingerprint)
	outcome := q.compare(now, heldBefore, q.quarantined(now, fingerprint))
	// A single crash that another gateway saw is reported by that gateway alone. Otherwise a
	// failure of many runs would be reported by each gateway to all others.
	relevant := q.local[fingerprint] || after.Crashes >= sharedCrashes
	if broadcast || (before.Crashes != after.Crashes && relevant) {
		q.changedAt[fingerprint] = now
	}
	if broadcast {
		q.pendingBroadcast[fingerprint] = true
	}
	// Broadcast the start of a quarantine: gateways that missed an earlier update would otherwise
	// let the request pass.
	for _, began := range outcome.began {
		q.pendingBroadcast[began.Fingerprint] = true
	}
	if broadcast || len(outcome.began) > 0 {
		signal(q.announceSignal)
	}
	if after.Crashes >= sharedCrashes || len(outcome.ended) > 0 {
		signal(q.storeSignal)
	}
	return outcome
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

// recordCrash records that a worker crashed while this gateway had a request, or one with a part, in flight
// there. A crash that answers outweigh is of no use to other gateways.
func (q *quarantineState) recordCrash(now time.Duration, fingerprint quarantine.Fingerprint, worker fleet.EngineID) quarantineChange {
	return q.update(now, fingerprint, func(tracker *quarantine.Tracker) bool {
		q.local[fingerprint] = true
		changed := tracker.ObserveCrash(now, fingerprint, worker)
		return changed && (!fingerprint.IsPart() || tracker.Check(now, fingerprint).Crashes > 0)
	})
}

// recordResponse records that this gateway received a complete response to a request.
func (q *quarantineState) recordResponse(now time.Duration, subject quarantine.Subject) []quarantineChange {
	if !q.active.Load() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.tracker.ObserveAnswer(now, subject.Request)
		for _, part := range subject.Parts {
			q.tracker.ObservePartAnswer(now, part)
		}
		return nil
	}
	changes := []quarantineChange{q.recordAnswer(now, subject.Request, (*quarantine.Tracker).ObserveAnswer)}
	for _, part := range subject.Parts {
		changes = append(changes, q.recordAnswer(now, part, (*quarantine.Tracker).ObservePartAnswer))
	}
	return changes
}

// recordAnswer records a complete response to a request, or to one with a part.
func (q *quarantineState) recordAnswer(
	now time.Duration, fingerprint quarantine.Fingerprint, observe func(*quarantine.Tracker, time.Duration, quarantine.Fingerprint) bool,
) quarantineChange {
	return q.update(now, fingerprint, func(tracker *quarantine.Tracker) bool {
		suspected := observe(tracker, now, fingerprint)
		if suspected {
			q.local[fingerprint] = true
		}
		return suspected
	})
}

// merge merges a record of another gateway or the store. ahead is set if this gateway knows of a response
// or a trial that the record does not contain. It broadcasts its own record of a request then; that of a
// part goes to the other gateway alone, since many gateways have answers to requests with it.
func (q *quarantineState) merge(now time.Duration, record *quarantine.Record) (change quarantineChange, ahead bool) {
	change = q.update(now, record.Fingerprint, func(tracker *quarantine.Tracker) bool {
		tracker.Merge(now, record)
		ahead = tracker.IsAheadOf(record)
		return ahead && !record.Fingerprint.IsPart()
	})
	return change, ahead
}

// mergeReply merges a record that another gateway returned for one of this gateway's. Answers that clear
// a part, or that speak for one which several crashes count against, are broadcast.
func (q *quarantineState) mergeReply(now time.Duration, record *quarantine.Record) quarantineChange {
	return q.update(now, record.Fingerprint, func(tracker *quarantine.Tracker) bool {
		earlier, known := tracker.Record(record.Fingerprint)
		changed := tracker.Merge(now, record)
		return known && changed && record.Fingerprint.IsPart() && tracker.MustShareAnswers(&earlier)
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

// refuseQuarantinedParts returns a refusal if the prompt of a request holds a quarantined part whose trial
// isn't due. It comes before the request is charged to anything, and before its body is read.
func (g *Gateway) refuseQuarantinedParts(current *callerRequest) *refusal {
	g.awaitQuarantine(current.request.Context())
	current.parts = partFingerprints(current)
	if len(current.parts) == 0 {
		return nil
	}
	verdict := g.quarantines.check(g.now(), quarantine.Subject{Parts: current.parts})
	if !verdict.Quarantined || verdict.TrialDue {
		return nil
	}
	return g.refuseQuarantined(current, verdict)
}

// checkQuarantine returns a refusal if a request is quarantined. A request whose trial is due
// passes if this gateway acquires the trial.
func (g *Gateway) checkQuarantine(current *callerRequest) *refusal {
	verdict := g.quarantines.check(g.now(), current.subject())
	if !verdict.Quarantined {
		return nil
	}
	if verdict.TrialDue && g.acquireTrial(current, verdict) {
		current.quarantineTrial, current.trialOf = true, verdict.Fingerprint
		return nil
	}
	return g.refuseQuarantined(current, verdict)
}

// refuseQuarantined returns the refusal of a quarantined request, and logs it.
func (g *Gateway) refuseQuarantined(current *callerRequest, verdict quarantine.Verdict) *refusal {
	g.recordQuarantinedRequest(current, verdict)
	return &refusal{code: resultcode.Quarantined, reason: reasonQuarantined, retryAfter: max(verdict.RetryAfter, longRetryAfter)}
}

// Refusal reasons of requests that crash workers, or may.
const (
	reasonQuarantined = "request is quarantined"
	reasonSuspected   = "request may have crashed its worker"
)

// quarantineVerdict returns the verdict on a request and whether it is quarantined, and logs it if
// so. The trial of a quarantined request passes.
func (g *Gateway) quarantineVerdict(current *callerRequest) (quarantine.Verdict, bool) {
	if current.quarantineTrial {
		return quarantine.Verdict{}, false
	}
	verdict := g.quarantines.check(g.now(), current.subject())
	if verdict.Quarantined {
		g.recordQuarantinedRequest(current, verdict)
	}
	return verdict, verdict.Quarantined
}

// recordQuarantinedRequest logs and counts a request that was refused or cancelled by quarantine.
func (g *Gateway) recordQuarantinedRequest(current *callerRequest, verdict quarantine.Verdict) {
	g.metrics.quarantineRefusals.Inc()
	g.events.line("request_held").Str("request_id", current.metadata.RequestID).Str("fingerprint", verdict.Fingerprint.String()).
		Str("route", current.route.Name).Int("ends", verdict.Crashes).Dur("first_end_age", verdict.FirstAge).
		Dur("last_end_age", verdict.LastAge).Int("trials", verdict.Trials).Dur("retry_after", verdict.RetryAfter).Msg("request_held")
}

// recordWorkerCrash records the requests whose runs ended with their worker, unless the worker was
// draining.
func (g *Gateway) recordWorkerCrash(worker fleet.EngineID, evidence quarantine.Evidence, lost []quarantine.Subject) {
	if g.workers.IsDraining(worker) {
		return
	}
	g.metrics.runsEndedWithWorker.Add(float64(len(lost)))
	g.events.line("worker_ended").Str("worker", string(worker)).Str("proof", evidence.String()).
		Int("runs", len(lost)).Str("fingerprints", shortFingerprints(lost)).Msg("worker_ended")
	seen := make(map[quarantine.Fingerprint]bool)
	for index := range lost {
		for _, fingerprint := range append([]quarantine.Fingerprint{lost[index].Request}, lost[index].Parts...) {
			if !seen[fingerprint] {
				seen[fingerprint] = true
				g.handleQuarantineChange("worker_ended", g.quarantines.recordCrash(g.now(), fingerprint, worker))
			}
		}
	}
}

// recordCompleteResponse records a complete response to a request. That to the trial of a part ends the
// part's quarantine, although it is only one answer.
func (g *Gateway) recordCompleteResponse(current *callerRequest) {
	for _, change := range g.quarantines.recordResponse(g.now(), current.subject()) {
		g.handleQuarantineChange("answered", change)
	}
	if current.quarantineTrial && current.trialOf.IsPart() {
		g.handleQuarantineChange("answered", g.quarantines.release(g.now(), current.trialOf))
	}
}

// handleQuarantineChange logs the start or end of quarantines and their source. At the start it cancels
// sends whose response hasn't begun.
func (g *Gateway) handleQuarantineChange(source string, change quarantineChange) {
	if len(change.began) > 0 {
		now := g.now()
		cancelled := g.pending.cancelQuarantined(func(subject *quarantine.Subject) bool {
			return g.quarantines.check(now, *subject).Quarantined
		})
		for _, verdict := range change.began {
			g.logger.Warn().Str("fingerprint", verdict.Fingerprint.String()).Bool("part", verdict.Fingerprint.IsPart()).
				Str("source", source).Int("ends", verdict.Crashes).
				Dur("first_end_age", verdict.FirstAge).Dur("last_end_age", verdict.LastAge).
				Int("trials", verdict.Trials).Int("broken_off", cancelled).Msg("quarantine_began")
		}
	}
	for _, fingerprint := range change.ended {
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Bool("part", fingerprint.IsPart()).Str("source", source).Msg("quarantine_ended")
	}
}

// sweepQuarantines drops expired records.
func (g *Gateway) sweepQuarantines() {
	released, quarantined := g.quarantines.sweep(g.now())
	g.metrics.quarantined.Set(float64(quarantined))
	g.handleQuarantineChange("forgotten", quarantineChange{ended: released})
}
