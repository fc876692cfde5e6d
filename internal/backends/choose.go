package backends

import (
	"math"
	"time"

	"github.com/tillerfall/tillerfall/internal/delivery"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Request is what a choice needs to know of a request.
type Request struct {
	Service  fleet.PoolName
	Excluded []fleet.EngineRun
	// HasConnection tells whether this node has a connection left for a worker; nil
	// means always.
	HasConnection func(worker *Worker) bool
	// Admission tells whether a worker takes more requests by what it says of that; nil means
	// that no worker says anything.
	Admission func(worker *Worker) (Admission, time.Duration)
	// Software limits the choice by the version of the workers' software; nil limits
	// nothing.
	Software *delivery.Choice
	// Bytes is the size of the request and of the answer that is expected.
	Bytes int
	// Engine is set for requests to language-model engines.
	Engine *EngineRequest
}

// Admission tells whether a worker takes more requests.
type Admission uint8

// Intakes.
const (
	// AdmissionUnlimited is a worker that takes requests without a limit.
	AdmissionUnlimited Admission = iota
	// AdmissionLimited is a worker with a limit that may have room.
	AdmissionLimited
	// AdmissionClosed is a worker that takes none for a time.
	AdmissionClosed
)

// admission returns whether a worker takes the request, and for how long not.
func (r *Request) admission(worker *Worker) (Admission, time.Duration) {
	if r.Admission == nil {
		return AdmissionUnlimited, 0
	}
	return r.Admission(worker)
}

// Refusal tells why no worker was chosen.
type Refusal struct {
	Reason string
	// RetryAfter is when there is room by what is known; 0 if that isn't known.
	RetryAfter time.Duration
}

// Reasons why no worker could be chosen.
const (
	ReasonNoWorker = "no_worker"
	ReasonExcluded = "all_tried"
	ReasonNotReady = "none_ready"
	ReasonFull     = "full"
	ReasonVersion  = "none_at_version"
	// ReasonLimited means that the workers that could get it take no requests for a time.
	ReasonLimited = "at_their_limits"
	// ReasonLate means that each worker has more to do before the request than its
	// target allows.
	ReasonLate = "none_in_time"
)

// Placement is a chosen worker, with what the choice went by. Exactly one call
// of End must follow.
type Placement struct {
	Worker Worker
	// InFlight, PrefillTokens and MemoryTokens are the worker's load over all nodes at
	// the choice.
	InFlight      int
	PrefillTokens int
	MemoryTokens  int
	// Candidates counts the workers that were compared, and Looked those that were looked
	// at for it.
	Candidates int
	Examined   int
	// FailureRate is the worker's mean failure rate at the choice.
	FailureRate float64
	// Engine is set for engines.
	Engine *EnginePlacement
	// Limited is set if the worker has a limit on its requests: what it takes or refuses then
	// tells nothing of how fast or how sound it is.
	Limited bool

	registry     *Registry
	state        *workerState
	chosenAt     time.Duration
	work         placedWork
	hasFirstByte bool
	ended        bool
	// timeToFirstByte is the time from the choice until the answer began.
	timeToFirstByte time.Duration
}

// Outcome tells how a request at a worker went.
type Outcome int

// Outcomes.
const (
	// Succeeded means that the worker's whole answer came.
	Succeeded Outcome = iota
	// Failed means that the worker answered that it failed.
	Failed
	// Refused means that the worker didn't run the request because it was full
	// or leaving.
	Refused
	// Mismatched means that another run, or another version, was found there.
	Mismatched
	// Unreachable means that nothing could be sent.
	Unreachable
	// Lost means that no whole answer came.
	Lost
	// Cancelled means that this side ended the request.
	Cancelled
	// Deferred means that the worker didn't run the request and wants none for a time.
	Deferred
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "refused", "mismatched", "unreachable", "lost", "cancelled", "deferred"}[o]
}

// Choose chooses a worker and counts the request there. Without one it says why.
func (r *Registry) Choose(now time.Duration, request *Request) (*Placement, Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	placement, refusal := r.choose(now, request)
	if placement == nil && refusal.Reason != ReasonExcluded {
		r.recordShortage(now, request.Service)
	}
	next := request.Software.Fallback()
	if placement != nil || next == nil || !request.Software.WantsTarget() {
		return placement, refusal
	}
	// A delivery's few target workers may be full or slow while others have room.
	fallback := *request
	fallback.Software = next
	return r.choose(now, &fallback)
}

// choose is Choose; the mutex is held.
func (r *Registry) choose(now time.Duration, request *Request) (*Placement, Refusal) {
	search, reason := r.candidates(now, request)
	switch {
	case reason == ReasonFull && request.Engine != nil:
		return nil, Refusal{Reason: reason, RetryAfter: r.slotTime(request.Service)}
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

// candidates returns the workers that may get a request, by the versions that it is
// limited to; without one, by what holds then.
func (r *Registry) candidates(now time.Duration, request *Request) (*search, string) {
	software := request.Software
	for {
		search := r.newSearch(now, request, software)
		reason := search.gather()
		next := software.Fallback()
		if reason == "" || next == nil || (reason != ReasonNoWorker && !software.WantsTarget()) {
			return search, reason
		}
		software = next
	}
}

// isReady tells whether neither this node nor enough others know anything against
// a worker right now.
func (r *Registry) isReady(now time.Duration, state *workerState) bool {
	return state.isReady(now) && r.isReadyByPeers(now, state)
}

// choosePlain takes the worker with the least load by its slots, failures and
// slowness; the own zone breaks ties.
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
	placement.Examined = search.examined
	placement.Limited = search.hasLimit(best)
	return placement
}

// tieJitter is the part of a plain worker's cost that chance makes, in requests in flight at
// one slot.
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

// minFailureRate returns the lowest rate among candidates: answers that fail
// for the request's own sake fail everywhere.
func minFailureRate(now time.Duration, candidates []*workerState) float64 {
	lowest := 1.0
	for _, state := range candidates {
		lowest = min(lowest, state.failureRate(now))
	}
	return lowest
}

// placedWork is what a request brings to a worker.
type placedWork struct {
	priority int
	// prefillTokens is the prompt work, in tokens.
	prefillTokens int
	need          memoryNeed
}

// begin counts a request at a worker.
func (r *Registry) begin(now time.Duration, chosen *workerState, candidates int, work placedWork) *Placement {
	load := r.totalLoad(now, chosen)
	chosen.begin(work)
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

// UncachedTokens returns the prompt work of the request, in tokens.
func (p *Placement) UncachedTokens() int { return p.work.prefillTokens }

// TimeToFirstByte returns the time from the choice until the answer began, or until now if it hasn't.
func (p *Placement) TimeToFirstByte(now time.Duration) time.Duration {
	r := p.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !p.hasFirstByte {
		return now - p.chosenAt
	}
	return p.timeToFirstByte
}

// FirstByte notes that the worker's answer has begun.
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
	r.recordHeldParts(now, p)
	if !p.Limited {
		p.state.recordSlowness(now-p.chosenAt, p.Engine.Predicted)
		r.recordSpeed(p, now-p.chosenAt)
	}
}

// End notes how the request went. Later calls do nothing.
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
	}
	state.end(p.work)
	r.updateLevel(state)
	switch {
	case outcome == Refused && p.Limited:
		return
	case outcome == Succeeded && !p.Limited:
		r.recordSlotTime(p, now-p.chosenAt)
	default:
	}
	switch outcome {
	case Succeeded:
		state.recordOutcome(now, false)
		state.recordContact(now)
	case Failed, Refused:
		state.recordOutcome(now, true)
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
	case Cancelled, Deferred:
	}
}
