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

// WeightsVersion numbers the versions of a model's weights; a higher one is newer.
type WeightsVersion uint64

// StartTime is when a worker started, in milliseconds since 1970 by its own clock; 0 if
// it didn't say.
type StartTime uint64

// Worker is one run of one worker as its row in the store describes it.
type Worker struct {
	// ID names the worker. A restarted one mostly has another; where it has the same, Born
	// tells the runs apart.
	ID fleet.EngineID
	// Born is when the run started.
	Born    StartTime
	Address fleet.Address
	Zone    fleet.ZoneName
	Service fleet.PoolName
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining is set once the run has said, in its row or in an answer, that it shuts down.
	Draining bool
	// Software is the version of the worker's software; empty if its row names none.
	Software fleet.SoftwareVersion
	// Versions holds the version of each model that it serves; empty for
	// services without models.
	Versions map[fleet.ModelName]WeightsVersion
}

// Run returns the worker's run.
func (w *Worker) Run() fleet.EngineRun { return fleet.EngineRun{Engine: w.ID} }

// Constants of the judgement of workers.
const (
	// lapseGrace is how long a worker whose row went is still used if nobody
	// else is there: rows also go while the store is down.
	lapseGrace = 1200 * time.Millisecond
	// firstSuspicion and maxSuspicion bound the time that a worker which could
	// not be reached gets no request; it doubles with each failure in a row.
	firstSuspicion = 400 * time.Millisecond
	maxSuspicion   = 4 * time.Second
	// failureWeight is the part of one outcome in a worker's mean failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure rate of a worker that
	// gets no requests halves, so that it is tried again.
	failureHalfLife = 3 * time.Second
	// riskTime is the time that a sure failure is worth in a choice.
	riskTime = 2 * time.Second
	// doubtFor is how long a worker whose version was found to differ from the
	// one believed gets no request, unless its version is heard of before.
	doubtFor = 400 * time.Millisecond
	// peerLoadValid is how long another node's word on its load counts.
	peerLoadValid = 1500 * time.Millisecond
	// slownessWeight is the part of one measurement in a worker's slowness.
	slownessWeight = 0.1
	// maxSlowness bounds the slowness.
	maxSlowness = 8
)

// state is what is known of one worker.
type state struct {
	worker   Worker
	revision fleet.Revision
	// gone is set when the row went, at goneAt.
	gone   bool
	goneAt time.Duration

	// inFlight counts this node's requests, prefill the prompt tokens of those
	// that haven't begun to answer.
	inFlight int
	prefill  int
	// prefilling counts this node's requests that haven't begun to answer.
	prefilling int
	// priorities holds this node's requests by priority.
	priorities [Priorities]PriorityLoad
	// memory is what this node's requests hold in an engine's memory.
	memory memoryUse

	suspectUntil time.Duration
	trustedAt    time.Duration
	suspicion    time.Duration
	doubtUntil   time.Duration
	// orderedUntil is until when the worker counts as under an order.
	orderedUntil time.Duration

	failures   float64
	failuresAt time.Duration
	// slowness is the mean of measured over predicted time to the first byte.
	slowness float64

	// hash is that of the identifier; pool, tier, level and at are where the worker is listed.
	hash  uint64
	pool  *pool
	tier  int
	level int
	at    int
	// seenBy is the last search that looked at the worker, and verdict what it found.
	seenBy  uint64
	verdict verdict
}

// newState returns what is known of a run by its first row alone.
func newState(worker Worker, revision fleet.Revision) *state {
	return &state{worker: worker, revision: revision, slowness: 1, tier: noTier, hash: hashName(string(worker.ID))}
}

// begin counts a request.
func (s *state) begin(work placedWork) {
	s.inFlight++
	s.prefilling++
	s.prefill += work.prefill
	s.memory.add(work.need)
	s.priorities[work.priority].InFlight++
	s.priorities[work.priority].PrefillTokens += int32(work.prefill)
}

// endPrefill notes that a counted request has begun to answer, or never will.
func (s *state) endPrefill(work placedWork) {
	s.prefilling--
	s.prefill -= work.prefill
	s.priorities[work.priority].PrefillTokens -= int32(work.prefill)
}

// end notes that a counted request has ended.
func (s *state) end(work placedWork) {
	s.inFlight--
	s.memory.remove(work.need)
	s.priorities[work.priority].InFlight--
}

// listed tells whether the worker may get requests by its row.
func (s *state) listed() bool { return !s.gone && !s.worker.Draining }

// lapsed tells whether the row went a short while ago without word of draining.
func (s *state) lapsed(now time.Duration) bool {
	return s.gone && !s.worker.Draining && now < s.goneAt+lapseGrace
}

// settled tells whether nothing speaks against the worker right now.
func (s *state) settled(now time.Duration) bool {
	return now >= s.suspectUntil && now >= s.doubtUntil && now >= s.orderedUntil
}

// failureRate returns the mean failure rate at now, between 0 and 1.
func (s *state) failureRate(now time.Duration) float64 {
	idle := now - s.failuresAt
	if idle <= 0 {
		return s.failures
	}
	halvings := float64(idle) / float64(failureHalfLife)
	return s.failures / (1 + halvings*halvings)
}

// note takes the outcome of a request into the failure rate.
func (s *state) note(now time.Duration, failed bool) {
	rate := s.failureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failures = rate + (outcome-rate)*failureWeight
	s.failuresAt = now
}

// suspect keeps requests away for a while that doubles with each failure.
func (s *state) suspect(now time.Duration) {
	s.suspicion = min(max(s.suspicion*2, firstSuspicion), maxSuspicion)
	s.suspectUntil = now + s.suspicion
}

// ownWord is how long this node's own sign of life from a worker counts more than
// what others say.
const ownWord = time.Second

// trustedSince tells whether this node has had a sign of life of late.
func (s *state) trustedSince(now time.Duration) bool {
	return s.trustedAt > 0 && now < s.trustedAt+ownWord
}

// trust ends a suspicion after a sign of life.
func (s *state) trust(now time.Duration) {
	s.trustedAt = now
	s.suspicion = 0
	s.suspectUntil = 0
}

// measure takes the time to the first byte into the slowness.
func (s *state) measure(took, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(predicted), 1), maxSlowness)
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness += (ratio - s.slowness) * slownessWeight
}
