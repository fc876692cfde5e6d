package backends

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/scheduling"
)

// minWaitFraction is the part of a request's target that it may wait for others however
// long it takes itself: a long prompt isn't refused for its length.
const minWaitFraction = 0.5

// tooLate tells whether a request is to be refused, since it would wait for others for
// longer than its target allows at each engine. Without that, a fleet that is asked for
// more than it can do serves all late.
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

// allowedWait returns for how long a request may wait for others.
func allowedWait(engine *EngineRequest, decision *scheduling.Decision) time.Duration {
	return max(engine.Target-decision.ServiceTime, time.Duration(minWaitFraction*float64(engine.Target)))
}
