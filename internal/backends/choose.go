package backends

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/streamorigin"
)

// Request holds the properties of a request that the choice of a worker depends on.
type Request struct {
	Service  fleet.PoolName
	Excluded []fleet.EngineRun
	// HasConnection reports whether this node has a free connection to a worker; nil means always.
	HasConnection func(worker *Worker) bool
	// Admission returns whether a worker admits requests, and for how long not; nil means that all
	// workers admit requests without a limit.
	Admission func(worker *Worker) (Admission, time.Duration)
	// InFlightLimit returns the limit on requests in flight at a worker, false if it has none; nil
	// means that no worker has one.
	InFlightLimit func(worker *Worker) (InFlightLimit, bool)
	// Software limits the choice by the workers' software version; nil means no limit.
	Software *delivery.Filter
	// Origin limits the choice to the software version that began the stream which the request goes on
	// with. Unlike Software, it has no fallback; both must allow a worker.
	Origin streamorigin.Constraint
	// Repeatable is set if the request may run again elsewhere and its answer comes in events. Only
	// such requests try engines that have fallen silent.
	Repeatable bool
	// Bytes is the size of the request and its expected response.
	Bytes int
	// Engine is set for requests to language model engines.
	Engine *EngineRequest
}

// InFlightLimit limits the requests in flight at a worker at which none may wait. A worker at its limit
// is closed.
type InFlightLimit struct {
	// Own is the limit on this node's requests, and Total the one on those of all nodes, as far as this
	// node knows them.
	Own   int
	Total int
	// ReopensIn is the expected time until a worker at its limit has room.
	ReopensIn time.Duration
}

// Admission is whether a worker admits requests.
type Admission uint8

// Admission states of a worker.
const (
	// AdmissionUnlimited means that the worker has no request limit.
	AdmissionUnlimited Admission = iota
	// AdmissionLimited means that the worker has a request limit that it may not have reached.
	AdmissionLimited
	// AdmissionClosed means that the worker temporarily admits no requests.
	AdmissionClosed
)

// admission returns whether the worker admits the request, and for how long not.
func (r *Request) admission(worker *Worker) (Admission, time.Duration) {
	if r.Admission == nil {
		return AdmissionUnlimited, 0
	}
	return r.Admission(worker)
}

// Refusal explains why no worker was chosen.
type Refusal struct {
	Reason string
	// RetryAfter is the predicted time until capacity is available; 0 if unknown.
	RetryAfter time.Duration
	// Limit is the limit that the request's wait exceeds; zero unless Reason is ReasonLate.
	Limit overload.Limit

	// unmet is nil if the overload control records nothing.
	unmet *unmetDemand
}

// Reasons of a refusal.
const (
	ReasonNoWorker = "no_worker"
	ReasonExcluded = "all_tried"
	ReasonNotReady = "none_ready"
	ReasonFull     = "full"
	ReasonVersion  = "none_at_version"
	// ReasonLimited means that all remaining workers temporarily admit no requests.
	ReasonLimited = "at_their_limits"
	// ReasonLate means that the request would wait for longer than its limit at every worker.
	ReasonLate = "none_in_time"
)

// Placement is a request placed at a worker. The caller must call End once the request has ended.
type Placement struct {
	Worker Worker
	// InFlight, PrefillTokens and MemoryTokens are the worker's load over all nodes at the time of
	// the choice, without this request.
	InFlight      int
	PrefillTokens int
	MemoryTokens  int
	// Candidates is the number of workers that were compared, and Examined the number that were
	// examined to find them.
	Candidates int
	Examined   int
	// FailureRate is the worker's failure rate at the time of the choice.
	FailureRate float64
	// Avoided is set if the worker was avoided and chosen since no other was ready.
	Avoided bool
	// Engine is set for engines.
	Engine *EnginePlacement
	// Limited is set if the worker has a request limit. Its refusals and latency then say nothing
	// about its health or speed.
	Limited bool

	registry     *Registry
	state        *workerState
	chosenAt     time.Duration
	work         placedWork
	hasFirstByte bool
	ended        bool
	// timeToFirstByte is the time from the choice until the response began.
	timeToFirstByte time.Duration
}

// Outcome is the result of a request at a worker.
type Outcome int

// Outcomes of a request.
const (
	// Succeeded means that the complete response was received.
	Succeeded Outcome = iota
	// Failed means that the worker responded with an error.
	Failed
	// Refused means that the worker did not run the request because it was full or draining.
	Refused
	// Mismatched means that another run or another version was found at the worker's address.
	Mismatched
	// Unreachable means that the request could not be sent.
	Unreachable
	// Lost means that the response was incomplete or missing.
	Lost
	// Cancelled means that this node ended the request.
	Cancelled
	// Deferred means that the worker did not run the request and asked for no requests for some
	// time.
	Deferred
	// Silent means that this node ended the request since nothing came from its engine.
	Silent
	// Disconnected means that this node's own link to the worker failed, which says nothing of the
	// worker.
	Disconnected
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "refused", "mismatched", "unreachable", "lost", "cancelled", "deferred", "silent", "disconnected"}[o]
}

// Choose chooses a worker and counts the request there. If there is none, it returns a nil
// placement and the reason.
func (r *Registry) Choose(now time.Duration, request *Request) (*Placement, Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	placement, refusal := r.choose(now, request)
	// That the workers of one version are short says nothing of the service's other workers.
	if placement == nil && refusal.Reason != ReasonExcluded && request.Origin.IsAny() {
		r.recordShortage(now, request.Service)
	}
	if next := request.Software.Fallback(); placement == nil && next != nil && request.Software.PrefersTarget() {
		// The few workers with the target version may be full or slow while others have capacity.
		fallback := *request
		fallback.Software = next
		placement, refusal = r.choose(now, &fallback)
	}
	if placement == nil {
		r.recordRefusal(now, request.Service, &refusal)
	}
	return placement, refusal
}

// choose implements Choose. The mutex must be held.
func (r *Registry) choose(now time.Duration, request *Request) (*Placement, Refusal) {
	search, reason := r.candidates(now, request)
	switch {
	case reason == ReasonFull && request.Engine != nil:
		return nil, r.refuseFull(request)
	case reason == ReasonLimited:
		return nil, Refusal{Reason: reason, RetryAfter: search.reopensIn}
	case reason != "":
		return nil, Refusal{Reason: reason}
	case request.Engine != nil:
		return r.chooseEngine(search)
	default:
		return r.choosePlain(search), Refusal{}
	}
}

// candidates searches for workers that may get the request. If the software versions that the
// request is limited to yield none, it searches with the fallback versions.
func (r *Registry) candidates(now time.Duration, request *Request) (*search, string) {
	software := request.Software
	for {
		search := r.newSearch(now, request, software)
		reason := search.gather()
		next := software.Fallback()
		if reason == "" || next == nil || (reason != ReasonNoWorker && !software.PrefersTarget()) {
			return search, reason
		}
		software = next
	}
}

// isReady reports whether neither this node nor enough peers have reason to avoid the worker. The
// mutex must be held.
func (r *Registry) isReady(now time.Duration, state *workerState) bool {
	return state.isReady(now) && r.isReadyByPeers(now, state)
}

// choosePlain chooses the worker with the lowest cost, based on its load, failures, slowness and
// distance.
func (r *Registry) choosePlain(search *search) *Placement {
	candidates := search.candidates()
	minFailures := minFailureRate(search.now, candidates)
	var best *workerState
	bestCost := math.Inf(1)
	for _, state := range candidates {
		cost := r.plainCost(search.now, state, minFailures)
		if cost < bestCost {
			best, bestCost = state, cost
		}
	}
	placement := r.begin(search.now, best, len(candidates), placedWork{})
	search.describe(placement)
	return placement
}

// tieJitter is the range of the random term that breaks ties, in requests in flight per slot.
const tieJitter = 0.02

func (r *Registry) plainCost(now time.Duration, state *workerState, minFailures float64) float64 {
	load := r.totalLoad(now, state)
	slots := float64(max(state.worker.Slots, 1))
	cost := (float64(load.InFlight) + 1) / slots
	cost *= max(state.slowness, 1)
	excess := max(state.failureRate(now)-minFailures, 0)
	cost *= 1 + excess*8
	cost += r.options.Distances.Plain[r.distanceTo(state.worker.Zone)]
	return cost + r.options.Random.Float64()*tieJitter
}

// minFailureRate returns the lowest failure rate among the candidates. Failures caused by the
// requests themselves affect all workers alike and are not held against one.
func minFailureRate(now time.Duration, candidates []*workerState) float64 {
	lowest := 1.0
	for _, state := range candidates {
		lowest = min(lowest, state.failureRate(now))
	}
	return lowest
}

// placedWork is the load that a request adds to a worker.
type placedWork struct {
	priority int
	// prefillTokens is the number of uncached prompt tokens.
	prefillTokens int
	need          memoryNeed
}

// begin counts a request at a worker. The mutex must be held.
func (r *Registry) begin(now time.Duration, chosen *workerState, candidates int, work placedWork) *Placement {
	load := r.totalLoad(now, chosen)
	chosen.begin(work)
	chosen.silence.Begin(now)
	r.updateLevel(chosen)
	return &Placement{
		Worker:        chosen.worker,
		InFlight:      load.InFlight,
		PrefillTokens: load.PrefillTokens,
		Candidates:    candidates,
		FailureRate:   chosen.failureRate(now),
		registry:      r,
		state:         chosen,
		chosenAt:      now,
		work:          work,
		MemoryTokens:  load.MemoryTokens,
	}
}

// UncachedTokens returns the number of the request's prompt tokens that need prefill.
func (p *Placement) UncachedTokens() int { return p.work.prefillTokens }

// TimeToFirstByte returns the time from the choice until the response began, or until now if it has
// not begun.
func (p *Placement) TimeToFirstByte(now time.Duration) time.Duration {
	r := p.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !p.hasFirstByte {
		return now - p.chosenAt
	}
	return p.timeToFirstByte
}

// FirstByte records that the response has begun.
func (p *Placement) FirstByte(now time.Duration) {
	r := p.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p.hasFirstByte || p.ended {
		return
	}
	p.hasFirstByte = true
	p.timeToFirstByte = now - p.chosenAt
	p.state.endPrefill(p.work)
	r.updateLevel(p.state)
	p.state.recordContact(now)
	if p.Engine == nil {
		return
	}
	r.recordFirstToken(now, p)
	r.recordHeldParts(now, p)
	if !p.Limited {
		p.state.recordSlowness(now-p.chosenAt, p.Engine.Predicted)
		r.recordSpeed(p, now-p.chosenAt)
	}
}

// End records the outcome of the request. Further calls have no effect.
func (p *Placement) End(now time.Duration, outcome Outcome) {
	r := p.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	state := p.state
	if !p.hasFirstByte {
		state.endPrefill(p.work)
		if outcome == Cancelled && p.Engine != nil {
			r.recordNoFirstToken(now, p)
		}
	}
	state.end(p.work)
	r.updateLevel(state)
	switch {
	case outcome == Refused && p.Limited:
		return
	case outcome == Succeeded && !p.Limited:
		r.recordSlotTime(p, now-p.chosenAt)
		r.recordEngineSpeed(now, p)
	default:
	}
	switch outcome {
	case Succeeded:
		state.recordOutcome(now, false)
		state.recordServed()
		state.recordContact(now)
	case Failed:
		state.recordOutcome(now, true)
	case Refused:
		state.recordOutcome(now, true)
		r.recordRejection(now, state)
	case Mismatched:
		state.mismatchUntil = now + mismatchBackoff
	case Unreachable:
		state.recordOutcome(now, true)
		state.suspect(now)
	case Lost:
		state.recordOutcome(now, true)
		if !p.hasFirstByte {
			state.suspect(now)
		}
	case Cancelled, Deferred, Disconnected:
	case Silent:
		// The engine's suspension, which ends as soon as it is heard, keeps requests away.
	}
}
