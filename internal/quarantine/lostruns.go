package quarantine

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Bounds of what is remembered of lost runs.
const (
	// lostFor is how long a run counts as one that its worker's end may have cut off. The
	// row of a worker that crashes goes after three heartbeats of silence, 1.1 to 1.7 s as
	// measured with heartbeats of 1.2 s and under.
	lostFor = 4 * time.Second
	// abandonedFor is how long before a worker's end a run counts that this side broke off,
	// since its caller left or its time was over: the worker may have been at work still.
	abandonedFor = time.Second
	// rowLag is how much later than its worker's end a row goes at most.
	rowLag = 2 * time.Second
	// endedFor is how long a worker that has ended is remembered: connections of one
	// process are heard to break one after the other.
	endedFor = 10 * time.Second
	// maxRuns bounds the runs remembered of one worker, maxWorkers the workers.
	maxRuns    = 256
	maxWorkers = 256
)

// Loss tells how a run was lost to this side.
type Loss int

// Losses.
const (
	// BrokenOff means that the worker's side ended the connection within the exchange.
	BrokenOff Loss = iota
	// Abandoned means that this side did, while the worker may have been at work.
	Abandoned
)

// lostRun is a run that brought no whole answer.
type lostRun struct {
	fingerprint Fingerprint
	loss        Loss
	at          time.Duration
}

// lostAt is what is known of one worker.
type lostAt struct {
	runs []lostRun
	// checking is set while the worker is asked whether it still takes connections.
	checking bool
	// ended is set once it is known to have ended, at endedAt.
	ended   bool
	endedAt time.Duration
}

// LostRuns remembers, for a few seconds, what was under way at workers whose exchanges
// broke off, until it is known whether the worker has ended or only that exchange: a
// reset connection, a link that was cut or an answer that was spoilt is no crash. It
// isn't safe for concurrent use.
type LostRuns struct {
	workers map[fleet.EngineID]*lostAt
}

// NewLostRuns returns an empty record.
func NewLostRuns() *LostRuns {
	return &LostRuns{workers: make(map[fleet.EngineID]*lostAt)}
}

// Note takes in a run that was lost at a worker. blamed tells that the worker is known to
// have ended, so that the run counts at once; check that it is to be asked whether it has,
// after which the caller reports Ended, Alive or Undecided.
func (l *LostRuns) Note(now time.Duration, worker fleet.EngineID, fingerprint Fingerprint, loss Loss) (blamed, check bool) {
	known := l.at(worker)
	if known == nil {
		return false, false
	}
	if known.ended && loss == BrokenOff && now < known.endedAt+endedFor {
		return true, false
	}
	if len(known.runs) < maxRuns {
		known.runs = append(known.runs, lostRun{fingerprint: fingerprint, loss: loss, at: now})
	}
	if loss != BrokenOff || known.checking {
		return false, false
	}
	known.checking = true
	return false, true
}

// at returns what is known of a worker; nil if too many are remembered.
func (l *LostRuns) at(worker fleet.EngineID) *lostAt {
	known := l.workers[worker]
	if known == nil && len(l.workers) < maxWorkers {
		known = &lostAt{}
		l.workers[worker] = known
	}
	return known
}

// Proof is what shows that a worker has ended.
type Proof int

// Proofs.
const (
	// Refused means that its address refuses connections.
	Refused Proof = iota
	// RowGone means that its row went without word that it was leaving.
	RowGone
)

// String returns the proof's name.
func (p Proof) String() string {
	if p == Refused {
		return "refused"
	}
	return "row_gone"
}

// lag is how much later than the worker's end the proof may be had.
func (p Proof) lag() time.Duration {
	if p == Refused {
		return 0
	}
	return rowLag
}

// Ended takes in that a worker has ended and returns the fingerprints of the runs that
// ended with it.
func (l *LostRuns) Ended(now time.Duration, worker fleet.EngineID, proof Proof) []Fingerprint {
	known := l.workers[worker]
	if known == nil {
		return nil
	}
	known.checking = false
	ended := known.firstBroken(now)
	if ended < 0 {
		ended = now - proof.lag()
	}
	var blamed []Fingerprint
	for _, run := range known.runs {
		inTime := run.loss == BrokenOff && now < run.at+lostFor
		shortBefore := run.loss == Abandoned && run.at >= ended-abandonedFor
		if inTime || shortBefore {
			blamed = append(blamed, run.fingerprint)
		}
	}
	known.runs = nil
	known.ended, known.endedAt = true, now
	return blamed
}

// firstBroken returns when the first of the connections broke that count still; a negative
// time if none did.
func (k *lostAt) firstBroken(now time.Duration) time.Duration {
	for _, run := range k.runs {
		if run.loss == BrokenOff && now < run.at+lostFor {
			return run.at
		}
	}
	return -1
}

// Alive takes in that a worker takes new connections: what broke off there did so by itself.
func (l *LostRuns) Alive(worker fleet.EngineID) { delete(l.workers, worker) }

// Undecided takes in that a worker couldn't be asked. Its row may still tell.
func (l *LostRuns) Undecided(worker fleet.EngineID) {
	if known := l.workers[worker]; known != nil {
		known.checking = false
	}
}

// Sweep forgets what is too old to count.
func (l *LostRuns) Sweep(now time.Duration) {
	for worker, known := range l.workers {
		kept := known.runs[:0]
		for _, run := range known.runs {
			if now < run.at+lostFor {
				kept = append(kept, run)
			}
		}
		known.runs = kept
		remembered := known.ended && now < known.endedAt+endedFor
		if len(kept) == 0 && !remembered && !known.checking {
			delete(l.workers, worker)
		}
	}
}
