package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/overload"
	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// overloadRequest describes a request to the overload control of its service.
func overloadRequest(engine *EngineRequest, decision *scheduling.Decision) overload.Request {
	return overload.Request{
		Tenant: engine.Tenant, Priority: engine.Priority, Service: decision.ServiceTime,
		Target: engine.Target, Deadline: engine.Deadline,
	}
}

// overloadController returns the overload controller of a service and creates it if needed. The
// mutex must be held.
func (r *Registry) overloadController(service fleet.PoolName) *overload.Controller {
	controller := r.overloadControllers[service]
	if controller == nil {
		controller = overload.New()
		r.overloadControllers[service] = controller
	}
	return controller
}

// waitLimit returns the longest wait with which the request may be placed, and false if it may wait
// for any time.
func (r *Registry) waitLimit(search *search, engine *EngineRequest, decision *scheduling.Decision) (overload.Limit, bool) {
	if !engine.MayRefuse || engine.Target <= 0 {
		return overload.Limit{}, false
	}
	request := overloadRequest(engine, decision)
	return r.overloadController(search.request.Service).Limit(search.now, &request), true
}

// refuseLate refuses a request that would wait for longer than its limit.
func (r *Registry) refuseLate(search *search, engine *EngineRequest, decision *scheduling.Decision, limit overload.Limit, wait time.Duration) Refusal {
	request := overloadRequest(engine, decision)
	cost := r.workOf(search.request.Service, engine, uncachedTokens(engine, decision))
	return Refusal{
		Reason: ReasonLate, RetryAfter: limit.RetryAfter(wait), Limit: limit,
		unmet: &unmetDemand{request: request, cost: cost, cause: limit.Cause},
	}
}

// refuseFull refuses a request because all engines are full. Its engine time isn't known, since it
// depends on what the engine has cached.
func (r *Registry) refuseFull(request *Request) Refusal {
	refusal := Refusal{Reason: ReasonFull, RetryAfter: r.slotTime(request.Service)}
	if engine := request.Engine; engine.MayRefuse && engine.Target > 0 {
		refusal.unmet = &unmetDemand{request: overloadRequest(engine, &scheduling.Decision{}), cause: overload.CauseDeadline}
	}
	return refusal
}

// unmetDemand is what the overload control records of a refusal.
type unmetDemand struct {
	request overload.Request
	cost    time.Duration
	cause   overload.Cause
}

// recordRefusal records a refusal that no other try follows. The mutex must be held.
func (r *Registry) recordRefusal(now time.Duration, service fleet.PoolName, refusal *Refusal) {
	if unmet := refusal.unmet; unmet != nil {
		r.overloadController(service).RecordRefused(now, &unmet.request, unmet.cost, unmet.cause)
	}
}

// recordUse counts the engine time of a placed request for its tenant.
func (r *Registry) recordUse(search *search, engine *EngineRequest, decision *scheduling.Decision) {
	request := overloadRequest(engine, decision)
	late := engine.Target > 0 && decision.Late && decision.WaitTime > overload.OnTimeWait(engine.Target, decision.ServiceTime)
	cost := r.workOf(search.request.Service, engine, uncachedTokens(engine, decision))
	r.overloadController(search.request.Service).RecordPlaced(search.now, &request, cost, late)
}

// uncachedTokens returns the number of the request's prompt tokens that need prefill.
func uncachedTokens(engine *EngineRequest, decision *scheduling.Decision) int {
	return engine.PromptTokens - decision.CachedTokens - decision.ImportedTokens
}

// expectation is what a placed request was expected to do.
type expectation struct {
	request overload.Request
	// firstToken is the predicted time to the first token if the engine serves the request before all
	// less urgent ones.
	firstToken time.Duration
}

// isLate reports whether the request has missed its target by its waiting. What it takes on an idle
// engine is no reason for less urgent ones to yield.
func (e *expectation) isLate(measured time.Duration) bool {
	return measured-e.request.Service > overload.OnTimeWait(e.request.Target, e.request.Service)
}

// newExpectation returns the expectation of a request, or nil if it has no target or is not the first
// try: what later tries wait for is not due to the engines.
func newExpectation(engine *EngineRequest, decision *scheduling.Decision) *expectation {
	if !engine.MayRefuse || engine.Target <= 0 {
		return nil
	}
	return &expectation{request: overloadRequest(engine, decision), firstToken: decision.WaitTime + decision.ServiceTime}
}

// recordFirstToken compares a placed request's first token with what was expected. The mutex must be
// held.
func (r *Registry) recordFirstToken(now time.Duration, placement *Placement) {
	expected, measured := placement.Engine.expected, now-placement.chosenAt
	if expected != nil {
		r.overloadController(placement.Worker.Service).RecordFirstToken(now, &expected.request, expected.firstToken, measured, expected.isLate(measured))
	}
}

// recordNoFirstToken records that a placed request was cancelled without a first token after it had
// missed its target by its waiting. The mutex must be held.
func (r *Registry) recordNoFirstToken(now time.Duration, placement *Placement) {
	if expected := placement.Engine.expected; expected != nil && expected.isLate(now-placement.chosenAt) {
		r.recordFirstToken(now, placement)
	}
}
