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

// sharedEnds is the number of ended workers from which on a request is told to every node
// and kept in the store: of harmless requests few are under way at two workers that end.
const sharedEnds = 2

// quarantines makes what a node knows of requests that end workers safe for concurrent use.
type quarantines struct {
	// any is set once there was a record: before, requests need no lock.
	any atomic.Bool

	mutex  sync.Mutex
	ledger *quarantine.Tracker
	// changed holds when records last changed here, for as long as reports tell them.
	changed map[quarantine.Fingerprint]time.Duration
	// untold holds the records to be told to others at once.
	untold map[quarantine.Fingerprint]bool
	// own holds the requests that were under way at a worker which ended, or were answered
	// afterwards, at this node: it is to keep their rows in step.
	own map[quarantine.Fingerprint]bool
	// stored holds what is known of the store's rows.
	stored map[quarantine.Fingerprint]storedQuarantine

	// announced has one element while there is something to tell, unstored while there may
	// be something to write.
	announced chan struct{}
	unstored  chan struct{}
}

func newQuarantines() *quarantines {
	return &quarantines{
		ledger:    quarantine.NewTracker(quarantine.Options{}),
		changed:   make(map[quarantine.Fingerprint]time.Duration),
		untold:    make(map[quarantine.Fingerprint]bool),
		own:       make(map[quarantine.Fingerprint]bool),
		stored:    make(map[quarantine.Fingerprint]storedQuarantine),
		announced: make(chan struct{}, 1),
		unstored:  make(chan struct{}, 1),
	}
}

// check tells whether a request may go to a worker.
func (q *quarantines) check(now time.Duration, fingerprint quarantine.Fingerprint) quarantine.Verdict {
	if !q.any.Load() {
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
func (q *quarantines) update(now time.Duration, fingerprint quarantine.Fingerprint, change func(*quarantine.Tracker) (tell bool)) quarantineChange {
	q.any.Store(true)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before := q.ledger.Check(now, fingerprint)
	tell := change(q.ledger)
	after := q.ledger.Check(now, fingerprint)
	outcome := quarantineChange{verdict: after, began: !before.Quarantined && after.Quarantined, ended: before.Quarantined && !after.Quarantined}
	// A single end that another node has seen is that node's to tell: of some thousand runs
	// that end at once each node would tell all to all, a second time and a third.
	concerns := q.own[fingerprint] || after.Crashes >= sharedEnds
	if tell || (before.Crashes != after.Crashes && concerns) {
		q.changed[fingerprint] = now
	}
	// Whoever begins to hold a request tells all: nodes that missed one of the words before
	// would let it through.
	if tell || outcome.began {
		q.untold[fingerprint] = true
		signal(q.announced)
	}
	if after.Crashes >= sharedEnds || outcome.ended {
		signal(q.unstored)
	}
	return outcome
}

// ended takes in that a worker ended while a request was under way there, at this node.
func (q *quarantines) ended(now time.Duration, fingerprint quarantine.Fingerprint, worker fleet.EngineID) quarantineChange {
	return q.update(now, fingerprint, func(ledger *quarantine.Tracker) bool {
		q.own[fingerprint] = true
		return ledger.ObserveCrash(now, fingerprint, worker)
	})
}

// answered takes in that a request was answered whole, at this node.
func (q *quarantines) answered(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	if !q.any.Load() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.ledger.ObserveAnswer(now, fingerprint)
		return quarantineChange{}
	}
	return q.update(now, fingerprint, func(ledger *quarantine.Tracker) bool {
		spoken := ledger.ObserveAnswer(now, fingerprint)
		if spoken {
			q.own[fingerprint] = true
		}
		return spoken
	})
}

// merge takes in what another node, or the store, tells of a request. A node that knows of a
// whole answer which speaks for the request tells all.
func (q *quarantines) merge(now time.Duration, record *quarantine.Record) quarantineChange {
	return q.update(now, record.Fingerprint, func(ledger *quarantine.Tracker) bool {
		ledger.Merge(record)
		return ledger.IsAheadOf(record)
	})
}

// release takes in that a request isn't to be held any more.
func (q *quarantines) release(now time.Duration, fingerprint quarantine.Fingerprint) quarantineChange {
	return q.update(now, fingerprint, func(ledger *quarantine.Tracker) bool { return ledger.Release(now, fingerprint) })
}

// sweep forgets what is too old, and returns what is held no more.
func (q *quarantines) sweep(now time.Duration) (released []quarantine.Fingerprint, held int) {
	if !q.any.Load() {
		return nil, 0
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for fingerprint, at := range q.changed {
		if now > at+tellFor {
			delete(q.changed, fingerprint)
		}
	}
	released = q.ledger.Sweep(now)
	if len(q.stored) > 0 || len(q.ledger.RecordsWithCrashes(sharedEnds)) > 0 {
		signal(q.unstored)
	}
	for fingerprint := range q.own {
		if _, known := q.ledger.Record(fingerprint); !known {
			delete(q.own, fingerprint)
		}
	}
	return released, q.ledger.QuarantinedCount()
}

// checkQuarantine refuses a request that ends workers. One whose trial is due, and whose
// trial nobody else makes, goes on.
func (g *Gateway) checkQuarantine(current *carried) *refusal {
	verdict := g.quarantines.check(g.now(), current.fingerprint)
	if !verdict.Quarantined {
		return nil
	}
	if verdict.TrialDue && g.beginTrial(current, verdict) {
		current.trial = true
		return nil
	}
	g.noteHeld(current, verdict)
	return &refusal{code: resultcode.Quarantined, reason: reasonQuarantined, retryAfter: max(verdict.RetryAfter, retryLater)}
}

// reasonQuarantined is the reason of a request that is refused since it ends workers.
const reasonQuarantined = "workers ended under it"

// holds tells whether a request must not go to a worker now, and logs that.
func (g *Gateway) holds(current *carried) (quarantine.Verdict, bool) {
	if current.trial {
		return quarantine.Verdict{}, false
	}
	verdict := g.quarantines.check(g.now(), current.fingerprint)
	if verdict.Quarantined {
		g.noteHeld(current, verdict)
	}
	return verdict, verdict.Quarantined
}

// noteHeld logs and counts that a request was kept from the workers.
func (g *Gateway) noteHeld(current *carried, verdict quarantine.Verdict) {
	g.metrics.quarantineRefusals.Inc()
	g.events.line("request_held").Str("request_id", current.metadata.RequestID).Str("fingerprint", current.fingerprint.String()).
		Str("route", current.route.Name).Int("ends", verdict.Crashes).Dur("first_end_age", verdict.FirstAge).
		Dur("last_end_age", verdict.LastAge).Int("trials", verdict.Trials).Dur("retry_after", verdict.RetryAfter).Msg("request_held")
}

// blame takes in the requests whose runs ended with their worker, unless it shut down.
func (g *Gateway) blame(worker fleet.EngineID, proof quarantine.Evidence, fingerprints []quarantine.Fingerprint) {
	if g.workers.Draining(worker) {
		return
	}
	g.metrics.lostRuns.Add(float64(len(fingerprints)))
	g.events.line("worker_ended").Str("worker", string(worker)).Str("proof", proof.String()).
		Int("runs", len(fingerprints)).Str("fingerprints", fingerprintText(fingerprints)).Msg("worker_ended")
	for _, fingerprint := range fingerprints {
		g.noteQuarantine(fingerprint, "worker_ended", g.quarantines.ended(g.now(), fingerprint, worker))
	}
}

// noteAnswered takes in that a request was answered whole by a worker.
func (g *Gateway) noteAnswered(current *carried) {
	g.noteQuarantine(current.fingerprint, "answered", g.quarantines.answered(g.now(), current.fingerprint))
}

// noteQuarantine logs that a request is held from now on, or not any more, and what told so.
// Sends of a held one whose answer hasn't begun are broken off: they would end workers yet.
func (g *Gateway) noteQuarantine(fingerprint quarantine.Fingerprint, source string, change quarantineChange) {
	switch {
	case change.began:
		broken := g.pending.hold(fingerprint)
		g.logger.Warn().Str("fingerprint", fingerprint.String()).Str("source", source).Int("ends", change.verdict.Crashes).
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
		g.noteQuarantine(fingerprint, "forgotten", quarantineChange{ended: true})
	}
}
