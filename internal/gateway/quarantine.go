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

// errQuarantined is the cause of a send that isn't made, or is broken off before its answer,
// since the request ends workers.
var errQuarantined = errors.New("request is held")

// sharedCrashes is the number of ended workers from which on a request is told to every node
// and kept in the store: of harmless requests few are under way at two workers that end.
const sharedCrashes = 2

// quarantineState makes what a node knows of requests that end workers safe for concurrent use.
type quarantineState struct {
	// active is set once there was a record: before, requests need no lock.
	active atomic.Bool

	mutex  sync.Mutex
	ledger *quarantine.Ledger
	// changedAt holds when records last changedAt here, for as long as reports tell them.
	changedAt map[quarantine.Fingerprint]time.Duration
	// pendingBroadcast holds the records to be told to others at once.
	pendingBroadcast map[quarantine.Fingerprint]bool
	// local holds the requests that were under way at a worker which ended, or were answered
	// afterwards, at this node: it is to keep their rows in step.
	local map[quarantine.Fingerprint]bool
	// stored holds what is known of the store's rows.
	stored map[quarantine.Fingerprint]storedQuarantine

	// announceSignal has one element while there is something to tell, unstored while there may
	// be something to write.
	announceSignal chan struct{}
	storeSignal    chan struct{}
}

func newQuarantineState() *quarantineState {
	return &quarantineState{
		ledger:           quarantine.NewLedger(quarantine.Options{}),
		changedAt:        make(map[quarantine.Fingerprint]time.Duration),
		pendingBroadcast: make(map[quarantine.Fingerprint]bool),
		local:            make(map[quarantine.Fingerprint]bool),
		stored:           make(map[quarantine.Fingerprint]storedQuarantine),
		announceSignal:   make(chan struct{}, 1),
		storeSignal:      make(chan struct{}, 1),
	}
}

// check tells whether a request may go to a worker.
func (q *quarantineState) check(now time.Duration, fingerprint quarantine.Fingerprint) quarantine.Verdict {
	if !q.active.Load() {
		return quarantine.Verdict{}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.ledger.Check(now, fingerprint)
}

// quarantineChange is what a word on one request has changed.
type quarantineChange struct {
	verdict quarantine.Verdict
	// began is set if the request is held from now on, ended if it isn't any more.
	began, ended bool
}

// update changes the ledger by a word on one request, and has others told of it if tell says
// so. It returns what has changed.
func (q *quarantineState) update(now time.Duration, fingerprint quarantine.Fingerprint, change func(*quarantine.Ledger) (tell bool)) quarantineChange {
	q.active.Store(true)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before := q.ledger.Check(now, fingerprint)
	tell := change(q.ledger)
	after := q.ledger.Check(now, fingerprint)
	outcome := quarantineChange{verdict: after, began: !before.Held && after.Held, ended: before.Held && !after.Held}
	// A single end that another node has seen is that node's to tell: of some thousand runs
	// that end at once each node would tell all to all, a second time and a third.
	concerns := q.local[fingerprint] || after.Ends >= sharedCrashes
	if tell || (before.Ends != after.Ends && concerns) {
		q.changedAt[fingerprint] = now
	}
	// Whoever begins to hold a request tells all: nodes that missed one of the words before
	// would let it through.
	if tell || outcome.began {
		q.pendingBroadcast[fingerprint] = true
		signal(q.announceSignal)
	}
	if after.Ends >= sharedCrashes || outcome.ended {
		signal(q.storeSignal)
	}
	return outcome
}

// recordCrash takes in that a worker recordCrash while a request was under way there, at this node.
func (q *quarantineState) recordCrash(now time.Duration, fingerprint quarantine.Fingerprint, worker fleet.EngineID) quarantineChange {
	return q.update(now, fingerprint, func(ledger *quarantine.Ledger) bool {
		q.local[fingerprint] = true
		return ledger.Ended(now, fingerprint, worker)
	})
}

// recordAnswer takes in that a request was recordAnswer whole, at this node.
func (q *quarantineState) recordAnswer(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	if !q.active.Load() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.ledger.Answered(now, fingerprint)
		return quarantineChange{}
	}
	return q.update(now, fingerprint, func(ledger *quarantine.Ledger) bool {
		spoken := ledger.Answered(now, fingerprint)
		if spoken {
			q.local[fingerprint] = true
		}
		return spoken
	})
}

// merge takes in what another node, or the store, tells of a request. A node that knows of a
// whole answer which speaks for the request tells all.
func (q *quarantineState) merge(now time.Duration, record *quarantine.Record) quarantineChange {
	return q.update(now, record.Fingerprint, func(ledger *quarantine.Ledger) bool {
		ledger.Merge(record)
		return ledger.Beyond(record)
	})
}

// release takes in that a request isn't to be held any more.
func (q *quarantineState) release(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	return q.update(now, fingerprint, func(ledger *quarantine.Ledger) bool { return ledger.Release(now, fingerprint) })
}

// sweep forgets what is too old, and returns what is held no more.
func (q *quarantineState) sweep(now time.Duration) (released []quarantine.Fingerprint, held int) {
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
	released = q.ledger.Sweep(now)
	if len(q.stored) > 0 || len(q.ledger.AtLeast(sharedCrashes)) > 0 {
		signal(q.storeSignal)
	}
	for fingerprint := range q.local {
		if _, known := q.ledger.Record(fingerprint); !known {
			delete(q.local, fingerprint)
		}
	}
	return released, q.ledger.Held()
}

// checkQuarantine refuses a request that ends workers. One whose trial is due, and whose
// trial nobody else makes, goes on.
func (g *Gateway) checkQuarantine(current *carried) *refusal {
	verdict := g.quarantines.check(g.now(), current.fingerprint)
	if !verdict.Held {
		return nil
	}
	if verdict.TrialDue && g.acquireTrial(current, verdict) {
		current.trial = true
		return nil
	}
	g.recordHeldRequest(current, verdict)
	return &refusal{code: resultcode.Quarantined, reason: reasonQuarantined, retryAfter: max(verdict.RetryAfter, retryLater)}
}

// reasonQuarantined is the reason of a request that is refused since it ends workers.
const reasonQuarantined = "workers ended under it"

// checkHeld tells whether a request must not go to a worker now, and logs that.
func (g *Gateway) checkHeld(current *carried) (quarantine.Verdict, bool) {
	if current.trial {
		return quarantine.Verdict{}, false
	}
	verdict := g.quarantines.check(g.now(), current.fingerprint)
	if verdict.Held {
		g.recordHeldRequest(current, verdict)
	}
	return verdict, verdict.Held
}

// recordHeldRequest logs and counts that a request was kept from the workers.
func (g *Gateway) recordHeldRequest(current *carried, verdict quarantine.Verdict) {
	g.metrics.quarantineRefusals.Inc()
	g.events.line("request_held").Str("request_id", current.metadata.RequestID).Str("fingerprint", current.fingerprint.String()).
		Str("route", current.route.Name).Int("ends", verdict.Ends).Dur("first_end_age", verdict.FirstAge).
		Dur("last_end_age", verdict.LastAge).Int("trials", verdict.Trials).Dur("retry_after", verdict.RetryAfter).Msg("request_held")
}

// recordWorkerCrash takes in the requests whose runs ended with their worker, unless it shut down.
func (g *Gateway) recordWorkerCrash(worker fleet.EngineID, proof quarantine.Proof, fingerprints []quarantine.Fingerprint) {
	if g.workers.Draining(worker) {
		return
	}
	g.metrics.lostRuns.Add(float64(len(fingerprints)))
	g.events.line("worker_ended").Str("worker", string(worker)).Str("proof", proof.String()).
		Int("runs", len(fingerprints)).Str("fingerprints", fingerprintText(fingerprints)).Msg("worker_ended")
	for _, fingerprint := range fingerprints {
		g.handleQuarantineChange(fingerprint, "worker_ended", g.quarantines.recordCrash(g.now(), fingerprint, worker))
	}
}

// recordAnswered takes in that a request was answered whole by a worker.
func (g *Gateway) recordAnswered(current *carried) {
	g.handleQuarantineChange(current.fingerprint, "answered", g.quarantines.recordAnswer(g.now(), current.fingerprint))
}

// handleQuarantineChange logs that a request is held from now on, or not any more, and what told so.
// Sends of a held one whose answer hasn't begun are broken off: they would end workers yet.
func (g *Gateway) handleQuarantineChange(fingerprint quarantine.Fingerprint, source string, change quarantineChange) {
	switch {
	case change.began:
		broken := g.pending.hold(fingerprint)
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Str("source", source).Int("ends", change.verdict.Ends).
			Dur("first_end_age", change.verdict.FirstAge).Dur("last_end_age", change.verdict.LastAge).
			Int("trials", change.verdict.Trials).Int("broken_off", broken).Msg("quarantine_began")
	case change.ended:
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Str("source", source).Msg("quarantine_ended")
	}
}

// sweepQuarantines forgets what is too old.
func (g *Gateway) sweepQuarantines() {
	released, held := g.quarantines.sweep(g.now())
	g.metrics.quarantined.Set(float64(held))
	for _, fingerprint := range released {
		g.handleQuarantineChange(fingerprint, "forgotten", quarantineChange{ended: true})
	}
}
