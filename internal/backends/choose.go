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
	// Free tells whether this node has a connection left for a worker; nil
	// means always.
	Free func(worker *Worker) bool
	// Intake tells whether a worker takes more requests by what it says of that; nil means
	// that no worker says anything.
	Intake func(worker *Worker) (Intake, time.Duration)
	// Versions limits the choice by the version of the workers' software; nil limits
	// nothing.
	Versions *delivery.Filter
	// Bytes is the size of the request and of the answer that is expected.
	Bytes int
	// Engine is set for requests to language-model engines.
	Engine *EngineRequest
}

// Intake tells whether a worker takes more requests.
type Intake uint8

// Intakes.
const (
	// IntakeFree is a worker that takes requests without a limit.
	IntakeFree Intake = iota
	// IntakeLimited is a worker with a limit that may have room.
	IntakeLimited
	// IntakeClosed is a worker that takes none for a time.
	IntakeClosed
)

// intake returns whether a worker takes the request, and for how long not.
func (r *Request) intake(worker *Worker) (Intake, time.Duration) {
	if r.Intake == nil {
		return IntakeFree, 0
	}
	return r.Intake(worker)
}

// Refusal tells why no worker was chosen.
type Refusal struct {
	Reason string
	// RetryAfter is when there is room by what is known; 0 if that isn't known.
	RetryAfter time.Duration
}

// Reasons why no worker could be chosen.
const (
	ReasonNoWorker  = "no_worker"
	ReasonExcluded  = "all_tried"
	ReasonUnsettled = "none_ready"
	ReasonFull      = "full"
	ReasonVersion   = "none_at_version"
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
	Looked     int
	// FailureRate is the worker's mean failure rate at the choice.
	FailureRate float64
	// Engine is set for engines.
	Engine *EnginePlacement
	// Limited is set if the worker has a limit on its requests: what it takes or refuses then
	// tells nothing of how fast or how sound it is.
	Limited bool

	registry *Registry
	state    *state
	begun    time.Duration
	work     placedWork
	first    bool
	ended    bool
	// took is the time from the choice until the answer began.
	took time.Duration
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
		r.noteShortage(now, request.Service)
	}
	next := request.Versions.Fallback()
	if placement != nil || next == nil || !request.Versions.PrefersTarget() {
		return placement, refusal
	}
	// A delivery's few target workers may be full or slow while others have room.
	limited := *request
	limited.Versions = next
	return r.choose(now, &limited)
}

// choose is Choose; the mutex is held.
func (r *Registry) choose(now time.Duration, request *Request) (*Placement, Refusal) {
	found, reason := r.candidates(now, request)
	switch {
	case reason == ReasonFull && request.Engine != nil:
		return nil, Refusal{Reason: reason, RetryAfter: r.slotTime(request.Service)}
	case reason == ReasonLimited:
		return nil, Refusal{Reason: reason, RetryAfter: found.opensIn}
	case reason != "":
		return nil, Refusal{Reason: reason}
	case request.Engine != nil:
		return r.chooseEngine(found)
	default:
		return r.choosePlain(found), Refusal{}
	}
}

// candidates returns the workers that may get a request, by the versions that it is
// limited to; without one, by what holds then.
func (r *Registry) candidates(now time.Duration, request *Request) (*search, string) {
	versions := request.Versions
	for {
		found := r.newSearch(now, request, versions)
		reason := found.gather()
		next := versions.Fallback()
		if reason == "" || next == nil || (reason != ReasonNoWorker && !versions.PrefersTarget()) {
			return found, reason
		}
		versions = next
	}
}

// settled tells whether neither this node nor enough others know anything against
// a worker right now.
func (r *Registry) settled(now time.Duration, known *state) bool {
	return known.settled(now) && r.settledByPeers(now, known)
}

// choosePlain takes the worker with the least load by its slots, failures and
// slowness; the own zone breaks ties.
func (r *Registry) choosePlain(found *search) *Placement {
	candidates := found.candidates()
	mean := meanFailureRate(found.now, candidates)
	var best *state
	bestCost := math.Inf(1)
	for _, known := range candidates {
		cost := r.plainCost(found.now, known, mean)
		if cost < bestCost {
			best, bestCost = known, cost
		}
	}
	placement := r.begin(found.now, best, len(candidates), placedWork{})
	placement.Looked = found.looked
	placement.Limited = found.limited(best)
	return placement
}

// tieCost is the part of a plain worker's cost that chance makes, in requests in flight at
// one slot.
const tieCost = 0.02

func (r *Registry) plainCost(now time.Duration, known *state, meanFailures float64) float64 {
	load := r.total(now, known)
	slots := float64(max(known.worker.Slots, 1))
	cost := (float64(load.InFlight) + 1) / slots
	cost *= max(known.slowness, 1)
	excess := max(known.failureRate(now)-meanFailures, 0)
	cost *= 1 + excess*8
	cost += r.options.Distances.Plain[r.from(known.worker.Zone)]
	return cost + r.options.Random.Float64()*tieCost
}

// meanFailureRate returns the lowest rate among candidates: answers that fail
// for the request's own sake fail everywhere.
func meanFailureRate(now time.Duration, candidates []*state) float64 {
	lowest := 1.0
	for _, known := range candidates {
		lowest = min(lowest, known.failureRate(now))
	}
	return lowest
}

// placedWork is what a request brings to a worker.
type placedWork struct {
	priority int
	// prefill is the prompt work, in tokens.
	prefill int
	need    memoryNeed
}

// begin counts a request at a worker.
func (r *Registry) begin(now time.Duration, chosen *state, candidates int, work placedWork) *Placement {
	load := r.total(now, chosen)
	chosen.begin(work)
	r.relevel(chosen)
	return &Placement{
		Worker:        chosen.worker,
		InFlight:      load.InFlight,
		PrefillTokens: load.PrefillTokens,
		Candidates:    candidates,
		FailureRate:   chosen.failureRate(now),
		registry:      r,
		state:         chosen,
		begun:         now,
		work:          work,
		MemoryTokens:  load.MemoryTokens,
	}
}

// Prefill returns the prompt work of the request, in tokens.
func (p *Placement) Prefill() int { return p.work.prefill }

// Took returns the time from the choice until the answer began, or until now if it hasn't.
func (p *Placement) Took(now time.Duration) time.Duration {
	r := p.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !p.first {
		return now - p.begun
	}
	return p.took
}

// FirstByte notes that the worker's answer has begun.
func (p *Placement) FirstByte(now time.Duration) {
	r := p.registry
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if p.first || p.ended {
		return
	}
	p.first = true
	p.took = now - p.begun
	p.state.endPrefill(p.work)
	r.relevel(p.state)
	p.state.trust(now)
	if p.Engine == nil {
		return
	}
	r.noteHeld(now, p)
	if !p.Limited {
		p.state.measure(now-p.begun, p.Engine.Predicted)
		r.noteSpeed(p, now-p.begun)
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
	known := p.state
	if !p.first {
		known.endPrefill(p.work)
	}
	known.end(p.work)
	r.relevel(known)
	switch {
	case outcome == Refused && p.Limited:
		return
	case outcome == Succeeded && !p.Limited:
		r.noteSlotTime(p, now-p.begun)
	default:
	}
	switch outcome {
	case Succeeded:
		known.note(now, false)
		known.trust(now)
	case Failed, Refused:
		known.note(now, true)
	case Mismatched:
		known.doubtUntil = now + doubtFor
	case Unreachable:
		known.note(now, true)
		known.suspect(now)
	case Lost:
		known.note(now, true)
		if !p.first {
			known.suspect(now)
		}
	case Cancelled, Deferred:
	}
}
