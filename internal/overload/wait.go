package overload

import "time"

const (
	// minWaitFraction is the fraction of its target for which a request may always wait, so that
	// prompts are not refused for their length.
	minWaitFraction = 0.5
	// startFraction is the fraction of the time to the caller's deadline within which the first token
	// of a late request must be predicted. The rest is for its output, and for requests that come
	// later and are served first.
	startFraction = 0.3
	// atShareFraction is the fraction of the usual wait that is left to a tenant at its share. It
	// keeps some work queued, so that no engine idles while a tenant is held back.
	atShareFraction = 0.5
	// yieldFraction is the same for requests that yield to more urgent ones. It lets them go where an
	// engine is about to be free.
	yieldFraction = 0.1
)

// OnTimeWait returns how long a request may wait without missing its target by its waiting.
func OnTimeWait(target, service time.Duration) time.Duration {
	return max(target-service, scale(target, minWaitFraction))
}

// deadlineWait returns how long a request may wait without shortage: until its target, or beyond it
// if its caller's deadline is late enough.
func deadlineWait(request *Request) time.Duration {
	inTime := min(request.onTimeWait(), request.Deadline-request.Service)
	return max(inTime, scale(request.Deadline, startFraction)-request.Service, 0)
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(duration))
}
