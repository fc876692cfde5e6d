package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// minWaitFraction is the fraction of a request's target for which it may always wait, so that
// prompts are not refused for their length.
const minWaitFraction = 0.5

// tooLate reports whether a request is refused because it would wait for longer than its target
// allows at every engine. Under overload, refusing some requests lets the others meet their
// targets.
func tooLate(engine *EngineRequest, decision *scheduling.Decision) (Refusal, bool) {
	if !engine.MayRefuse || !decision.Late || engine.Target <= 0 {
		return Refusal{}, false
	}
	allowed := allowedWait(engine, decision)
	if decision.WaitTime <= allowed {
		return Refusal{}, false
	}
	return Refusal{Reason: ReasonLate, RetryAfter: decision.WaitTime - allowed}, true
}

// allowedWait returns how long a request may wait for other requests.
func allowedWait(engine *EngineRequest, decision *scheduling.Decision) time.Duration {
	return max(engine.Target-decision.ServiceTime, time.Duration(minWaitFraction*float64(engine.Target)))
}
