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
}

// Capacity is what can be given to returning requests.
type Capacity struct {
	// Rate is the units per second that callers of the request's priority can be given at this node.
	Rate float64
	// FreeAfter is the time until the first unit is free.
	FreeAfter time.Duration
}

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

// deadline returns when the caller gives up, 0 if unknown.
func (r *Request) deadline(now time.Duration) time.Duration {
	if r.TimeLeft <= 0 {
		return 0
	}
	return now + r.TimeLeft
}

func (r *Request) priority() int { return clampPriority(r.Priority) }

func clampPriority(priority int) int { return min(max(priority, 0), PriorityCount-1) }
