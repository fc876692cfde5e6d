package quarantine

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Bounds of what is remembered of lost runs.
const (
	// lossWindow is how long a run counts as one that its worker's end may have cut off. The
	// row of a worker that crashes goes after three heartbeats of silence, 1.1 to 1.7 s as
	// measured with heartbeats of 1.2 s and under.
	lossWindow = 4 * time.Second
	// abandonedWindow is how long before a worker's end a run counts that this side broke off,
	// since its caller left or its time was over: the worker may have been at work still.
	abandonedWindow = time.Second
	// rowRemovalLag is how much later than its worker's end a row goes at most.
	rowRemovalLag = 2 * time.Second
	// crashRetention is how long a worker that has ended is remembered: connections of one
	// process are heard to break one after the other.
	crashRetention = 10 * time.Second
	// maxRunsPerWorker bounds the runs remembered of one worker, maxWorkers the workers.
	maxRunsPerWorker = 256
	maxWorkers       = 256
)

// Loss tells how a run was lost to this side.
type Loss int

// Losses.
const (
	// ConnectionBroken means that the worker's side ended the connection within the exchange.
	ConnectionBroken Loss = iota
	// Abandoned means that this side did, while the worker may have been at work.
	Abandoned
)

// lostRun is a run that brought no whole answer.
type lostRun struct {
	fingerprint Fingerprint
	loss        Loss
	at          time.Duration
}

// workerLosses is what is known of one worker.
type workerLosses struct {
	runs []lostRun
	// probing is set while the worker is asked whether it still takes connections.
	probing bool
	// crashed is set once it is known to have crashed, at endedAt.
	crashed   bool
	crashedAt time.Duration
}

// LostRuns remembers, for a few seconds, what was under way at workers whose exchanges
// broke off, until it is known whether the worker has ended or only that exchange: a
// reset connection, a link that was cut or an answer that was spoilt is no crash. It
// isn't safe for concurrent use.
type LostRuns struct {
	workers map[fleet.EngineID]*workerLosses
}

// NewLostRuns returns an empty record.
func NewLostRuns() *LostRuns {
	return &LostRuns{workers: make(map[fleet.EngineID]*workerLosses)}
}

// Observe takes in a run that was lost at a worker. blamed tells that the worker is known to
// have ended, so that the run counts at once; check that it is to be asked whether it has,
// after which the caller reports Ended, Alive or Undecided.
func (l *LostRuns) Observe(now time.Duration, worker fleet.EngineID, fingerprint Fingerprint, loss Loss) (blamed, check bool) {
	known := l.lossesOf(worker)
	if known == nil {
		return false, false
	}
	if known.crashed && loss == ConnectionBroken && now < known.crashedAt+crashRetention {
		return true, false
	}
	if len(known.runs) < maxRunsPerWorker {
		known.runs = append(known.runs, lostRun{fingerprint: fingerprint, loss: loss, at: now})
	}
	if loss != ConnectionBroken || known.probing {
		return false, false
	}
	known.probing = true
	return false, true
}

// lossesOf returns what is known of a worker; nil if too many are remembered.
func (l *LostRuns) lossesOf(worker fleet.EngineID) *workerLosses {
	known := l.workers[worker]
	if known == nil && len(l.workers) < maxWorkers {
		known = &workerLosses{}
		l.workers[worker] = known
	}
	return known
}

// Evidence is what shows that a worker has ended.
type Evidence int

// Proofs.
const (
	// ConnectionRefused means that its address refuses connections.
	ConnectionRefused Evidence = iota
	// RowRemoved means that its row went without word that it was leaving.
	RowRemoved
)

// String returns the proof's name.
func (p Evidence) String() string {
	if p == ConnectionRefused {
		return "refused"
	}
	return "row_gone"
}

// lag is how much later than the worker's end the proof may be had.
func (p Evidence) lag() time.Duration {
	if p == ConnectionRefused {
		return 0
	}
	return rowRemovalLag
}

// WorkerCrashed takes in that a worker has ended and returns the fingerprints of the runs that
// ended with it.
func (l *LostRuns) WorkerCrashed(now time.Duration, worker fleet.EngineID, proof Evidence) []Fingerprint {
	known := l.workers[worker]
	if known == nil {
		return nil
	}
	known.probing = false
	ended := known.firstBreak(now)
	if ended < 0 {
		ended = now - proof.lag()
	}
	var blamed []Fingerprint
	for _, run := range known.runs {
		inTime := run.loss == ConnectionBroken && now < run.at+lossWindow
		shortBefore := run.loss == Abandoned && run.at >= ended-abandonedWindow
		if inTime || shortBefore {
			blamed = append(blamed, run.fingerprint)
		}
	}
	known.runs = nil
	known.crashed, known.crashedAt = true, now
	return blamed
}

// firstBreak returns when the first of the connections broke that count still; a negative
// time if none did.
func (k *workerLosses) firstBreak(now time.Duration) time.Duration {
	for _, run := range k.runs {
		if run.loss == ConnectionBroken && now < run.at+lossWindow {
			return run.at
		}
	}
	return -1
}

// WorkerAlive takes in that a worker takes new connections: what broke off there did so by itself.
func (l *LostRuns) WorkerAlive(worker fleet.EngineID) { delete(l.workers, worker) }

// ProbeInconclusive takes in that a worker couldn't be asked. Its row may still tell.
func (l *LostRuns) ProbeInconclusive(worker fleet.EngineID) {
	if known := l.workers[worker]; known != nil {
		known.probing = false
	}
}

// Sweep forgets what is too old to count.
func (l *LostRuns) Sweep(now time.Duration) {
	for worker, known := range l.workers {
		kept := known.runs[:0]
		for _, run := range known.runs {
			if now < run.at+lossWindow {
				kept = append(kept, run)
			}
		}
		known.runs = kept
		remembered := known.crashed && now < known.crashedAt+crashRetention
		if len(kept) == 0 && !remembered && !known.probing {
			delete(l.workers, worker)
		}
	}
}
