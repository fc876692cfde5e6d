package quarantine

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Time windows and bounds of LostRuns.
const (
	// lossWindow is how long before a crash is detected a broken connection is attributed to it. It
	// exceeds the time for which the row of a crashed worker stays in the store: three heartbeats,
	// measured as 1.1 to 1.7 s with heartbeats of up to 1.2 s.
	lossWindow = 4 * time.Second
	// abandonedWindow is how long before a crash an abandoned run counts: the worker may still have
	// been processing it.
	abandonedWindow = time.Second
	// SuccessorDelay is the least time from a worker's crash until another one may accept connections at
	// its address.
	SuccessorDelay = time.Second
	// rowRemovalLag is the longest time from a worker's crash to the removal of its row.
	rowRemovalLag = 2 * time.Second
	// crashRetention is how long a crashed worker is remembered, since its connections may be seen
	// to break one after the other.
	crashRetention = 10 * time.Second
	// maxRunsPerWorker and maxWorkers bound what is remembered.
	maxRunsPerWorker = 256
	maxWorkers       = 256
)

// Loss is the way in which a run was lost.
type Loss int

// Ways in which a run is lost.
const (
	// ConnectionBroken means that the worker's side closed the connection during the exchange.
	ConnectionBroken Loss = iota
	// Abandoned means that this side closed it while the worker may have been processing the run.
	Abandoned
	// PathBroken means that the connection broke and went through another node, or that this node's link
	// to the worker is lost: a connection that is refused here shows nothing of the worker.
	PathBroken
)

// isBroken reports whether the connection broke.
func (l Loss) isBroken() bool { return l != Abandoned }

// lostRun is a run without a complete answer.
type lostRun struct {
	subject Subject
	loss    Loss
	at      time.Duration
}

// workerLosses holds the lost runs and the state of one worker.
type workerLosses struct {
	runs []lostRun
	// probing is set while the worker is probed for new connections.
	probing bool
	// crashed is set once the worker is known to have crashed, which was found at crashedAt.
	crashed   bool
	crashedAt time.Duration
}

// LostRuns remembers for a few seconds which requests were in flight at workers whose connections
// broke, until it is known whether the worker has crashed. A reset connection, a network failure or
// a malformed answer alone is no crash. LostRuns isn't safe for concurrent use.
type LostRuns struct {
	workers map[fleet.EngineID]*workerLosses
}

// NewLostRuns returns an empty LostRuns.
func NewLostRuns() *LostRuns {
	return &LostRuns{workers: make(map[fleet.EngineID]*workerLosses)}
}

// Observe records a run that was lost at a worker. crashed reports that the worker is known to have
// crashed and the run counts at once. probe reports that the caller is to probe the worker and
// call WorkerCrashed, WorkerAlive or ProbeInconclusive afterwards.
func (l *LostRuns) Observe(now time.Duration, worker fleet.EngineID, subject Subject, loss Loss) (crashed, probe bool) {
	losses := l.lossesOf(worker)
	if losses == nil {
		return false, false
	}
	if losses.crashed && loss.isBroken() && now < losses.crashedAt+crashRetention {
		return true, false
	}
	if len(losses.runs) < maxRunsPerWorker {
		losses.runs = append(losses.runs, lostRun{subject: subject, loss: loss, at: now})
	}
	if !loss.isBroken() || losses.probing {
		return false, false
	}
	losses.probing = true
	return false, true
}

// lossesOf returns the entry of a worker, which it creates if necessary; nil if too many workers
// are remembered.
func (l *LostRuns) lossesOf(worker fleet.EngineID) *workerLosses {
	losses := l.workers[worker]
	if losses == nil && len(l.workers) < maxWorkers {
		losses = &workerLosses{}
		l.workers[worker] = losses
	}
	return losses
}

// Evidence is what shows that a worker has crashed.
type Evidence int

// Kinds of evidence.
const (
	// ConnectionRefused means that the worker's address refuses connections.
	ConnectionRefused Evidence = iota
	// RowRemoved means that the worker's row was removed and it had not announced that it leaves.
	RowRemoved
	// RefusedElsewhere means that the worker's address refuses connections of other nodes.
	RefusedElsewhere
)

// String returns the name of the evidence.
func (e Evidence) String() string {
	switch e {
	case ConnectionRefused:
		return "refused"
	case RefusedElsewhere:
		return "refused_elsewhere"
	default:
		return "row_gone"
	}
}

// lag returns the longest time from the crash to the evidence.
func (e Evidence) lag() time.Duration {
	if e == RowRemoved {
		return rowRemovalLag
	}
	return 0
}

// shows reports whether the evidence shows that a run which was lost in a way ended with its worker.
func (e Evidence) shows(loss Loss) bool { return loss != PathBroken || e != ConnectionRefused }

// WorkerCrashed records that a worker has crashed and returns the requests that were in flight there.
func (l *LostRuns) WorkerCrashed(now time.Duration, worker fleet.EngineID, evidence Evidence) []Subject {
	losses := l.workers[worker]
	if losses == nil {
		return nil
	}
	losses.probing = false
	crashedAt := losses.firstBreak(now)
	if crashedAt < 0 {
		crashedAt = now - evidence.lag()
	}
	var subjects []Subject
	for _, run := range losses.runs {
		broken := run.loss.isBroken() && evidence.shows(run.loss) && now < run.at+lossWindow
		abandoned := run.loss == Abandoned && run.at >= crashedAt-abandonedWindow
		if broken || abandoned {
			subjects = append(subjects, run.subject)
		}
	}
	losses.runs = nil
	losses.crashed, losses.crashedAt = true, now
	return subjects
}

// firstBreak returns when the first connection broke within lossWindow; a negative time if none
// did.
func (w *workerLosses) firstBreak(now time.Duration) time.Duration {
	for _, run := range w.runs {
		if run.loss.isBroken() && now < run.at+lossWindow {
			return run.at
		}
	}
	return -1
}

// WorkerAlive records that a worker accepts new connections, so its lost runs don't count. Long after they
// were lost it says nothing: another worker may have taken the address.
func (l *LostRuns) WorkerAlive(now time.Duration, worker fleet.EngineID) {
	losses := l.workers[worker]
	if losses == nil {
		return
	}
	if broken := losses.firstBreak(now); broken >= 0 && now >= broken+SuccessorDelay {
		losses.probing = false
		return
	}
	delete(l.workers, worker)
}

// ProbeInconclusive records that a probe gave no result. The lost runs still count if the worker's
// row is removed.
func (l *LostRuns) ProbeInconclusive(worker fleet.EngineID) {
	if losses := l.workers[worker]; losses != nil {
		losses.probing = false
	}
}

// Sweep drops runs and workers that are too old to count.
func (l *LostRuns) Sweep(now time.Duration) {
	for worker, losses := range l.workers {
		kept := losses.runs[:0]
		for _, run := range losses.runs {
			if now < run.at+lossWindow {
				kept = append(kept, run)
			}
		}
		losses.runs = kept
		remembered := losses.crashed && now < losses.crashedAt+crashRetention
		if len(kept) == 0 && !remembered && !losses.probing {
			delete(l.workers, worker)
		}
	}
}
