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
	var suspects []quarantine.Fingerprint
	seen := make(map[quarantine.Fingerprint]bool)
	for index := range lost {
		for _, fingerprint := range lost[index].Fingerprints() {
			if !seen[fingerprint] {
				seen[fingerprint] = true
				suspects = append(suspects, fingerprint)
			}
		}
	}
	g.handleQuarantineChange("worker_ended", g.quarantines.recordCrash(g.now(), suspects, worker))
}

// recordCompleteResponse records a complete response to a request. That to the trial of a part ends the
// part's quarantine, although it is only one answer.
func (g *Gateway) recordCompleteResponse(current *callerRequest) {
	g.handleQuarantineChange("answered", g.quarantines.recordResponse(g.now(), current.subject()))
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
