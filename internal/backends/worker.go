// Package backends tracks the workers behind a gateway, with their load, health, model versions and
// cached prompt parts, and chooses a worker for each request.
//
// The registry has no I/O and no clock: callers pass in the monotonic time. It is safe for
// concurrent use.
//
// Invariants: a row that is older than the last one observed has no effect. A worker whose row was
// deleted stays gone until a newer row lists it again. A run that was ever seen draining gets no
// new requests. A later start time under the same identifier is a new run, which inherits no state
// from the previous one; reports with an earlier start time are ignored.
package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/enginespeed"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/liveness"
)

// ModelVersion is the version of a model's weights. Higher versions are newer.
type ModelVersion uint64

// StartTime is the time at which a worker started, in milliseconds since the Unix epoch by the
// worker's clock; 0 if unknown.
type StartTime uint64

// Worker is one run of a worker, as described by its row in the store.
type Worker struct {
	// ID identifies the worker. A restarted worker usually has a new identifier; if it reuses the
	// old one, StartTime distinguishes the runs.
	ID fleet.EngineID
	// StartTime is the start time of the run.
	StartTime StartTime
	Address   fleet.Address
	Zone      fleet.ZoneName
	Service   fleet.PoolName
	// Slots is the number of requests that the worker processes concurrently.
	Slots int
	// Draining is set once the run has reported, in its row or in a response, that it is shutting
	// down.
	Draining bool
	// Software is the version of the worker's software; empty if unknown.
	Software fleet.SoftwareVersion
	// Versions holds the loaded version of each model; empty for services without models.
	Versions map[fleet.ModelName]ModelVersion
}

// Run returns the identity of the worker's run.
func (w *Worker) Run() fleet.EngineRun { return fleet.EngineRun{Engine: w.ID} }

// Parameters of worker health.
const (
	// lapsedGracePeriod is how long a worker whose row was deleted is still used as a last resort,
	// since rows also expire while the store is unavailable.
	lapsedGracePeriod = 1200 * time.Millisecond
	// minSuspicion and maxSuspicion bound the time for which an unreachable worker gets no
	// requests. It doubles with each consecutive failure.
	minSuspicion = 400 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure rate of an idle worker halves, so that it is
	// tried again.
	failureHalfLife = 3 * time.Second
	// failureCost is the cost of a certain failure.
	failureCost = 2 * time.Second
	// mismatchBackoff is how long a worker gets no requests after an unexpected run or model
	// version was found there, unless its version is observed earlier.
	mismatchBackoff = 400 * time.Millisecond
	// peerReportValidity is how long a peer's report counts.
	peerReportValidity = 1500 * time.Millisecond
	// slownessWeight is the weight of one sample in a worker's slowness.
	slownessWeight = 0.1
	// maxSlowness bounds the slowness.
	maxSlowness = 8
)

// workerState is the state tracked for one run of a worker.
type workerState struct {
	worker   Worker
	revision fleet.Revision
	// gone is set when the row has been deleted. goneAt is the time of the deletion.
	gone   bool
	goneAt time.Duration

	// inFlight counts this node's requests in flight. prefillTokens is the uncached prompt work of
	// those that have not begun to respond.
	inFlight      int
	prefillTokens int
	// prefilling counts this node's requests that have not begun to respond.
	prefilling int
	// priorities holds this node's load by priority.
	priorities [PriorityCount]PriorityLoad
	// memory is the memory that this node's requests occupy at an engine.
	memory memoryUse

	suspectUntil    time.Duration
	lastContact     time.Duration
	suspicionPeriod time.Duration
	// suspicionConfirmed is set if another node couldn't connect to the worker either.
	suspicionConfirmed bool
	// probedUntil is the time until which the worker may answer a probe.
	probedUntil time.Duration
	// silence suspends requests to an engine that has fallen silent.
	silence       liveness.Suspension
	mismatchUntil time.Duration
	// cordonedUntil is the time until which the worker is cordoned: it counts as not ready because
	// it is ordered to load a model version.
	cordonedUntil time.Duration

	failureMean   float64
	failureMeanAt time.Duration
	// outcomes are reported to other nodes while the worker rejects requests.
	outcomes outcomeCounts
	// speed is the measured speed of an engine. It counts while the engines of the service differ.
	speed enginespeed.Factors
	// slowness is the moving average of the ratio of measured to predicted time to first byte at this
	// node. It counts while the engines are even.
	slowness float64
	// ahead predicts the remaining prompt work of an engine.
	ahead prefillAhead

	// hash is the hash of the identifier. pool, tier, level and levelIndex are the worker's
	// position in its pool.
	hash       uint64
	pool       *pool
	tier       int
	level      int
	levelIndex int
	// lastSearch is the identifier of the last search that examined the worker, and verdict its
	// result.
	lastSearch uint64
	verdict    verdict
}

// newState returns the initial state of a run.
func newState(worker Worker, revision fleet.Revision) *workerState {
	return &workerState{worker: worker, revision: revision, speed: enginespeed.Unknown(), slowness: 1, tier: noTier, hash: hashName(string(worker.ID))}
}

// begin counts a request that is placed at the worker.
func (s *workerState) begin(work placedWork) {
	s.inFlight++
	s.prefilling++
	s.prefillTokens += work.prefillTokens
	s.memory.add(work.need)
	s.priorities[work.priority].InFlight++
	s.priorities[work.priority].PrefillTokens += int32(work.prefillTokens)
}

// endPrefill removes a request from the prefill load, when its response begins or the request ends
// without one.
func (s *workerState) endPrefill(work placedWork) {
	s.prefilling--
	s.prefillTokens -= work.prefillTokens
	s.priorities[work.priority].PrefillTokens -= int32(work.prefillTokens)
}

// end removes a request that has ended.
func (s *workerState) end(work placedWork) {
	s.inFlight--
	s.memory.remove(work.need)
	s.priorities[work.priority].InFlight--
}

// isListed reports whether the worker's row exists and the worker is not draining.
func (s *workerState) isListed() bool { return !s.gone && !s.worker.Draining }

// isLapsed reports whether the row was deleted within the grace period, without the worker
// draining.
func (s *workerState) isLapsed(now time.Duration) bool {
	return s.gone && !s.worker.Draining && now < s.goneAt+lapsedGracePeriod
}

// isReady reports whether the worker is neither suspected nor probed nor mismatched nor cordoned.
func (s *workerState) isReady(now time.Duration) bool {
	return now >= s.suspectUntil && now >= s.mismatchUntil && now >= s.cordonedUntil && now >= s.probedUntil
}

// failureRate returns the failure rate at now, from 0 to 1.
func (s *workerState) failureRate(now time.Duration) float64 {
	idle := now - s.failureMeanAt
	if idle <= 0 {
		return s.failureMean
	}
	halvings := float64(idle) / float64(failureHalfLife)
	return s.failureMean / (1 + halvings*halvings)
}

// recordOutcome adds the outcome of a request to the failure rate.
func (s *workerState) recordOutcome(now time.Duration, failed bool) {
	rate := s.failureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureMean = rate + (outcome-rate)*failureWeight
	s.failureMeanAt = now
}

// suspect suspends requests to the worker, for twice as long with each consecutive failure.
func (s *workerState) suspect(now time.Duration) {
	s.suspicionPeriod = min(max(s.suspicionPeriod*2, minSuspicion), maxSuspicion)
	s.suspectUntil = now + s.suspicionPeriod
	s.suspicionConfirmed = false
}

// contactValidity is how long this node's own contact with a worker outweighs the reports of peers.
const contactValidity = time.Second

// hasRecentContact reports whether the worker has recently responded to this node.
func (s *workerState) hasRecentContact(now time.Duration) bool {
	return s.lastContact > 0 && now < s.lastContact+contactValidity
}

// recordContact ends the suspicion of a worker that has responded.
func (s *workerState) recordContact(now time.Duration) {
	s.lastContact = now
	s.suspicionPeriod = 0
	s.suspectUntil = 0
	s.silence.End()
}

// recordSlowness adds a time to first byte to the slowness.
func (s *workerState) recordSlowness(elapsed, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(float64(elapsed)/float64(predicted), 1), maxSlowness)
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.slowness += (ratio - s.slowness) * slownessWeight
}
