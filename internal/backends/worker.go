// Package backends knows the workers behind the gateway: which there are, how
// loaded and how sound each is, which version of the weights it runs and which
// prompt parts it holds. From that it chooses a worker for each request.
//
// The registry has no I/O and no clock: time is passed in, on the process's
// steady clock. It is safe for concurrent use.
//
// Invariants. A row that is older than one already seen changes nothing, a
// worker that is gone stays gone unless a newer row brings it back, and a
// worker that was ever seen draining gets no new request in the same run. A later start
// under the same identifier is another run, of which nothing is believed that was true of
// the one before; word of an earlier start changes nothing.
package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ModelVersion numbers the versions of a model's weights; a higher one is newer.
type ModelVersion uint64

// StartTime is when a worker started, in milliseconds since 1970 by its own clock; 0 if
// it didn't say.
type StartTime uint64

// Worker is one run of one worker as its row in the store describes it.
type Worker struct {
	// ID names the worker. A restarted one mostly has another; where it has the same, Born
	// tells the runs apart.
	ID fleet.EngineID
	// StartTime is when the run started.
	StartTime StartTime
	Address   fleet.Address
	Zone      fleet.ZoneName
	Service   fleet.PoolName
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining is set once the run has said, in its row or in an answer, that it shuts down.
	Draining bool
	// Software is the version of the worker's software; empty if its row names none.
	Software fleet.SoftwareVersion
	// Versions holds the version of each model that it serves; empty for
	// services without models.
	Versions map[fleet.ModelName]ModelVersion
}

// Run returns the worker's run.
func (w *Worker) Run() fleet.EngineRun { return fleet.EngineRun{Engine: w.ID} }

// Constants of the judgement of workers.
const (
	// lapsedGracePeriod is how long a worker whose row went is still used if nobody
	// else is there: rows also go while the store is down.
	lapsedGracePeriod = 1200 * time.Millisecond
	// minSuspicion and maxSuspicion bound the time that a worker which could
	// not be reached gets no request; it doubles with each failure in a row.
	minSuspicion = 400 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// failureWeight is the part of one outcome in a worker's mean failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure rate of a worker that
	// gets no requests halves, so that it is tried again.
	failureHalfLife = 3 * time.Second
	// failureCost is the time that a sure failure is worth in a choice.
	failureCost = 2 * time.Second
	// mismatchBackoff is how long a worker whose version was found to differ from the
	// one believed gets no request, unless its version is heard of before.
	mismatchBackoff = 400 * time.Millisecond
	// peerReportValidity is how long another node's word on its load counts.
	peerReportValidity = 1500 * time.Millisecond
	// slownessWeight is the part of one measurement in a worker's slowness.
	slownessWeight = 0.1
	// maxSlowness bounds the slowness.
	maxSlowness = 8
)

// workerState is what is known of one worker.
type workerState struct {
	worker   Worker
	revision fleet.Revision
	// gone is set when the row went, at goneAt.
	gone   bool
	goneAt time.Duration

	// inFlight counts this node's requests, prefill the prompt tokens of those
	// that haven't begun to answer.
	inFlight      int
	prefillTokens int
	// prefilling counts this node's requests that haven't begun to answer.
	prefilling int
	// priorities holds this node's requests by priority.
	priorities [PriorityCount]PriorityLoad
	// memory is what this node's requests hold in an engine's memory.
	memory memoryUse

	suspectUntil    time.Duration
	lastContact     time.Duration
	suspicionPeriod time.Duration
	mismatchUntil   time.Duration
	// orderedUntil is until when the worker counts as under an order.
	orderedUntil time.Duration

	failureMean   float64
	failureMeanAt time.Duration
	// slowness is the mean of measured over predicted time to the first byte.
	slowness float64

	// hash is that of the identifier; pool, tier, level and at are where the worker is listed.
	hash       uint64
	pool       *pool
	tier       int
	level      int
	levelIndex int
	// lastSearch is the last search that looked at the worker, and verdict what it found.
	lastSearch uint64
	verdict    verdict
}

// newState returns what is known of a run by its first row alone.
func newState(worker Worker, revision fleet.Revision) *workerState {
	return &workerState{worker: worker, revision: revision, slowness: 1, tier: noTier, hash: hashName(string(worker.ID))}
}

// begin counts a request.
func (s *workerState) begin(work placedWork) {
	s.inFlight++
	s.prefilling++
	s.prefillTokens += work.prefillTokens
	s.memory.add(work.need)
	s.priorities[work.priority].InFlight++
	s.priorities[work.priority].PrefillTokens += int32(work.prefillTokens)
}

// endPrefill notes that a counted request has begun to answer, or never will.
func (s *workerState) endPrefill(work placedWork) {
	s.prefilling--
	s.prefillTokens -= work.prefillTokens
	s.priorities[work.priority].PrefillTokens -= int32(work.prefillTokens)
}

// end notes that a counted request has ended.
func (s *workerState) end(work placedWork) {
	s.inFlight--
	s.memory.remove(work.need)
	s.priorities[work.priority].InFlight--
}

// isListed tells whether the worker may get requests by its row.
func (s *workerState) isListed() bool { return !s.gone && !s.worker.Draining }

// isLapsed tells whether the row went a short while ago without word of draining.
func (s *workerState) isLapsed(now time.Duration) bool {
	return s.gone && !s.worker.Draining && now < s.goneAt+lapsedGracePeriod
}

// isReady tells whether nothing speaks against the worker right now.
func (s *workerState) isReady(now time.Duration) bool {
	return now >= s.suspectUntil && now >= s.mismatchUntil && now >= s.orderedUntil
}

// failureRate returns the mean failure rate at now, between 0 and 1.
func (s *workerState) failureRate(now time.Duration) float64 {
	idle := now - s.failureMeanAt
	if idle <= 0 {
		return s.failureMean
	}
	halvings := float64(idle) / float64(failureHalfLife)
	return s.failureMean / (1 + halvings*halvings)
}

// recordOutcome takes the outcome of a request into the failure rate.
func (s *workerState) recordOutcome(now time.Duration, failed bool) {
	rate := s.failureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureMean = rate + (outcome-rate)*failureWeight
	s.failureMeanAt = now
}

// suspect keeps requests away for a while that doubles with each failure.
func (s *workerState) suspect(now time.Duration) {
	s.suspicionPeriod = min(max(s.suspicionPeriod*2, minSuspicion), maxSuspicion)
	s.suspectUntil = now + s.suspicionPeriod
}

// contactValidity is how long this node's own sign of life from a worker counts more than
// what others say.
const contactValidity = time.Second

// hasRecentContact tells whether this node has had a sign of life of late.
func (s *workerState) hasRecentContact(now time.Duration) bool {
	return s.lastContact > 0 && now < s.lastContact+contactValidity
}

// recordContact ends a suspicion after a sign of life.
func (s *workerState) recordContact(now time.Duration) {
	s.lastContact = now
	s.suspicionPeriod = 0
	s.suspectUntil = 0
}

// recordSlowness takes the time to the first byte into the slowness.
func (s *workerState) recordSlowness(took, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(predicted), 1), maxSlowness)
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness += (ratio - s.slowness) * slownessWeight
}
