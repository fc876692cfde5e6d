package readmission

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Request is a request of a tenant with a limit.
type Request struct {
	// Signature is the same for each try of a request, and differs between tenants.
	Signature uint64
	Tenant    fleet.TenantName
	// Priority is the request's priority among the tenant's own, from 0 (most urgent) to 9.
	Priority int
	// Units is the request's cost in units of the tenant's limit.
	Units float64
	// Shared is set if different callers send equal requests, as requests without a prompt are. Where
	// their deadlines aren't known they aren't taken for one caller's.
	Shared bool
	// TimeLeft is how long the caller waits for the final response, 0 if unknown.
	TimeLeft time.Duration
	// TargetLeft is the time left until the latency target of the request's route, 0 if it has none.
	TargetLeft time.Duration
}

// Capacity is what can be given to returning requests.
type Capacity struct {
	// Rate is the units per second that more urgent requests leave to the request's priority, at all
	// nodes. OwnFraction is this node's part of it.
	Rate        float64
	OwnFraction float64
	// FreeAfter is the time until units are free for the request.
	FreeAfter time.Duration
	// RetryAfter is what a caller without a ticket is told, which staggers these callers.
	RetryAfter time.Duration
}

// ownRate returns the units per second that this node can give.
func (c *Capacity) ownRate() float64 { return c.Rate * c.OwnFraction }

// Offer is a time to return.
type Offer struct {
	RetryAfter time.Duration
	// Kept is set if a ticket keeps the units until then.
	Kept bool
}

// patience returns how long the caller will wait before it returns.
func (r *Request) patience() time.Duration {
	if r.TimeLeft <= 0 {
		return unknownWait
	}
	return min(r.TimeLeft/waitDivisor, maxReturn)
}

// ticketWait returns how long the caller may be told to wait by a ticket: it still has the time for the
// run until its latency target then.
func (r *Request) ticketWait() time.Duration {
	if r.TargetLeft <= 0 {
		return r.patience()
	}
	return min(r.patience(), r.TargetLeft/targetDivisor)
}

// deadline returns when the caller gives up, 0 if unknown.
func (r *Request) deadline(now time.Duration) time.Duration {
	if r.TimeLeft <= 0 {
		return 0
	}
	return now + r.TimeLeft
}

func (r *Request) priority() int { return clampPriority(r.Priority) }

func clampPriority(priority int) int { return min(max(priority, 0), PriorityCount-1) }
