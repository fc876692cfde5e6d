// Package overload decides how long a request may wait for an engine while the engines of a
// service are too busy for all requests.
//
// It answers with the longest predicted wait with which a request is placed; a request that would
// wait longer is refused. Without shortage the limit follows from the request's target and its
// caller's deadline. Under shortage, less urgent requests yield to more urgent ones, and tenants get
// max-min fair shares of engine time over all nodes.
//
// Shares are of engine time, since that is what is short: a cached token costs none, and a slot that
// a short prompt holds costs less than one that a long prompt holds.
//
// The package does no I/O and has no clock. A Controller isn't safe for concurrent use.
package overload

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// PriorityCount is the number of priorities; 0 is the most urgent.
const PriorityCount = 10

// Request is a request for an engine.
type Request struct {
	// Tenant is the request's tenant. Requests without one are not limited to a share.
	Tenant fleet.TenantName
	// Priority is less than PriorityCount.
	Priority int
	// Service is the time that the request takes to its first token on an idle engine.
	Service time.Duration
	// Target is the target for the time to the first token.
	Target time.Duration
	// Deadline is the time until the caller stops waiting; 0 if unknown.
	Deadline time.Duration
}

// onTimeWait returns how long the request may wait without missing its target by its waiting.
func (r *Request) onTimeWait() time.Duration { return OnTimeWait(r.Target, r.Service) }

// Cause is the rule that limits a request's wait.
type Cause string

// Causes of a limit.
const (
	// CauseTarget means that the request would miss its target, and that its caller's deadline is
	// unknown.
	CauseTarget Cause = "target"
	// CauseDeadline means that the request would not be served well within its caller's deadline.
	CauseDeadline Cause = "deadline"
	// CausePriority means that too many more urgent requests are late.
	CausePriority Cause = "priority"
	// CauseShare means that the tenant has used its share.
	CauseShare Cause = "share"
)

// Limit is the longest predicted wait with which a request is placed.
type Limit struct {
	Wait  time.Duration
	Cause Cause
	// Share is the engine time that each tenant may use, in engine seconds a second; 0 while nothing
	// is short. Use is what the request's tenant uses over all nodes.
	Share, Use float64

	// predictionError is the factor by which predicted waits are too short.
	predictionError float64
	// liftedIn is the time until the tenant's use has fallen to its share, and more urgent requests are
	// in time.
	liftedIn time.Duration
}

// lower lowers the limit to a wait if that is shorter.
func (l *Limit) lower(wait time.Duration, cause Cause) {
	if wait < l.Wait {
		l.Wait, l.Cause = wait, cause
	}
}

// RetryAfter returns the time after which a request that is refused at a predicted wait should come
// again: when the backlog of its priority has drained and the rule that refused it no longer holds.
func (l *Limit) RetryAfter(wait time.Duration) time.Duration {
	if l.Cause == CauseTarget {
		return wait - l.Wait
	}
	return max(scale(wait, l.predictionError), l.liftedIn)
}
